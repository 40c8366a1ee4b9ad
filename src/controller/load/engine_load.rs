//! Computes the load of one engine, and how much of its share of the engine this gateway uses.

use super::{LOAD_LIMIT_THREADS_PER_CORE, MEMORY_FRACTION_AT_LOAD_LIMIT};
use crate::api::Query;
use crate::controller::candidate::Candidate;
use crate::controller::engine_state::EngineState;
use crate::controller::{AdmissionController, HEALTH_DECAY_SECONDS};

/// Multiple of this gateway's share of an engine's threads above which its own threads count even if the observed load
/// is low: cores look idle while all threads wait for disks.
const MAX_OWN_SHARE_USED: f64 = 2.0;

impl AdmissionController {
    /// Returns the load that an engine would have with the query, in units of the load limit: the higher of the loads
    /// by threads and by memory. `needed_memory` is the query's expected memory in megabytes.
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

    /// Returns the observed load if it is below the limit and this gateway, with the query, uses at most
    /// [`MAX_OWN_SHARE_USED`] times its share of the engine's threads; otherwise the higher of the observed load and
    /// the share used. Without reports of CPU utilisation, the observed load is ignored while the kind is below the
    /// limit.
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

/// Returns the fraction of this gateway's share of an engine's memory that its queries use, including a query that
/// needs `needed` megabytes; 0 if the engine's memory is unknown. Staying within the share keeps the engine from
/// spilling and paging.
fn memory_share_used(engine: &EngineState, needed: f64) -> f64 {
    engine.memory.map_or(0.0, |memory| {
        let share = memory * MEMORY_FRACTION_AT_LOAD_LIMIT / engine.gateways;
        (engine.in_flight.memory + needed) / share.max(needed)
    })
}

/// Returns the assumed load of an engine, in units of the load limit: the latest observed load plus the threads started
/// since the last report, decaying towards the load of its kind.
pub(in crate::controller) fn engine_load(now: f64, kind_load: f64, engine: &EngineState) -> f64 {
    let elapsed = (now - engine.load.observed_at).max(0.0);
    let above_kind = engine.load.load + load_since_report(engine) - kind_load;
    kind_load + above_kind * (-elapsed / HEALTH_DECAY_SECONDS).exp()
}

/// Returns the load of the threads that this gateway has started at the engine since the last report, minus those that
/// ended.
pub(super) fn load_since_report(engine: &EngineState) -> f64 {
    let threads = engine.in_flight.threads - engine.load.threads_at_report;
    threads / (engine.cores * LOAD_LIMIT_THREADS_PER_CORE)
}
