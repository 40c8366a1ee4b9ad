//! Outlier ejection: an engine whose attempts fail far more often than those of the pool is not used for a while. While its
//! failure rate is above the threshold, it then takes one query at a time.

use super::engine_state::EngineState;
use super::{AdmissionController, MAX_PLACEMENT_RETRY_DELAY_SECONDS};
use crate::api::EngineId;

/// Weight of a failed attempt in the failure rate; a success has half of it. With [`HEALTH_DECAY_SECONDS`](super::HEALTH_DECAY_SECONDS) it takes 4 failures at
/// once to pass [`EJECTION_FAILURE_RATE`], 7 at one a second, and failures over 1.2 s apart never do.
const FAILURE_WEIGHT: f64 = 0.3;
/// Failure rate above which an engine is ejected. One that fails in part still serves.
const EJECTION_FAILURE_RATE: f64 = 0.75;
/// Times the pool's mean failure rate that an outlier has; where all fail alike, ejection would lose more.
const OUTLIER_RATIO: f64 = 2.0;
/// Seconds that an engine stays ejected. Under [`HEALTH_DECAY_SECONDS`](super::HEALTH_DECAY_SECONDS) x ln(1 / [`EJECTION_FAILURE_RATE`]) = 2.3 s: after that no
/// engine would be above the threshold any more, and none would take one query at a time.
const EJECTION_SECONDS: f64 = 2.0;

/// Whether an engine may be used: it is not avoided for now, and above the threshold it takes a single query at a time. An
/// attempt of unknown outcome counts until the proof of its end.
pub(super) fn is_available(engine: &EngineState, now: f64) -> bool {
    engine.health.avoided_until <= now
        && (engine.health.failure_rate(now) <= EJECTION_FAILURE_RATE
            || engine.in_flight.attempts == 0)
}

impl AdmissionController {
    /// An attempt at the engine has succeeded.
    pub(super) fn record_success(&mut self, now: f64, engine: EngineId) {
        let health = &mut self.engines[engine].health;
        health.last_success_at = now;
        health.undecayed_failure_rate *= 1.0 - FAILURE_WEIGHT / 2.0;
    }

    /// The engine had no capacity: it is not used for [`MAX_PLACEMENT_RETRY_DELAY_SECONDS`], so that others are tried first.
    pub(super) fn record_rejection(&mut self, now: f64, engine: EngineId) {
        let health = &mut self.engines[engine].health;
        health.avoided_until = health
            .avoided_until
            .max(now + MAX_PLACEMENT_RETRY_DELAY_SECONDS);
    }

    /// An attempt or a health check at the engine has failed: it is ejected where it fails far more than the pool.
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
