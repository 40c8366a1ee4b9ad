//! Checks each attempt right before it begins, whichever decision led to it: a first attempt, a repeated one, or one that
//! follows the end of another query.
//!
//! [`AttemptGuard`] keeps its own record of what has begun and ended. It repeats none of the decisions of
//! [`controller`](crate::controller), and finds an attempt that breaks a rule by a fault in them.
//!
//! It does no I/O and reads no clock. All times are in seconds on the caller's clock.

use crate::api::QueryId;
use crate::key_arrivals::{ArrivalBounds, KeyArrivals};
use std::collections::{HashMap, HashSet};
use std::fmt;

/// Rule that an attempt would break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ViolatedRule {
    /// The query has its final answer.
    FinalAnswer,
    /// No client waits for the query.
    ClientLeft,
    /// An attempt of the query is out.
    OneAttemptAtATime,
    /// An earlier attempt may have run, and the query must not run twice.
    NoEffectTwice,
    /// An attempt of another query of the ordering key is out.
    KeyOneAtATime,
    /// A query of the ordering key that may have arrived later has begun.
    KeyOrder,
}

impl fmt::Display for ViolatedRule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ViolatedRule::FinalAnswer => "the query has its final answer",
            ViolatedRule::ClientLeft => "no client waits for the query",
            ViolatedRule::OneAttemptAtATime => "an attempt of the query is out",
            ViolatedRule::NoEffectTwice => "the query may have run, and must not run twice",
            ViolatedRule::KeyOneAtATime => "an attempt of another query of the key is out",
            ViolatedRule::KeyOrder => "a later query of the key has begun",
        })
    }
}

/// Place of a query in the order of its ordering key.
#[derive(Clone, Copy, Debug)]
pub struct KeyPlace {
    /// The ordering key.
    pub key: u64,
    /// When the query arrived.
    pub arrival: ArrivalBounds,
}

/// What is known of a query when an attempt of it is about to begin.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// The query.
    pub query: QueryId,
    /// Its place among the queries of its ordering key; `None` if its class is not ordered.
    pub key_place: Option<KeyPlace>,
    /// Whether an attempt of the query has begun before.
    pub is_retry: bool,
    /// Whether an attempt of the query may have run.
    pub may_have_run: bool,
    /// Whether the query must not run twice.
    pub is_non_idempotent: bool,
    /// Whether the query has its final answer.
    pub is_answered: bool,
    /// Whether a client waits for the query.
    pub has_client: bool,
}

/// The attempts that are out, and the newest arrival of each ordering key that has begun.
#[derive(Debug)]
pub struct AttemptGuard {
    queries_out: HashSet<QueryId>,
    keys_out: HashMap<u64, QueryId>,
    begun: KeyArrivals,
}

impl AttemptGuard {
    /// Returns a guard with no attempt out. Queries begin within `longest_deadline_seconds` of their arrival.
    pub fn new(longest_deadline_seconds: f64) -> Self {
        AttemptGuard {
            queries_out: HashSet::new(),
            keys_out: HashMap::new(),
            begun: KeyArrivals::new(longest_deadline_seconds),
        }
    }

    /// Records an attempt that begins.
    ///
    /// # Errors
    ///
    /// The attempt must not begin, and is not recorded.
    pub fn begin(&mut self, facts: &AttemptFacts) -> Result<(), ViolatedRule> {
        self.check(facts)?;
        self.queries_out.insert(facts.query);
        if let Some(KeyPlace { key, arrival }) = facts.key_place {
            self.keys_out.insert(key, facts.query);
            if !facts.is_retry {
                self.begun.record(key, arrival);
            }
        }
        Ok(())
    }

    fn check(&self, facts: &AttemptFacts) -> Result<(), ViolatedRule> {
        if facts.is_answered {
            return Err(ViolatedRule::FinalAnswer);
        }
        if !facts.has_client {
            return Err(ViolatedRule::ClientLeft);
        }
        if self.queries_out.contains(&facts.query) {
            return Err(ViolatedRule::OneAttemptAtATime);
        }
        if facts.is_non_idempotent && facts.may_have_run {
            return Err(ViolatedRule::NoEffectTwice);
        }
        let Some(KeyPlace { key, arrival }) = facts.key_place else {
            return Ok(());
        };
        if self.keys_out.contains_key(&key) {
            return Err(ViolatedRule::KeyOneAtATime);
        }
        if !facts.is_retry && !self.begun.may_follow(key, arrival) {
            return Err(ViolatedRule::KeyOrder);
        }
        Ok(())
    }

    /// Records the end of an attempt of the query, which can't be running any more.
    pub fn end(&mut self, query: QueryId, ordering_key: Option<u64>) {
        self.queries_out.remove(&query);
        if let Some(key) = ordering_key.filter(|key| self.keys_out.get(key) == Some(&query)) {
            self.keys_out.remove(&key);
        }
    }

    /// Forgets the arrivals that are older than the longest deadline at `now`.
    pub fn discard_expired(&mut self, now: f64) {
        self.begun.discard_expired(now);
    }
}

#[cfg(test)]
mod tests;
