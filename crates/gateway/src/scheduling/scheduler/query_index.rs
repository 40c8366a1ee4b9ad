//! Index of the query keys that are open, finished or recovered, so that a repeated request does not run its query
//! again.

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

/// The time at which the key of a finished query is forgotten.
struct Expiry {
    query_key: u64,
    expires_at: f64,
}

/// The query keys known to this process. Times are in seconds on the gateway's clock.
#[derive(Default)]
pub(super) struct QueryIndex {
    open: HashMap<u64, QueryId>,
    finished: HashSet<u64>,
    /// Expiries of finished keys, soonest first.
    expiries: VecDeque<Expiry>,
    /// Recovered keys with their expiry times.
    recovered: HashMap<u64, f64>,
    recovery: Recovery,
}

impl QueryIndex {
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

    /// Records that the query of a key has finished. The key is remembered until `expires_at`.
    pub(super) fn finish(&mut self, query_key: u64, expires_at: f64) {
        self.open.remove(&query_key);
        self.finished.insert(query_key);
        self.expiries.push_back(Expiry {
            query_key,
            expires_at,
        });
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
        while let Some(expiry) = self.expiries.front() {
            if expiry.expires_at >= now {
                break;
            }
            self.finished.remove(&expiry.query_key);
            self.expiries.pop_front();
        }
        if !self.recovered.is_empty() {
            self.recovered.retain(|_, expires_at| *expires_at > now);
        }
    }
}

#[cfg(test)]
mod tests;
