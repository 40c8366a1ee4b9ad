//! Which engines get a health check, and how often.

use super::timers::microseconds;
use super::{AdmissionController, EngineState};
use crate::api::{AttemptEnd, EngineId, LoadReporting};

/// Seconds between health checks of an engine.
const HEALTH_CHECK_INTERVAL_SECONDS: f64 = 1.5;
/// Health checks that one admitted query pays for, so that their cost follows the traffic, not gateways x engines.
const HEALTH_CHECKS_PER_QUERY: f64 = 0.05;

impl AdmissionController {
    /// A health check has ended. To be called for each [`crate::api::NextAction::HealthCheck`], before the load report that came with it.
    pub fn health_check_ended(&mut self, now: f64, engine: EngineId, end: AttemptEnd) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        state.contacted = true;
        if end == AttemptEnd::ConnectFailed {
            self.record_failure(now, engine);
        }
    }

    /// A query was admitted: it pays for a part of a health check.
    pub(super) fn earn_health_check(&mut self) {
        let earned = self.health_check_budget + HEALTH_CHECKS_PER_QUERY;
        self.health_check_budget = earned.min(self.engines.len() as f64);
    }

    /// Queues health checks as far as queries have paid for them, of the engines whose last one is longest ago: those
    /// that have not been contacted, and all where load reports come with health checks only.
    pub(super) fn queue_health_checks(&mut self, now: f64) {
        while self.settings.health_checks_allowed && self.health_check_budget >= 1.0 {
            let Some(engine) = self.next_health_check(now) else {
                return;
            };
            self.engines[engine].health_check.next_at = now + HEALTH_CHECK_INTERVAL_SECONDS;
            self.health_check_budget -= 1.0;
            self.pending_health_checks.push_back(engine);
        }
    }

    fn next_health_check(&self, now: f64) -> Option<EngineId> {
        let all_engines = self.settings.load_reporting == LoadReporting::WithHealthChecks;
        self.ready
            .iter()
            .copied()
            .filter(|id| {
                let engine = &self.engines[*id];
                engine.health_check.next_at <= now && (all_engines || !engine.contacted)
            })
            .min_by_key(|id| turn(&self.engines[*id]))
    }
}

/// The order of health checks: by time, then by jitter, so that gateways do not all contact the same engines first.
fn turn(engine: &EngineState) -> (u64, u64) {
    (
        microseconds(engine.health_check.next_at),
        microseconds(engine.jitter),
    )
}
