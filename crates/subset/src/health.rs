//! Judges which members fail by the outcomes of the gateway's own attempts, and widens the subset for them.

use crate::engine::EngineKey;
use std::collections::BTreeMap;

/// The time after which an attempt counts half.
const HALVING_SECONDS: f64 = 10.0;

/// The least number of attempts for a judgement.
const MIN_ATTEMPTS: f64 = 4.0;

/// A member is unhealthy when this fraction of its attempts failed.
const UNHEALTHY_FAILURE_RATE: f64 = 0.5;

/// How long a member counts as unhealthy after its last failure, so that one that recovers and fails again moves nothing.
const HOLD_DOWN_SECONDS: f64 = 30.0;

/// The time between two steps back to the size without failures.
const NARROW_SECONDS: f64 = 5.0;

/// What the end of an attempt says of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOutcome {
    /// The engine did its part, whatever became of the query.
    Healthy,
    /// The engine is at fault, and not the query.
    Failed,
}

/// The outcomes of attempts at one member; older ones count less.
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

/// The health of a subset's members.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberHealth {
    histories: BTreeMap<EngineKey, AttemptHistory>,
    /// Unhealthy members, and until when they count as such.
    unhealthy: BTreeMap<EngineKey, f64>,
    widened_by: usize,
    narrow_at: Option<f64>,
}

impl MemberHealth {
    /// Records how an attempt at a member ended; whether that made the member unhealthy.
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

    /// Forgets an engine that is no member any more. If it was unhealthy, the subset begins to narrow.
    pub fn forget(&mut self, now: f64, engine: EngineKey) {
        self.histories.remove(&engine);
        if self.unhealthy.remove(&engine).is_some() && self.unhealthy.len() < self.widened_by {
            self.narrow_at.get_or_insert(now + NARROW_SECONDS);
        }
    }

    /// Widens or narrows the subset as far as is due; whether it changed.
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

    /// The number of engines to hold beyond the size.
    pub fn widened_by(&self) -> usize {
        self.widened_by
    }

    /// The number of unhealthy members.
    pub fn unhealthy_members(&self) -> usize {
        self.unhealthy.len()
    }

    /// When [`MemberHealth::advance`] may change something next.
    pub fn wake(&self) -> Option<f64> {
        let recovers_at = self.unhealthy.values().copied().reduce(f64::min);
        recovers_at
            .into_iter()
            .chain(self.narrow_at)
            .reduce(f64::min)
    }
}
