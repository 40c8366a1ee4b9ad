//! The load of engines and of whole kinds, as load reports and answers show it, and this gateway's share of a kind.
//!
//! Loads are in units of the load limit: at 1 an engine runs [`LOAD_LIMIT_THREADS_PER_CORE`] threads a core.

use super::candidate::Candidate;
use super::engine_state::EngineState;
use super::{AdmissionController, HEALTH_DECAY_SECONDS, MIN_DIVISOR};
use crate::api::{AttemptOutcome, EngineId, LoadReport, Query};

/// Threads a core that an engine is filled to.
const LOAD_LIMIT_THREADS_PER_CORE: f64 = 1.5;
/// Fraction of memory in use that stands for the load limit.
const MEMORY_FRACTION_AT_LOAD_LIMIT: f64 = 0.7;
/// Fraction of busy cores that stands for the load limit; threads also read and write.
const CPU_FRACTION_AT_LOAD_LIMIT: f64 = 0.9;
/// Fraction of busy disks that stands for the load limit.
const DISK_FRACTION_AT_LOAD_LIMIT: f64 = 0.95;
/// Queries a core waiting for memory that stand for the load limit.
const MEMORY_WAITERS_PER_CORE_AT_LOAD_LIMIT: f64 = 0.1;
/// Load that queries waiting for memory count as at most.
const MAX_LOAD_BY_MEMORY_WAITERS: f64 = 2.0;
/// Latency over bare work that stands for the load limit; threads share cores and wait for disks.
pub(super) const SLOWDOWN_AT_LOAD_LIMIT: f64 = 2.0;
/// Load that one answer, rejection or overdue attempt counts as at most.
pub(super) const MAX_OBSERVED_LOAD: f64 = 2.0;
/// Times the gateway's share of a kind's memory that it may fill while the kind is not under pressure.
const MEMORY_SHARE_TOLERANCE: f64 = 1.2;
/// Load by our own threads that counts whatever is reported: cores are idle while all wait for disks.
const OWN_THREADS_PRESSURE: f64 = 2.0;
/// Seconds in which the observed load of a kind decays.
const KIND_LOAD_DECAY_SECONDS: f64 = 2.0;
/// Weight of the assumption that a kind is idle, in observations just made.
const IDLE_WEIGHT: f64 = 0.5;

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
    pub(super) fn count_in_flight_time(&mut self, query: &Query, outcome: &AttemptOutcome) {
        let threads = self.settings.classes[query.class].threads;
        self.in_flight_time.thread_seconds += outcome.latency * threads;
        self.in_flight_time.seconds += outcome.latency;
    }

    /// Takes in a load that the way an attempt ended, or does not end, shows. While a report is recent it can raise
    /// the engine's load only to just under the limit: it ranks the engine and does not close it.
    pub(super) fn infer_load(&mut self, now: f64, engine: EngineId, load: f64) {
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

    /// The load at which engines of a kind run, by reports or by how slow answers are. Where no utilisation of
    /// cores is reported, reports count under pressure only.
    pub(super) fn kind_load(&self, now: f64, kind: usize) -> f64 {
        let Some(kind_state) = self.kinds.get(&kind) else {
            return 0.0;
        };
        let inferred = kind_state
            .inferred_load
            .mean(now, KIND_LOAD_DECAY_SECONDS, IDLE_WEIGHT);
        let reports_count = inferred >= 1.0 || self.cpu_reported;
        let reported = if reports_count {
            kind_state
                .reported_load
                .mean(now, KIND_LOAD_DECAY_SECONDS, IDLE_WEIGHT)
        } else {
            0.0
        };
        reported.max(inferred)
    }

    /// Load of a whole kind with the query. By this gateway's share of the kind's memory; under pressure the mean of the kind's
    /// observed load and this gateway's share of threads or memory, whichever is fuller.
    ///
    /// A share of one engine is under one query, so that without this many gateways would each begin few queries and too many
    /// together.
    ///
    /// `effective_cores` is the sum over the engines of the kind that are open to the query.
    pub(super) fn kind_load_with_query(
        &self,
        now: f64,
        kind: usize,
        effective_cores: f64,
        query: &Query,
    ) -> f64 {
        let Some(kind_state) = self.kinds.get(&kind) else {
            return 0.0;
        };
        let kind_load = self.kind_load(now, kind);
        let needed_memory = self.expected_memory(query);
        let threads = self.settings.classes[query.class].threads;
        let gateways = kind_state.ready.gateways(self.settings.gateways);
        let thread_share = effective_cores * LOAD_LIMIT_THREADS_PER_CORE / gateways;
        let by_threads = (kind_state.threads_in_flight + threads) / thread_share.max(threads);
        let memory =
            kind_state.ready.memory * effective_cores / kind_state.ready.cores.max(MIN_DIVISOR);
        let memory_share = (memory * MEMORY_FRACTION_AT_LOAD_LIMIT / gateways)
            .max(needed_memory)
            .max(MIN_DIVISOR);
        let by_memory = if kind_state.ready.memory > 0.0 {
            (kind_state.memory_in_flight + needed_memory) / memory_share
        } else {
            0.0
        };
        if kind_load < 1.0 {
            by_memory / MEMORY_SHARE_TOLERANCE
        } else {
            (kind_load + by_threads.max(by_memory)) / 2.0
        }
    }

    /// How full an engine is with the query: by its observed load or our threads against our share, and by our memory
    /// there, which keeps it from spilling and paging.
    pub(super) fn load_with_query(
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
pub(super) fn engine_load(now: f64, kind_load: f64, engine: &EngineState) -> f64 {
    let elapsed = (now - engine.load.observed_at).max(0.0);
    let above_kind = engine.load.load + load_since_report(engine) - kind_load;
    kind_load + above_kind * (-elapsed / HEALTH_DECAY_SECONDS).exp()
}

/// Load of the threads that this gateway has begun there since the last report, less those that ended.
fn load_since_report(engine: &EngineState) -> f64 {
    let threads = engine.in_flight.threads - engine.load.threads_at_report;
    threads / (engine.cores * LOAD_LIMIT_THREADS_PER_CORE)
}
