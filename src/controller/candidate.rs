//! An engine that a query may go to.

use super::engine_state::EngineState;
use crate::api::EngineId;

/// An engine that a query may go to.
pub(crate) struct Candidate {
    pub(crate) engine: EngineId,
    pub(crate) kind: usize,
    /// Cores that it can use now.
    pub(crate) effective_cores: f64,
    /// Our threads for each of these; `None` of an engine that was not contacted yet.
    pub(crate) threads_per_core: Option<f64>,
}

impl Candidate {
    pub(crate) fn new(id: EngineId, engine: &EngineState, effective_cores: f64) -> Self {
        let threads_per_core = engine.in_flight.threads / effective_cores;
        Candidate {
            engine: id,
            kind: engine.kind(),
            effective_cores,
            threads_per_core: engine.contacted.then_some(threads_per_core),
        }
    }
}
