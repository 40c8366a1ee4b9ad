//! Final answers of queries that are over, kept for clients whose connection ended before they had theirs: the same call made again
//! gets the same answer, and nothing runs again. Bounded in bytes and by each query's deadline.

use super::QueryAnswer;
use std::collections::{BTreeMap, HashMap};

/// What an answer takes beside its rows, in bytes.
const ENTRY_BYTES: usize = 256;

/// A fingerprint of all that makes two calls the same, but for the time that they allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fingerprint(pub(super) u64);

/// What is known of the answer to a call that was made before.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CachedAnswer {
    Answer(QueryAnswer),
    /// Another call has this id.
    OtherCall,
    /// It was not kept, or no longer.
    Missing,
}

struct Entry {
    fingerprint: Fingerprint,
    answer: QueryAnswer,
    /// The query's deadline, in seconds on the gateway's clock.
    deadline: f64,
    /// Its place in the order in which answers were kept.
    sequence: u64,
}

impl Entry {
    fn bytes(&self) -> usize {
        ENTRY_BYTES + self.answer.bytes()
    }
}

/// The answers that are kept, by the queries' ids.
pub(super) struct AnswerCache {
    entries: HashMap<u64, Entry>,
    /// Ids by the number of their entry, the oldest first.
    ids_by_sequence: BTreeMap<u64, u64>,
    /// Of the next entry.
    next_sequence: u64,
    bytes: usize,
    max_bytes: usize,
}

impl AnswerCache {
    /// Keeps so many bytes at most.
    pub(super) fn new(max_bytes: usize) -> Self {
        AnswerCache {
            entries: HashMap::new(),
            ids_by_sequence: BTreeMap::new(),
            next_sequence: 0,
            bytes: 0,
            max_bytes,
        }
    }

    /// Keeps the answer of a query until its deadline, or until newer ones need the room.
    pub(super) fn insert(
        &mut self,
        now: f64,
        id: u64,
        fingerprint: Fingerprint,
        answer: QueryAnswer,
        deadline: f64,
    ) {
        let sequence = self.next_sequence;
        let entry = Entry {
            fingerprint,
            answer,
            deadline,
            sequence,
        };
        if deadline <= now || entry.bytes() > self.max_bytes {
            return;
        }
        self.remove(id);
        self.next_sequence += 1;
        self.bytes += entry.bytes();
        self.entries.insert(id, entry);
        self.ids_by_sequence.insert(sequence, id);
        self.evict(now);
    }

    /// What is known of the answer to a call.
    pub(super) fn get(&self, now: f64, id: u64, fingerprint: Fingerprint) -> CachedAnswer {
        match self.entries.get(&id) {
            Some(entry) if entry.fingerprint != fingerprint => CachedAnswer::OtherCall,
            Some(entry) if entry.deadline > now => CachedAnswer::Answer(entry.answer.clone()),
            _ => CachedAnswer::Missing,
        }
    }

    /// Lets go of the oldest while they are past their deadlines or over the bound.
    pub(super) fn evict(&mut self, now: f64) {
        while let Some((&sequence, &oldest)) = self.ids_by_sequence.first_key_value() {
            let is_past = self
                .entries
                .get(&oldest)
                .is_none_or(|entry| entry.deadline <= now);
            if !is_past && self.bytes <= self.max_bytes {
                return;
            }
            self.remove(oldest);
            self.ids_by_sequence.remove(&sequence);
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.bytes -= entry.bytes();
            self.ids_by_sequence.remove(&entry.sequence);
        }
    }
}

#[cfg(test)]
mod tests;
