//! Which engines are probed, and how often.

use crate::api::LoadReporting;
use crate::state::{AdmissionController, Engine};

const PROBE_EVERY: f64 = 1.5; // seconds between probes of an engine; reports age by half, probes have a price

impl AdmissionController {
    /// Asks engines that were asked longest ago, as far as batches have paid: those not heard of, and all
    /// where reports come with probes only. Guards against gateways that all come to know the same few first.
    pub(super) fn probe(&mut self, now: f64) {
        let all = self.s.load_reporting == LoadReporting::WithHealthChecks;
        while self.may_ask >= 1.0 && self.s.health_checks_allowed {
            let due = |e: &Engine| e.probe_at <= now && (all || !e.heard);
            let due = self
                .ready
                .iter()
                .copied()
                .filter(|e| due(&self.engines[*e]));
            let Some(engine) = due.min_by_key(|e| self.engines[*e].probe_turn()) else {
                return;
            };
            self.engines[engine].probe_at = now + PROBE_EVERY;
            self.may_ask -= 1.0;
            self.probes.push_back(engine);
        }
    }
}
