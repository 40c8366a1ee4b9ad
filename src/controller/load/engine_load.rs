//! The load of one engine, and this gateway's share of it.

use super::{LOAD_LIMIT_THREADS_PER_CORE, MEMORY_FRACTION_AT_LOAD_LIMIT};
use crate::api::Query;
use crate::controller::candidate::Candidate;
use crate::controller::engine_state::EngineState;
use crate::controller::{AdmissionController, HEALTH_DECAY_SECONDS};

/// Load by our own threads that counts whatever is reported: cores are idle while all wait for disks.
const OWN_THREADS_PRESSURE: f64 = 2.0;

impl AdmissionController {
    /// How full an engine is with the query: by its observed load or our threads against our share, and by our memory
    /// there, which keeps it from spilling and paging.
    pub(in crate::controller) fn load_with_query(
        &self,
        query: &Query,
        needed_memory: f64,
        candidate: &Candidate,
        engine_load: f64,
        kind_load: f64,
    ) -> f64 {
        let engine = &self.engines[candidate.engine];
        let threads = self.settings.classes[query.class].threads;
        let thread_share =
            candidate.effective_cores * LOAD_LIMIT_THREADS_PER_CORE / engine.gateways;
        let by_own_threads = (engine.in_flight.threads + threads) / thread_share.max(threads);
        let observed = if !self.cpu_reported && kind_load < 1.0 {
            0.0
        } else {
            engine_load
        };
        let by_threads = if observed < 1.0 && by_own_threads <= OWN_THREADS_PRESSURE {
            observed
        } else {
            observed.max(by_own_threads)
        };
        let by_memory = engine.memory.map_or(0.0, |memory| {
            let share = memory * MEMORY_FRACTION_AT_LOAD_LIMIT / engine.gateways;
            (engine.in_flight.memory + needed_memory) / share.max(needed_memory)
        });
        by_threads.max(by_memory)
    }
}

/// The load at which an engine is assumed to run: as observed last, decaying to the load of its kind.
pub(in crate::controller) fn engine_load(now: f64, kind_load: f64, engine: &EngineState) -> f64 {
    let elapsed = (now - engine.load.observed_at).max(0.0);
    let above_kind = engine.load.load + load_since_report(engine) - kind_load;
    kind_load + above_kind * (-elapsed / HEALTH_DECAY_SECONDS).exp()
}

/// Load of the threads that this gateway has begun there since the last report, less those that ended.
pub(super) fn load_since_report(engine: &EngineState) -> f64 {
    let threads = engine.in_flight.threads - engine.load.threads_at_report;
    threads / (engine.cores * LOAD_LIMIT_THREADS_PER_CORE)
}
