//! Judges rule 5: queries with the same ordering key run one at a time, in the order in which they arrived.

use super::attempt::QueryName;
use super::finding::Finding;
use std::collections::{BTreeMap, VecDeque};

/// The open queries of an ordering key.
#[derive(Default)]
struct KeyRecord {
    /// Queries without a final answer, in the order of their arrival.
    unanswered: VecDeque<QueryName>,
    /// The query of each running attempt.
    running: Vec<QueryName>,
}

/// Tracks the open queries and running attempts of each ordering key.
#[derive(Default)]
pub struct Order {
    keys: BTreeMap<u64, KeyRecord>,
    attempts: u64,
    /// Queries that arrived while another query of their key was open.
    contended: u64,
    /// Attempts of a query that was not the oldest open one of its key.
    overtaken: u64,
    /// Attempts that began while an attempt of another query of the key was running.
    overlapping: u64,
}

impl Order {
    pub fn query_arrived(&mut self, key: u64, name: QueryName) {
        let record = self.keys.entry(key).or_default();
        self.contended += u64::from(!record.unanswered.is_empty());
        record.unanswered.push_back(name);
    }

    pub fn answered(&mut self, key: u64, name: QueryName) {
        self.update(key, |record| {
            record.unanswered.retain(|other| *other != name)
        });
    }

    pub fn attempt_began(&mut self, key: u64, name: QueryName) {
        let record = self.keys.entry(key).or_default();
        self.attempts += 1;
        self.overtaken += u64::from(
            record
                .unanswered
                .front()
                .is_some_and(|first| *first != name),
        );
        self.overlapping += u64::from(record.running.iter().any(|other| *other != name));
        record.running.push(name);
    }

    pub fn attempt_ended(&mut self, key: u64, name: QueryName) {
        self.update(key, |record| {
            if let Some(place) = record.running.iter().position(|other| *other == name) {
                record.running.swap_remove(place);
            }
        });
    }

    pub fn gateway_ended(&mut self, gateway: u32) {
        self.keys.retain(|_, record| {
            record.unanswered.retain(|name| name.gateway != gateway);
            record.running.retain(|name| name.gateway != gateway);
            !record.unanswered.is_empty() || !record.running.is_empty()
        });
    }

    /// Changes the record of a key, and drops the record once it is empty.
    fn update(&mut self, key: u64, change: impl FnOnce(&mut KeyRecord)) {
        let Some(record) = self.keys.get_mut(&key) else {
            return;
        };
        change(record);
        if record.unanswered.is_empty() && record.running.is_empty() {
            self.keys.remove(&key);
        }
    }

    pub fn finding(&self) -> Finding {
        Finding::new(
            "rule 5, order of a key",
            self.overtaken + self.overlapping == 0,
            format!(
                "{} attempts with a key, {} of whose queries found another open: {} overtaken, {} overlapping",
                self.attempts, self.contended, self.overtaken, self.overlapping
            ),
            &[
                ("attempts", self.attempts as f64),
                ("contended", self.contended as f64),
                ("overtaken", self.overtaken as f64),
                ("overlapping", self.overlapping as f64),
            ],
        )
    }
}
