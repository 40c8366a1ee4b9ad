//! The load of a whole kind of engine, and this gateway's share of it.

use super::{KIND_LOAD_DECAY_SECONDS, LOAD_LIMIT_THREADS_PER_CORE, MEMORY_FRACTION_AT_LOAD_LIMIT};
use crate::api::Query;
use crate::controller::{AdmissionController, MIN_DIVISOR};

/// Times the gateway's share of a kind's memory that it may fill while the kind is not under pressure.
const MEMORY_SHARE_TOLERANCE: f64 = 1.2;
/// Weight of the assumption that a kind is idle, in observations just made.
const IDLE_WEIGHT: f64 = 0.5;

impl AdmissionController {
    /// The load at which engines of a kind run, by reports or by how slow answers are. Where no utilisation of
    /// cores is reported, reports count under pressure only.
    pub(in crate::controller) fn kind_load(&self, now: f64, kind: usize) -> f64 {
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
    pub(in crate::controller) fn kind_load_with_query(
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
}
