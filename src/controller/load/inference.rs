//! The load that is inferred from how attempts end, or do not end.

use super::engine_load::{engine_load, load_since_report};
use super::{KIND_LOAD_DECAY_SECONDS, MAX_OBSERVED_LOAD};
use crate::api::EngineId;
use crate::controller::{AdmissionController, MIN_DIVISOR};

impl AdmissionController {
    /// Takes in a load that the way an attempt ended, or does not end, shows. While a report is recent it can raise
    /// the engine's load only to just under the limit: it ranks the engine and does not close it.
    pub(in crate::controller) fn infer_load(&mut self, now: f64, engine: EngineId, load: f64) {
        let kind = self.engines[engine].kind();
        let kind_state = self.kinds.entry(kind).or_default();
        kind_state
            .inferred_load
            .add(now, KIND_LOAD_DECAY_SECONDS, load);
        let kind_load = self.kind_load(now, kind);
        let engine_load = engine_load(now, kind_load, &self.engines[engine]);
        let raises_load = load > engine_load;
        if !raises_load {
            return;
        }
        let state = &mut self.engines[engine];
        let since_report = load_since_report(state);
        let report_is_recent = now - state.load.reported_at < KIND_LOAD_DECAY_SECONDS;
        let max_load = if report_is_recent {
            engine_load.max(1.0 - MIN_DIVISOR)
        } else {
            MAX_OBSERVED_LOAD
        };
        state.load.load = ((engine_load + load) / 2.0).min(max_load) - since_report;
        state.load.observed_at = now;
    }
}
