//! The load of one engine, and this gateway's share of it.

use super::{LOAD_LIMIT_THREADS_PER_CORE, MEMORY_FRACTION_AT_LOAD_LIMIT};
use crate::api::Query;
use crate::controller::candidate::Candidate;
use crate::controller::engine_state::EngineState;
use crate::controller::{AdmissionController, HEALTH_DECAY_SECONDS};

/// Multiple of our share of an engine's threads past which our own threads count whatever is observed: cores are idle while all
/// wait for disks.
const MAX_OWN_SHARE_USED: f64 = 2.0;

impl AdmissionController {
    /// How full an engine would be with the query, in units of the load limit: by threads or by memory, whichever is
    /// fuller. `needed_memory` is the query's, in megabytes.
    pub(in crate::controller) fn load_with_query(
        &self,
        query: &Query,
        needed_memory: f64,
        candidate: &Candidate,
        engine_load: f64,
        kind_load: f64,
    ) -> f64 {
        let by_threads = self.load_by_threads(query, candidate, engine_load, kind_load);
        let engine = &self.engines[candidate.engine];
        by_threads.max(memory_share_used(engine, needed_memory))
    }

    /// The observed load. Where that is at the limit, or we use over [`MAX_OWN_SHARE_USED`] of our share of the engine's threads
    /// with the query, the greater of it and of the share used.
    fn load_by_threads(
        &self,
        query: &Query,
        candidate: &Candidate,
        engine_load: f64,
        kind_load: f64,
    ) -> f64 {
        let engine = &self.engines[candidate.engine];
        let threads = self.settings.classes[query.class].threads;
        let share = candidate.effective_cores * LOAD_LIMIT_THREADS_PER_CORE / engine.gateways;
        let share_used = (engine.in_flight.threads + threads) / share.max(threads);
        let observed = if !self.cpu_reported && kind_load < 1.0 {
            0.0
        } else {
            engine_load
        };
        if observed < 1.0 && share_used <= MAX_OWN_SHARE_USED {
            observed
        } else {
            observed.max(share_used)
        }
    }
}

/// How much of our share of an engine's memory our queries use with this one, which keeps it from spilling and paging;
/// 0 where its memory is not known.
fn memory_share_used(engine: &EngineState, needed: f64) -> f64 {
    engine.memory.map_or(0.0, |memory| {
        let share = memory * MEMORY_FRACTION_AT_LOAD_LIMIT / engine.gateways;
        (engine.in_flight.memory + needed) / share.max(needed)
    })
}

/// The load at which an engine is assumed to run: as observed last, with the threads begun since its last report, decaying to the
/// load of its kind.
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
