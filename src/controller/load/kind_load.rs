//! The load of a whole kind of engine, and this gateway's share of it.

use super::{KIND_LOAD_DECAY_SECONDS, LOAD_LIMIT_THREADS_PER_CORE, MEMORY_FRACTION_AT_LOAD_LIMIT};
use crate::api::Query;
use crate::controller::kind_state::KindState;
use crate::controller::{AdmissionController, MIN_DIVISOR};

/// Times the gateway's share of a kind's memory that it may fill while the kind is not under pressure.
const MEMORY_SHARE_TOLERANCE: f64 = 1.2;
/// Weight of the assumption that a kind is idle, in observations just made.
const IDLE_WEIGHT: f64 = 0.5;

impl AdmissionController {
    /// The load at which engines of a kind run, by reports, or by slow answers, rejections and overdue attempts. Where no utilisation of
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

    /// The load of a whole kind with the query. Below the load limit: how much of this gateway's share of the kind's memory is used,
    /// over [`MEMORY_SHARE_TOLERANCE`]. From the limit on (under pressure): the mean of the kind's load and of the fuller of this
    /// gateway's shares of threads and memory.
    ///
    /// A share of one engine is under one query, so that without this many gateways would each begin few queries and too
    /// many together.
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
        let by_memory = self.memory_share_used(kind_state, effective_cores, query);
        if kind_load < 1.0 {
            return by_memory / MEMORY_SHARE_TOLERANCE;
        }
        let by_threads = self.thread_share_used(kind_state, effective_cores, query);
        (kind_load + by_threads.max(by_memory)) / 2.0
    }

    /// How much of its share of a kind's threads this gateway uses with the query; 1 is all of it.
    fn thread_share_used(&self, kind: &KindState, effective_cores: f64, query: &Query) -> f64 {
        let gateways = kind.ready.gateways(self.settings.gateways);
        let threads = self.settings.classes[query.class].threads;
        let share = effective_cores * LOAD_LIMIT_THREADS_PER_CORE / gateways;
        (kind.threads_in_flight + threads) / share.max(threads)
    }

    /// How much of its share of a kind's memory this gateway uses with the query; 1 is all of it, 0 where the memory is not
    /// known.
    fn memory_share_used(&self, kind: &KindState, effective_cores: f64, query: &Query) -> f64 {
        if kind.ready.memory <= 0.0 {
            return 0.0;
        }
        let gateways = kind.ready.gateways(self.settings.gateways);
        let needed = self.expected_memory(query);
        let memory = kind.ready.memory * effective_cores / kind.ready.cores.max(MIN_DIVISOR);
        let share = memory * MEMORY_FRACTION_AT_LOAD_LIMIT / gateways;
        (kind.memory_in_flight + needed) / share.max(needed).max(MIN_DIVISOR)
    }
}
