//! Defines the candidates among which an engine is chosen for a query.

use super::engine_state::EngineState;
use crate::api::EngineId;

/// Engine that may run the query.
pub(crate) struct Candidate {
    pub(crate) engine: EngineId,
    pub(crate) kind: usize,
    /// Number of cores that the engine can use now.
    pub(crate) effective_cores: f64,
    /// This gateway's threads in flight per effective core; `None` if the engine has not been contacted yet.
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
