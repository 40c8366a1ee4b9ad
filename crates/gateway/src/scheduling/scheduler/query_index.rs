//! What is known of each query key, so that no query runs again because its client repeats the request.

use garnetwall::api::QueryId;
use std::collections::{HashMap, HashSet, VecDeque};

/// What is known of the query of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryKeyState {
    /// It is open in this process.
    Open(QueryId),
    /// It has finished in this process, and its key is remembered.
    Finished,
    /// An earlier process sent it, and it may have run.
    Recovered,
}

/// Whether the queries that an earlier process sent are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Recovery {
    /// They are known, or no journal is kept.
    #[default]
    Complete,
    /// The journal has not been read yet.
    Pending,
}

/// When the key of a finished query is forgotten.
struct Expiry {
    query_key: u64,
    expires_at: f64,
}

/// The query keys that this process knows. Times are seconds on the gateway's clock.
#[derive(Default)]
pub(super) struct QueryIndex {
    open: HashMap<u64, QueryId>,
    finished: HashSet<u64>,
    /// The expiries of finished keys, soonest first.
    expiries: VecDeque<Expiry>,
    /// Recovered keys, with the time at which each expires.
    recovered: HashMap<u64, f64>,
    recovery: Recovery,
}

impl QueryIndex {
    /// The state of a key's query; `None` for a key that is not known.
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

    /// A query has been admitted under a key.
    pub(super) fn open(&mut self, query_key: u64, id: QueryId) {
        self.open.insert(query_key, id);
    }

    /// The query of a key has finished; the key is remembered until `expires_at`.
    pub(super) fn finish(&mut self, query_key: u64, expires_at: f64) {
        self.open.remove(&query_key);
        self.finished.insert(query_key);
        self.expiries.push_back(Expiry {
            query_key,
            expires_at,
        });
    }

    /// An earlier process sent the query of a key, which counts until `expires_at`.
    pub(super) fn recover(&mut self, query_key: u64, expires_at: f64) {
        self.recovered.insert(query_key, expires_at);
    }

    /// The queries that an earlier process sent are not known yet.
    pub(super) fn set_recovery_pending(&mut self) {
        self.recovery = Recovery::Pending;
    }

    /// All queries that an earlier process sent are known.
    pub(super) fn recovery_complete(&mut self) {
        self.recovery = Recovery::Complete;
    }

    /// Whether an unknown key may be that of a query that an earlier process sent.
    pub(super) fn is_recovery_pending(&self) -> bool {
        self.recovery == Recovery::Pending
    }

    /// Forgets the keys that have expired.
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
