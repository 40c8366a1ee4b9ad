//! Final answers of finished queries, for clients whose connection was lost before they had theirs: a repeat of the request
//! gets the same answer, and nothing runs again. Bounded in bytes, and by each query's deadline.

use super::QueryAnswer;
use std::collections::{BTreeMap, HashMap};

/// What an entry takes beside its rows.
const ENTRY_BYTES: usize = 256;

/// A hash of all that makes two requests the same, except for the time that they allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fingerprint(pub(super) u64);

/// What is cached for a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CachedAnswer {
    /// Its answer.
    Answer(QueryAnswer),
    /// Another request has its key.
    OtherRequest,
    /// Nothing.
    Missing,
}

struct Entry {
    fingerprint: Fingerprint,
    answer: QueryAnswer,
    /// The query's deadline, in seconds on the gateway's clock.
    deadline: f64,
    /// Its place in the order of insertion.
    sequence: u64,
}

impl Entry {
    fn bytes(&self) -> usize {
        ENTRY_BYTES + self.answer.row_bytes()
    }
}

/// Cached answers by query key. Times are seconds on the gateway's clock.
pub(super) struct AnswerCache {
    entries: HashMap<u64, Entry>,
    /// Query keys in the order of insertion.
    keys_by_sequence: BTreeMap<u64, u64>,
    next_sequence: u64,
    bytes: usize,
    max_bytes: usize,
}

impl AnswerCache {
    /// Creates a cache of at most `max_bytes`.
    pub(super) fn new(max_bytes: usize) -> Self {
        AnswerCache {
            entries: HashMap::new(),
            keys_by_sequence: BTreeMap::new(),
            next_sequence: 0,
            bytes: 0,
            max_bytes,
        }
    }

    /// Caches the answer of a query until its deadline, or until newer answers need the space.
    pub(super) fn insert(
        &mut self,
        now: f64,
        query_key: u64,
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
        self.remove(query_key);
        self.next_sequence += 1;
        self.bytes += entry.bytes();
        self.entries.insert(query_key, entry);
        self.keys_by_sequence.insert(sequence, query_key);
        self.evict(now);
    }

    /// What is cached for a request.
    pub(super) fn get(&self, now: f64, query_key: u64, fingerprint: Fingerprint) -> CachedAnswer {
        match self.entries.get(&query_key) {
            Some(entry) if entry.fingerprint != fingerprint => CachedAnswer::OtherRequest,
            Some(entry) if entry.deadline > now => CachedAnswer::Answer(entry.answer.clone()),
            _ => CachedAnswer::Missing,
        }
    }

    /// Evicts the oldest entries while they are past their deadlines, or the cache is over its bound.
    pub(super) fn evict(&mut self, now: f64) {
        while let Some((&sequence, &oldest)) = self.keys_by_sequence.first_key_value() {
            let entry = self.entries.get(&oldest);
            let is_expired = entry.is_none_or(|entry| entry.deadline <= now);
            if !is_expired && self.bytes <= self.max_bytes {
                return;
            }
            self.remove(oldest);
            self.keys_by_sequence.remove(&sequence);
        }
    }

    fn remove(&mut self, query_key: u64) {
        if let Some(entry) = self.entries.remove(&query_key) {
            self.bytes -= entry.bytes();
            self.keys_by_sequence.remove(&entry.sequence);
        }
    }
}

#[cfg(test)]
mod tests;
