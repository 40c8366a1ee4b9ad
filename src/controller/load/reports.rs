//! The load that an engine's load report shows.

use super::engine_load::engine_load;
use super::{KIND_LOAD_DECAY_SECONDS, LOAD_LIMIT_THREADS_PER_CORE};
use crate::api::{AttemptOutcome, EngineId, LoadReport, Query};
use crate::controller::{AdmissionController, MIN_DIVISOR};

/// Fraction of busy cores that stands for the load limit; threads also read and write.
const CPU_FRACTION_AT_LOAD_LIMIT: f64 = 0.9;
/// Fraction of busy disks that stands for the load limit.
const DISK_FRACTION_AT_LOAD_LIMIT: f64 = 0.95;
/// Queries a core waiting for memory that stand for the load limit.
const MEMORY_WAITERS_PER_CORE_AT_LOAD_LIMIT: f64 = 0.1;
/// Load that queries waiting for memory count as at most.
const MAX_LOAD_BY_MEMORY_WAITERS: f64 = 2.0;

/// Thread-seconds and seconds that this gateway's attempts were in flight, for their mean number of threads.
#[derive(Clone, Copy, Default)]
pub(crate) struct InFlightTime {
    pub(crate) thread_seconds: f64,
    pub(crate) seconds: f64,
}

impl AdmissionController {
    /// Takes in an engine's load report. To be called for each report, before the outcome that came with it.
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
        // A report of less load counts half: an engine whose queries stand still looks idle.
        observed.load = reported_load.max((reported_load + engine_load) / 2.0);
        observed.observed_at = now;
        observed.reported_at = now;
    }

    /// The highest of the loads that a report shows: cores, disks, queries waiting for memory, queries in flight.
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

    /// Counts how long an attempt was in flight.
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
