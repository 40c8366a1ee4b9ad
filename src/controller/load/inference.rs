//! Infers the load of engines and kinds from the ends of attempts and from overdue attempts.

use super::engine_load::{engine_load, load_since_report};
use super::{KIND_LOAD_DECAY_SECONDS, MAX_OBSERVED_LOAD};
use crate::api::EngineId;
use crate::controller::engine_state::EngineState;
use crate::controller::AdmissionController;

/// Age in seconds up to which a load report counts as recent. Inferred load alone does not bring an engine with a
/// recent report to the load limit.
const RECENT_REPORT_SECONDS: f64 = 2.0;
/// Load that ranks an engine behind less loaded ones but is still below the load limit.
const JUST_BELOW_LOAD_LIMIT: f64 = 1.0 - 1e-3;

impl AdmissionController {
    /// Records the load that an ended or overdue attempt indicates, in units of the load limit. The engine's observed
    /// load can only rise by this; the load of its kind can also fall.
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
        // `engine_load` adds the threads started since the last report, so they are subtracted here.
        state.load.load = raised_load - load_since_report(state);
        state.load.observed_at = now;
    }
}

/// Returns the load up to which inference may raise an engine's load. After a recent load report it is just below the
/// limit, unless the engine's load is already higher, so that inferred load affects the engine's rank but does not
/// bring it to the limit.
fn max_inferred_load(now: f64, engine: &EngineState, known_load: f64) -> f64 {
    let report_is_recent = now - engine.load.reported_at < RECENT_REPORT_SECONDS;
    if report_is_recent {
        known_load.max(JUST_BELOW_LOAD_LIMIT)
    } else {
        MAX_OBSERVED_LOAD
    }
}
