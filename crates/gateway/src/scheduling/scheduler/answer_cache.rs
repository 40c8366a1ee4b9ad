//! Cache of the final answers of finished queries.
//!
//! A client whose connection was lost before it received its answer repeats the request and gets the same answer,
//! without another run of the query. The cache is bounded in bytes, and each entry expires at its query's deadline.

use super::QueryAnswer;
use std::collections::{BTreeMap, HashMap};

/// Estimated memory of an entry besides its rows, in bytes.
const ENTRY_BYTES: usize = 256;

/// A hash of the tenant, the keys, the class and the statement of a request. A repeated request must agree in these,
/// but may differ in its deadline and its estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fingerprint(pub(super) u64);

/// The result of a cache lookup for a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CachedAnswer {
    /// The cached answer of the request's query.
    Answer(QueryAnswer),
    /// The cached answer under this key belongs to a different request.
    OtherRequest,
    /// There is no unexpired answer.
    Missing,
}

struct Entry {
    fingerprint: Fingerprint,
    answer: QueryAnswer,
    /// The query's deadline, in seconds on the gateway's clock. The entry expires then.
    deadline: f64,
    /// Position in the order of insertion; the key in `keys_by_sequence`.
    sequence: u64,
}

impl Entry {
    fn bytes(&self) -> usize {
        ENTRY_BYTES + self.answer.row_bytes()
    }
}

/// Cached answers by query key. Times are in seconds on the gateway's clock.
pub(super) struct AnswerCache {
    entries: HashMap<u64, Entry>,
    /// Query keys in the order of insertion, which is the order of eviction.
    keys_by_sequence: BTreeMap<u64, u64>,
    next_sequence: u64,
    bytes: usize,
    max_bytes: usize,
}

impl AnswerCache {
    /// Creates a cache that holds at most `max_bytes` bytes.
    pub(super) fn new(max_bytes: usize) -> Self {
        AnswerCache {
            entries: HashMap::new(),
            keys_by_sequence: BTreeMap::new(),
            next_sequence: 0,
            bytes: 0,
            max_bytes,
        }
    }

    /// Caches the answer of a query until its deadline, or until newer answers need the space. An answer that is larger
    /// than the whole cache, or whose deadline has passed, is not cached.
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

    /// Looks up the answer to a request.
    pub(super) fn get(&self, now: f64, query_key: u64, fingerprint: Fingerprint) -> CachedAnswer {
        match self.entries.get(&query_key) {
            Some(entry) if entry.fingerprint != fingerprint => CachedAnswer::OtherRequest,
            Some(entry) if entry.deadline > now => CachedAnswer::Answer(entry.answer.clone()),
            _ => CachedAnswer::Missing,
        }
    }

    /// Evicts entries, oldest first, until the oldest has not expired and the cache is within its size limit.
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
