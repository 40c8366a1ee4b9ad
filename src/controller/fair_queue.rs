//! Implements fair queuing: each tenant has a queue, and the query with the smallest virtual finish time is next.
//!
//! The rate of the virtual clock is the number of this gateway's running threads divided by the number of busy queues.
//! The start of an attempt charges the tenant's queue with the assumed service time multiplied by the query's threads.
//! The end of the attempt corrects the charge to the actual latency.

use super::query_state::QueryPhase;
use super::timers::{microseconds, Timer};
use super::AdmissionController;
use crate::api::QueryId;
use std::collections::VecDeque;

/// Virtual clock of all queues.
#[derive(Default)]
pub(crate) struct FairClock {
    /// Current virtual time, in thread-seconds.
    virtual_time: f64,
    /// Threads of this gateway's attempts in flight.
    running_threads: f64,
}

/// Queue of a tenant.
#[derive(Default)]
pub(crate) struct TenantQueue {
    /// Virtual start time of the next query, in thread-seconds.
    virtual_start: f64,
    /// One queue per query class, so that a class whose engines are full does not block the others.
    classes: Vec<ClassQueue>,
    attempts_in_flight: u32,
}

/// Waiting queries of one tenant and class, oldest first.
#[derive(Clone, Default)]
struct ClassQueue {
    queries: VecDeque<QueryId>,
    /// Time before which the head is not placed again, in seconds, because it was refused a start above the load limit
    /// or had no usable engine.
    held_until: f64,
}

impl TenantQueue {
    pub(crate) fn new(classes: usize) -> Self {
        TenantQueue {
            classes: vec![ClassQueue::default(); classes],
            ..TenantQueue::default()
        }
    }

    fn insert(&mut self, class: usize, id: QueryId) {
        let queries = &mut self.classes[class].queries;
        let position = queries.partition_point(|other| *other < id);
        queries.insert(position, id);
    }

    fn remove(&mut self, class: usize, id: QueryId) {
        let queries = &mut self.classes[class].queries;
        if let Ok(position) = queries.binary_search(&id) {
            queries.remove(position);
        }
    }

    /// Returns whether any query of the tenant is queued or has an attempt in flight.
    fn is_busy(&self) -> bool {
        self.attempts_in_flight > 0 || self.classes.iter().any(|class| !class.queries.is_empty())
    }

    /// Returns the oldest query among the classes that are not held back.
    fn head(&self, now: f64) -> Option<QueryId> {
        self.classes
            .iter()
            .filter(|class| microseconds(class.held_until) <= microseconds(now))
            .filter_map(|class| class.queries.front().copied())
            .min()
    }
}

impl AdmissionController {
    /// Advances the virtual clock; `elapsed` is the time since the last event in seconds.
    pub(super) fn advance_fair_clock(&mut self, elapsed: f64) {
        let busy_queues = self.tenant_queues.iter().filter(|q| q.is_busy()).count();
        let clock = &mut self.fair_clock;
        clock.virtual_time += elapsed.max(0.0) * clock.running_threads / busy_queues.max(1) as f64;
    }

    /// Adds a query to its tenant's queue in the order of admission, unless its client is absent. An idle queue starts
    /// at the current virtual time.
    pub(super) fn enqueue(&mut self, id: QueryId) {
        let Some(state) = self.queries.get_mut(&id) else {
            return;
        };
        state.phase = QueryPhase::Queued;
        if state.client_absent {
            return;
        }
        let tenant_queue = &mut self.tenant_queues[state.query.tenant];
        if !tenant_queue.is_busy() {
            tenant_queue.virtual_start = self.fair_clock.virtual_time;
        }
        tenant_queue.insert(state.query.class, id);
    }

    /// Removes a query from its tenant's queue, if it is queued.
    pub(super) fn dequeue(&mut self, id: QueryId) {
        let query = &self.queries[&id].query;
        self.tenant_queues[query.tenant].remove(query.class, id);
    }

    /// Returns the head of a queue with the smallest virtual finish time; `None` if all queues are empty or held back.
    pub(super) fn next_in_queue(&self, now: f64) -> Option<QueryId> {
        let heads = self.tenant_queues.iter().filter_map(|tenant_queue| {
            let id = tenant_queue.head(now)?;
            let class = self.queries[&id].query.class;
            let charge = self.assumed_service_seconds * self.settings.classes[class].threads;
            Some((tenant_queue.virtual_start + charge, id))
        });
        let (_, id) = heads.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(id)
    }

    /// Holds back the query's class in its tenant's queue until the time `until`, in seconds.
    pub(super) fn hold_class_until(&mut self, id: QueryId, until: f64) {
        let query = &self.queries[&id].query;
        self.tenant_queues[query.tenant].classes[query.class].held_until = until;
        self.timers.schedule(until, Timer::PlacementRetry);
    }

    /// Charges a tenant's queue for an attempt that starts.
    pub(super) fn charge_attempt(&mut self, tenant: usize, threads: f64) {
        self.fair_clock.running_threads += threads;
        let tenant_queue = &mut self.tenant_queues[tenant];
        tenant_queue.attempts_in_flight += 1;
        tenant_queue.virtual_start += self.assumed_service_seconds * threads;
    }

    /// Corrects the charge for an attempt that has ended to its actual latency, in seconds.
    pub(super) fn settle_attempt(&mut self, tenant: usize, threads: f64, latency: f64) {
        self.fair_clock.running_threads -= threads;
        let tenant_queue = &mut self.tenant_queues[tenant];
        tenant_queue.attempts_in_flight -= 1;
        tenant_queue.virtual_start -= (self.assumed_service_seconds - latency) * threads;
    }
}
