//! The load that is inferred from how attempts end, or do not end.

use super::engine_load::{engine_load, load_since_report};
use super::{KIND_LOAD_DECAY_SECONDS, MAX_OBSERVED_LOAD};
use crate::api::EngineId;
use crate::controller::engine_state::EngineState;
use crate::controller::AdmissionController;

/// Seconds for which a load report is recent: inference does not close its engine.
const RECENT_REPORT_SECONDS: f64 = 2.0;
/// A load that ranks an engine behind others and does not close it.
const JUST_BELOW_LOAD_LIMIT: f64 = 1.0 - 1e-3;

impl AdmissionController {
    /// Takes in a load that the end of an attempt, or its absence, shows. It can raise the engine's observed load, not
    /// lower it.
    pub(in crate::controller) fn infer_load(&mut self, now: f64, engine: EngineId, load: f64) {
        let kind = self.engines[engine].kind();
        let kind_state = self.kinds.entry(kind).or_default();
        kind_state
            .inferred_load
            .add(now, KIND_LOAD_DECAY_SECONDS, load);
        let kind_load = self.kind_load(now, kind);
        let state = &mut self.engines[engine];
        let known_load = engine_load(now, kind_load, state);
        let raises_load = load > known_load;
        if !raises_load {
            return;
        }
        let raised_load =
            ((known_load + load) / 2.0).min(max_inferred_load(now, state, known_load));
        // Readers of the observed load add the threads begun since the report themselves.
        state.load.load = raised_load - load_since_report(state);
        state.load.observed_at = now;
    }
}

/// The load up to which inference may raise an engine. While a load report is recent that is just under the limit: what
/// is inferred then ranks the engine and does not close it.
fn max_inferred_load(now: f64, engine: &EngineState, known_load: f64) -> f64 {
    let report_is_recent = now - engine.load.reported_at < RECENT_REPORT_SECONDS;
    if report_is_recent {
        known_load.max(JUST_BELOW_LOAD_LIMIT)
    } else {
        MAX_OBSERVED_LOAD
    }
}
