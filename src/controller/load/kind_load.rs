//! Computes the load of all engines of a kind, and how much of its share of them this gateway uses.

use super::{KIND_LOAD_DECAY_SECONDS, LOAD_LIMIT_THREADS_PER_CORE, MEMORY_FRACTION_AT_LOAD_LIMIT};
use crate::api::Query;
use crate::controller::kind_state::KindState;
use crate::controller::{AdmissionController, MIN_DIVISOR};

/// Multiple of its share of a kind's memory that this gateway may use while the kind is below the load limit.
const MEMORY_SHARE_TOLERANCE: f64 = 1.2;
/// Weight of the assumption that a kind is idle, relative to one new observation.
const IDLE_WEIGHT: f64 = 0.5;

impl AdmissionController {
    /// Returns the load of a kind, in units of the load limit: the higher of the reported load and the load inferred
    /// from answers, rejections and overdue attempts. If engines do not report CPU utilisation, reports count only
    /// while the inferred load is at or above the limit.
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

    /// Returns the load of a whole kind including the query, in units of the load limit. While the kind is below the
    /// limit, this is the used fraction of this gateway's share of the kind's memory, divided by
    /// [`MEMORY_SHARE_TOLERANCE`]. At or above the limit, it is the mean of the kind's load and the higher of the used
    /// fractions of this gateway's shares of threads and memory.
    ///
    /// With many gateways, the share of a single engine is less than one query. Without the limit for the whole kind,
    /// each gateway would start few queries, and all gateways together too many.
    ///
    /// `effective_cores` is the sum over the engines of the kind that the query may use.
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

    /// Returns the fraction of its share of a kind's threads that this gateway uses, including the query; 1 is the
    /// whole share.
    fn thread_share_used(&self, kind: &KindState, effective_cores: f64, query: &Query) -> f64 {
        let gateways = kind.ready.gateways(self.settings.gateways);
        let threads = self.settings.classes[query.class].threads;
        let share = effective_cores * LOAD_LIMIT_THREADS_PER_CORE / gateways;
        (kind.threads_in_flight + threads) / share.max(threads)
    }

    /// Returns the fraction of its share of a kind's memory that this gateway uses, including the query; 1 is the whole
    /// share. Returns 0 if the memory of the kind is unknown.
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
