//! Which members fail by the gateway's own evidence, and by how much the subset widens for them.

use crate::EngineKey;
use std::collections::BTreeMap;

/// Attempts count half after this time.
const HALF_LIFE_SECONDS: f64 = 10.0;

/// Attempts that are needed for a judgement.
const MIN_ATTEMPTS: f64 = 4.0;

/// A member fails when this part of its attempts failed.
const FAILING_PART: f64 = 0.5;

/// A member is held for failing so long after its last failure, so that one that comes and goes moves nothing.
const HOLD_DOWN_SECONDS: f64 = 30.0;

/// Time between two steps back to the size without failures.
const NARROW_SECONDS: f64 = 5.0;

/// How attempts at one member ended, older ones fading.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptHistory {
    attempts: f64,
    failures: f64,
    faded_at: f64,
}

impl AttemptHistory {
    fn record(&mut self, now: f64, failed: bool) {
        let remaining = (-(now - self.faded_at).max(0.0) / HALF_LIFE_SECONDS).exp2();
        self.attempts = self.attempts * remaining + 1.0;
        self.failures = self.failures * remaining + f64::from(u8::from(failed));
        self.faded_at = now;
    }

    fn fails(&self) -> bool {
        self.attempts >= MIN_ATTEMPTS && self.failures >= self.attempts * FAILING_PART
    }
}

/// The health of a subset's members.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    histories: BTreeMap<EngineKey, AttemptHistory>,
    /// Failing members, and until when they are held for failing.
    failing: BTreeMap<EngineKey, f64>,
    widened_by: usize,
    narrow_at: Option<f64>,
}

impl Health {
    /// Takes in how an attempt at a member ended; whether it fails since then.
    pub fn record(&mut self, now: f64, member: EngineKey, failed: bool) -> bool {
        let history = self.histories.entry(member).or_default();
        history.record(now, failed);
        let fails = failed && (history.fails() || self.failing.contains_key(&member));
        fails
            && self
                .failing
                .insert(member, now + HOLD_DOWN_SECONDS)
                .is_none()
    }

    /// Forgets an engine that is no member any more. If it failed, the subset begins to narrow.
    pub fn forget(&mut self, now: f64, engine: EngineKey) {
        self.histories.remove(&engine);
        if self.failing.remove(&engine).is_some() && self.failing.len() < self.widened_by {
            self.narrow_at.get_or_insert(now + NARROW_SECONDS);
        }
    }

    /// Brings the widening up to date; whether it changed.
    pub fn advance(&mut self, now: f64, reserve: usize) -> bool {
        self.failing.retain(|_, held_until| *held_until > now);
        let needed = self.failing.len().min(reserve);
        if needed >= self.widened_by {
            let widens = needed > self.widened_by;
            self.widened_by = needed;
            self.narrow_at = None;
            return widens;
        }
        let narrow_at = *self.narrow_at.get_or_insert(now + NARROW_SECONDS);
        if now < narrow_at {
            return false;
        }
        self.widened_by -= 1;
        self.narrow_at = (needed < self.widened_by).then_some(now + NARROW_SECONDS);
        true
    }

    /// Engines to hold beyond the size.
    pub fn widened_by(&self) -> usize {
        self.widened_by
    }

    /// Members that fail.
    pub fn unhealthy_members(&self) -> usize {
        self.failing.len()
    }

    /// When [`Health::advance`] may change something next.
    pub fn wake(&self) -> Option<f64> {
        let held_until = self.failing.values().copied().reduce(f64::min);
        held_until
            .into_iter()
            .chain(self.narrow_at)
            .reduce(f64::min)
    }
}
