//! Index of the query keys that are open, finished or recovered, so that a repeated request does not run its query
//! again.
//!
//! The number of finished keys is limited, since clients bring ever new ones. Keys whose queries may run again are
//! forgotten early where the space is needed. Those that must not run again are kept until they expire; while they fill
//! the index, no further query of their kind may be opened.

use garnetwall::api::QueryId;
use std::collections::{HashMap, HashSet, VecDeque};

/// The state of the query of a known key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryKeyState {
    /// The query is open in this process.
    Open(QueryId),
    /// The query has finished in this process, and its key has not expired.
    Finished,
    /// An earlier process sent the query, and it may have run.
    Recovered,
}

/// Whether the queries that an earlier process sent are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Recovery {
    /// The queries are known, or the gateway keeps no journal.
    #[default]
    Complete,
    /// The journal is still being read.
    Pending,
}

/// Whether the key of a finished query has to be remembered until it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyRetention {
    /// The query may have run, and must not run again.
    Required,
    /// The query never ran, or has no further effect if it runs again.
    WhileSpace,
}

/// The time at which the key of a finished query is forgotten.
struct Expiry {
    query_key: u64,
    expires_at: f64,
}

/// The query keys known to this process. Times are in seconds on the gateway's clock.
pub(super) struct QueryIndex {
    open: HashMap<u64, QueryId>,
    finished: HashSet<u64>,
    max_finished: usize,
    /// Expiries of the finished keys that have to be remembered, soonest first.
    required: VecDeque<Expiry>,
    /// Expiries of the other finished keys, soonest first.
    dispensable: VecDeque<Expiry>,
    /// Recovered keys with their expiry times.
    recovered: HashMap<u64, f64>,
    recovery: Recovery,
}

impl QueryIndex {
    /// Creates an index that remembers up to `max_finished` finished keys.
    pub(super) fn new(max_finished: usize) -> Self {
        QueryIndex {
            open: HashMap::new(),
            finished: HashSet::new(),
            max_finished,
            required: VecDeque::new(),
            dispensable: VecDeque::new(),
            recovered: HashMap::new(),
            recovery: Recovery::default(),
        }
    }

    /// Returns the state of a key's query; `None` for an unknown key.
    pub(super) fn state(&self, query_key: u64) -> Option<QueryKeyState> {
        if let Some(id) = self.open.get(&query_key) {
            return Some(QueryKeyState::Open(*id));
        }
        if self.finished.contains(&query_key) {
            return Some(QueryKeyState::Finished);
        }
        let is_recovered = self.recovered.contains_key(&query_key);
        is_recovered.then_some(QueryKeyState::Recovered)
    }

    /// Records that a query was admitted under a key.
    pub(super) fn open(&mut self, query_key: u64, id: QueryId) {
        self.open.insert(query_key, id);
    }

    /// Records that the query of a key has finished. The key is remembered until `expires_at`, or as long as `retention`
    /// allows.
    pub(super) fn finish(&mut self, query_key: u64, expires_at: f64, retention: KeyRetention) {
        self.open.remove(&query_key);
        self.finished.insert(query_key);
        let expiries = match retention {
            KeyRetention::Required => &mut self.required,
            KeyRetention::WhileSpace => &mut self.dispensable,
        };
        expiries.push_back(Expiry {
            query_key,
            expires_at,
        });
        while self.finished.len() > self.max_finished {
            let Some(oldest) = self.dispensable.pop_front() else {
                return;
            };
            self.finished.remove(&oldest.query_key);
        }
    }

    /// The time at which a query whose key will have to be remembered may be opened again; `None` if one may be opened
    /// now.
    pub(super) fn full_until(&self) -> Option<f64> {
        let is_full = self.required.len() + self.open.len() >= self.max_finished;
        let oldest = self.required.front().filter(|_| is_full)?;
        Some(oldest.expires_at)
    }

    /// Records that an earlier process sent the query of a key. The key is remembered until `expires_at`.
    pub(super) fn recover(&mut self, query_key: u64, expires_at: f64) {
        self.recovered.insert(query_key, expires_at);
    }

    /// Records that the queries of an earlier process are not known yet.
    pub(super) fn set_recovery_pending(&mut self) {
        self.recovery = Recovery::Pending;
    }

    /// Records that all queries that an earlier process sent are known.
    pub(super) fn set_recovery_complete(&mut self) {
        self.recovery = Recovery::Complete;
    }

    /// Whether an unknown key may belong to a query that an earlier process sent.
    pub(super) fn is_recovery_pending(&self) -> bool {
        self.recovery == Recovery::Pending
    }

    /// Removes the keys that have expired.
    pub(super) fn discard_expired(&mut self, now: f64) {
        for expiries in [&mut self.required, &mut self.dispensable] {
            while let Some(expired) = expiries.pop_front_if(|expiry| expiry.expires_at < now) {
                self.finished.remove(&expired.query_key);
            }
        }
        if !self.recovered.is_empty() {
            self.recovered.retain(|_, expires_at| *expires_at > now);
        }
    }
}

#[cfg(test)]
mod tests;
