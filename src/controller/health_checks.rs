//! Selects the engines that get a health check, and limits the number of checks.

use super::timers::microseconds;
use super::{AdmissionController, EngineState};
use crate::api::{AttemptEnd, EngineId, LoadReporting};

/// Minimum time between two health checks of an engine, in seconds.
const HEALTH_CHECK_INTERVAL_SECONDS: f64 = 1.5;
/// Number of health checks allowed per admitted query, so that their cost grows with the traffic and not with the
/// product of gateways and engines.
const HEALTH_CHECKS_PER_QUERY: f64 = 0.05;

impl AdmissionController {
    /// Reports the end of a health check or of an attempt to connect to the engine in advance. Only a failed connection
    /// counts as a failure of the engine. The caller passes a load report that came with the health check to
    /// [`Self::load_reported`]. Results for unknown engines are ignored.
    pub fn health_check_ended(&mut self, now: f64, engine: EngineId, end: AttemptEnd) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        state.contacted = true;
        if end == AttemptEnd::ConnectFailed {
            self.record_failure(now, engine);
        }
    }

    /// Adds the share of a health check that an admitted query allows, up to one health check per known engine.
    pub(super) fn add_health_check_budget(&mut self) {
        let earned = self.health_check_budget + HEALTH_CHECKS_PER_QUERY;
        self.health_check_budget = earned.min(self.engines.len() as f64);
    }

    /// Queues health checks up to the accumulated budget, starting with the engines that have been due longest. Engines
    /// that have already been contacted are checked only if load reports come with health checks.
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
            .min_by_key(|id| health_check_order(&self.engines[*id]))
    }
}

/// Returns the sort key for the order of health checks: first the due time, then the engine's jitter, so that gateways
/// do not all contact the same engines first.
fn health_check_order(engine: &EngineState) -> (u64, u64) {
    (
        microseconds(engine.health_check.next_at),
        microseconds(engine.jitter),
    )
}
