//! Detects unhealthy members by the outcomes of the gateway's own attempts, and widens the subset to compensate for
//! them.

use crate::engine::EngineKey;
use std::collections::BTreeMap;

/// Half-life of the weight of an attempt.
const HALVING_SECONDS: f64 = 10.0;

/// Minimum weighted number of attempts from which a member can be unhealthy.
const MIN_ATTEMPTS: f64 = 4.0;

/// A member is unhealthy if at least this fraction of its attempts failed.
const UNHEALTHY_FAILURE_RATE: f64 = 0.5;

/// Time for which a member stays unhealthy after its last failure, so that a member that recovers and fails again does
/// not change the subset each time.
const HOLD_DOWN_SECONDS: f64 = 30.0;

/// Time between the removals of two engines while the subset narrows.
const NARROW_SECONDS: f64 = 5.0;

/// The health of an engine as shown by the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOutcome {
    /// The engine responded properly, whether or not the query succeeded.
    Healthy,
    /// The attempt failed because of the engine, not because of the query.
    Failed,
}

/// Exponentially decayed counts of the attempts and failures at one member, as of `decayed_at`.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptHistory {
    attempts: f64,
    failures: f64,
    decayed_at: f64,
}

impl AttemptHistory {
    fn record(&mut self, now: f64, outcome: EngineOutcome) {
        let remaining = (-(now - self.decayed_at).max(0.0) / HALVING_SECONDS).exp2();
        self.attempts = self.attempts * remaining + 1.0;
        let failures = match outcome {
            EngineOutcome::Healthy => 0.0,
            EngineOutcome::Failed => 1.0,
        };
        self.failures = self.failures * remaining + failures;
        self.decayed_at = now;
    }

    fn is_unhealthy(&self) -> bool {
        self.attempts >= MIN_ATTEMPTS && self.failures >= self.attempts * UNHEALTHY_FAILURE_RATE
    }
}

/// The health of the members of a subset.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberHealth {
    histories: BTreeMap<EngineKey, AttemptHistory>,
    /// Unhealthy members, each with the time until which it stays unhealthy.
    unhealthy: BTreeMap<EngineKey, f64>,
    widened_by: usize,
    /// Time of the next narrowing step; `None` while the subset does not narrow.
    narrow_at: Option<f64>,
}

impl MemberHealth {
    /// Records the outcome of an attempt at a member. Returns whether the outcome made the member unhealthy.
    pub fn record(&mut self, now: f64, member: EngineKey, outcome: EngineOutcome) -> bool {
        let history = self.histories.entry(member).or_default();
        history.record(now, outcome);
        let is_unhealthy = history.is_unhealthy() || self.unhealthy.contains_key(&member);
        if outcome == EngineOutcome::Healthy || !is_unhealthy {
            return false;
        }
        let before = self.unhealthy.insert(member, now + HOLD_DOWN_SECONDS);
        before.is_none()
    }

    /// Forgets an engine that is no longer a member. If it was unhealthy, the subset may start to narrow.
    pub fn forget(&mut self, now: f64, engine: EngineKey) {
        self.histories.remove(&engine);
        if self.unhealthy.remove(&engine).is_some() && self.unhealthy.len() < self.widened_by {
            self.narrow_at.get_or_insert(now + NARROW_SECONDS);
        }
    }

    /// Widens the subset for unhealthy members, up to `reserve`, or narrows it by one if a step is due. Returns whether
    /// the size changed.
    pub fn advance(&mut self, now: f64, reserve: usize) -> bool {
        self.unhealthy
            .retain(|_, unhealthy_until| *unhealthy_until > now);
        let needed = self.unhealthy.len().min(reserve);
        if needed >= self.widened_by {
            let widened = needed > self.widened_by;
            self.widened_by = needed;
            self.narrow_at = None;
            return widened;
        }
        let narrow_at = *self.narrow_at.get_or_insert(now + NARROW_SECONDS);
        if now < narrow_at {
            return false;
        }
        self.widened_by -= 1;
        self.narrow_at = (needed < self.widened_by).then_some(now + NARROW_SECONDS);
        true
    }

    /// Returns the number of engines to hold beyond the effective size.
    pub fn widened_by(&self) -> usize {
        self.widened_by
    }

    /// Returns the number of unhealthy members.
    pub fn unhealthy_members(&self) -> usize {
        self.unhealthy.len()
    }

    /// Returns the time at which [`MemberHealth::advance`] may next change the size, or `None` if no change is due.
    pub fn wake(&self) -> Option<f64> {
        let recovers_at = self.unhealthy.values().copied().reduce(f64::min);
        recovers_at
            .into_iter()
            .chain(self.narrow_at)
            .reduce(f64::min)
    }
}
