//! Implements outlier ejection: an engine whose attempts fail far more often than the mean of the pool is not used for
//! a while. Any engine whose failure rate is above the threshold, ejected before or not, runs one query at a time.

use super::engine_state::EngineState;
use super::{AdmissionController, MAX_PLACEMENT_RETRY_DELAY_SECONDS};
use crate::api::EngineId;

/// Weight of a failed attempt in the failure rate; a success has half the weight. With
/// [`HEALTH_DECAY_SECONDS`](super::HEALTH_DECAY_SECONDS), 4 failures at once exceed [`EJECTION_FAILURE_RATE`], as do 7
/// failures at one per second; failures 1.24 s or more apart never exceed it.
const FAILURE_WEIGHT: f64 = 0.3;
/// Failure rate above which an engine can be ejected and runs one query at a time. An engine that fails only some of
/// its attempts stays in use.
const EJECTION_FAILURE_RATE: f64 = 0.75;
/// Ratio to the pool's mean failure rate above which an engine is an outlier. If all engines fail alike, ejection would
/// cost more than it gains.
const OUTLIER_RATIO: f64 = 2.0;
/// Duration of an ejection, in seconds. Shorter than [`HEALTH_DECAY_SECONDS`](super::HEALTH_DECAY_SECONDS) x
/// ln(1 / [`EJECTION_FAILURE_RATE`]) = 2.3 s: after that time, the failure rate of every engine has decayed below the
/// threshold, and no engine would be limited to one query at a time.
const EJECTION_SECONDS: f64 = 2.0;

/// Returns whether an engine may be used: it is not being avoided, and its failure rate is below the threshold or it
/// has no attempt in flight. An attempt with an unknown outcome counts as in flight until its end is reported.
pub(super) fn is_available(engine: &EngineState, now: f64) -> bool {
    engine.health.avoided_until <= now
        && (engine.health.failure_rate(now) <= EJECTION_FAILURE_RATE
            || engine.in_flight.attempts == 0)
}

impl AdmissionController {
    /// Records a successful attempt at the engine.
    pub(super) fn record_success(&mut self, now: f64, engine: EngineId) {
        let health = &mut self.engines[engine].health;
        health.last_success_at = now;
        health.undecayed_failure_rate *= 1.0 - FAILURE_WEIGHT / 2.0;
    }

    /// Records that the engine had no capacity. It is not used for [`MAX_PLACEMENT_RETRY_DELAY_SECONDS`], so that other
    /// engines are tried first.
    pub(super) fn record_rejection(&mut self, now: f64, engine: EngineId) {
        let health = &mut self.engines[engine].health;
        health.avoided_until = health
            .avoided_until
            .max(now + MAX_PLACEMENT_RETRY_DELAY_SECONDS);
    }

    /// Records a failed attempt or health check at the engine, and ejects the engine if its failure rate is above the
    /// threshold and far above the pool's mean.
    pub(super) fn record_failure(&mut self, now: f64, engine: EngineId) {
        let failure_rates = self.ready.iter().map(|id| &self.engines[*id].health);
        let sum: f64 = failure_rates.map(|health| health.failure_rate(now)).sum();
        let pool_mean = sum / self.ready.len().max(1) as f64;
        let health = &mut self.engines[engine].health;
        let before = health.failure_rate(now);
        health.undecayed_failure_rate = before + (1.0 - before) * FAILURE_WEIGHT;
        health.failed_at = now;
        let is_outlier = health.undecayed_failure_rate > EJECTION_FAILURE_RATE
            && health.undecayed_failure_rate > OUTLIER_RATIO * pool_mean;
        if is_outlier && health.avoided_until <= now {
            health.avoided_until = now + EJECTION_SECONDS;
        }
    }
}
