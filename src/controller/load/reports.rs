//! Derives the observed load of an engine from its load reports.

use super::engine_load::engine_load;
use super::{KIND_LOAD_DECAY_SECONDS, LOAD_LIMIT_THREADS_PER_CORE};
use crate::api::{AttemptOutcome, EngineId, LoadReport, Query};
use crate::controller::{AdmissionController, MIN_DIVISOR};

/// Fraction of busy cores that corresponds to the load limit. Less than 1, because threads also wait for reads and
/// writes.
const CPU_FRACTION_AT_LOAD_LIMIT: f64 = 0.9;
/// Fraction of time for which the disks are busy that corresponds to the load limit.
const DISK_FRACTION_AT_LOAD_LIMIT: f64 = 0.95;
/// Number of queries waiting for memory, per core, that corresponds to the load limit.
const MEMORY_WAITERS_PER_CORE_AT_LOAD_LIMIT: f64 = 0.1;
/// Upper limit of the load derived from queries waiting for memory, in units of the load limit.
const MAX_LOAD_BY_MEMORY_WAITERS: f64 = 2.0;

/// Total time in flight of this gateway's attempts that succeeded or timed out, from which their mean number of threads
/// is derived.
#[derive(Clone, Copy, Default)]
pub(crate) struct InFlightTime {
    pub(crate) thread_seconds: f64,
    pub(crate) seconds: f64,
}

impl AdmissionController {
    /// Records an engine's load report. If the report arrived with the outcome of an attempt, the caller must pass the
    /// report first. Reports of unknown engines are ignored.
    pub fn load_reported(&mut self, now: f64, engine: EngineId, report: LoadReport) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        state.contacted = true;
        state.load.threads_at_report = state.in_flight.threads;
        self.cpu_reported = report.cpu_utilisation.is_some();
        let reported_load = self.reported_load(engine, &report);
        let kind = self.engines[engine].kind();
        self.kinds.entry(kind).or_default().reported_load.add(
            now,
            KIND_LOAD_DECAY_SECONDS,
            reported_load,
        );
        let kind_load = self.kind_load(now, kind);
        let engine_load = engine_load(now, kind_load, &self.engines[engine]);
        let observed = &mut self.engines[engine].load;
        // A reported load below the assumed one is averaged with it, because an engine whose queries are blocked looks
        // idle.
        observed.load = reported_load.max((reported_load + engine_load) / 2.0);
        observed.observed_at = now;
        observed.reported_at = now;
    }

    /// Returns the highest of the loads derived from cores, disks, queries waiting for memory and queries in flight.
    fn reported_load(&self, engine: EngineId, report: &LoadReport) -> f64 {
        let cores = self.engines[engine].cores;
        let by_memory_waiters = report.waiting_for_memory.map_or(0.0, |waiting| {
            waiting / (MEMORY_WAITERS_PER_CORE_AT_LOAD_LIMIT * cores)
        });
        let by_disks = report
            .disk_utilisation
            .map_or(0.0, |fraction| fraction / DISK_FRACTION_AT_LOAD_LIMIT);
        let by_cores = report
            .cpu_utilisation
            .map_or(0.0, |fraction| fraction / CPU_FRACTION_AT_LOAD_LIMIT);
        let InFlightTime {
            thread_seconds,
            seconds,
        } = self.in_flight_time;
        let threads = report.in_flight.map_or(0.0, |queries| {
            queries * thread_seconds / seconds.max(MIN_DIVISOR)
        });
        by_cores
            .max(by_disks)
            .max(by_memory_waiters.min(MAX_LOAD_BY_MEMORY_WAITERS))
            .max(threads / (cores * LOAD_LIMIT_THREADS_PER_CORE))
    }

    /// Adds the time for which an attempt was in flight.
    pub(in crate::controller) fn count_in_flight_time(
        &mut self,
        query: &Query,
        outcome: &AttemptOutcome,
    ) {
        let threads = self.settings.classes[query.class].threads;
        self.in_flight_time.thread_seconds += outcome.latency * threads;
        self.in_flight_time.seconds += outcome.latency;
    }
}
