//! Fair queuing: a queue for each tenant on a virtual clock; the query with the smallest virtual finish time goes next.
//!
//! The virtual clock runs at this gateway's running threads over its busy queues. Beginning an attempt charges its
//! queue with the assumed service time times the query's threads; its end corrects the charge to the true latency.

use super::query_state::QueryPhase;
use super::timers::{microseconds, Timer};
use super::AdmissionController;
use crate::api::QueryId;
use std::collections::VecDeque;

/// The virtual clock of all queues.
#[derive(Default)]
pub(crate) struct FairClock {
    /// Virtual time, in thread-seconds.
    virtual_time: f64,
    /// Threads of this gateway's attempts in flight.
    running_threads: f64,
}

/// A tenant's queue.
#[derive(Default)]
pub(crate) struct TenantQueue {
    /// Virtual time at which its next query starts.
    virtual_start: f64,
    /// By query class, so that a class whose engines are full does not hold up the others.
    classes: Vec<ClassQueue>,
    attempts_in_flight: u32,
}

/// The queries of a tenant's class that wait, the oldest first.
#[derive(Clone, Default)]
struct ClassQueue {
    queries: VecDeque<QueryId>,
    /// Its head is not placed before, in seconds: its random start was not granted, or no engine may be used.
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

    /// Whether anything of it waits or is in flight.
    fn is_busy(&self) -> bool {
        self.attempts_in_flight > 0 || self.classes.iter().any(|class| !class.queries.is_empty())
    }

    /// The oldest query of the classes whose head is not held back.
    fn head(&self, now: f64) -> Option<QueryId> {
        self.classes
            .iter()
            .filter(|class| microseconds(class.held_until) <= microseconds(now))
            .filter_map(|class| class.queries.front().copied())
            .min()
    }
}

impl AdmissionController {
    /// Advances the virtual clock by the seconds since the last event.
    pub(super) fn advance_fair_clock(&mut self, elapsed: f64) {
        let busy_queues = self.tenant_queues.iter().filter(|q| q.is_busy()).count();
        let clock = &mut self.fair_clock;
        clock.virtual_time += elapsed.max(0.0) * clock.running_threads / busy_queues.max(1) as f64;
    }

    /// Queues a query in the order admitted. A queue that was idle starts at the clock.
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

    /// Takes a query out of its queue, if it is in one.
    pub(super) fn dequeue(&mut self, id: QueryId) {
        let query = &self.queries[&id].query;
        self.tenant_queues[query.tenant].remove(query.class, id);
    }

    /// The head with the smallest virtual finish time.
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

    /// Holds a query's class back in its tenant's queue until a time in seconds.
    pub(super) fn hold_class_until(&mut self, id: QueryId, until: f64) {
        let query = &self.queries[&id].query;
        self.tenant_queues[query.tenant].classes[query.class].held_until = until;
        self.timers.schedule(until, Timer::PlacementRetry);
    }

    /// Charges a tenant's queue with an attempt that begins.
    pub(super) fn charge_attempt(&mut self, tenant: usize, threads: f64) {
        self.fair_clock.running_threads += threads;
        let tenant_queue = &mut self.tenant_queues[tenant];
        tenant_queue.attempts_in_flight += 1;
        tenant_queue.virtual_start += self.assumed_service_seconds * threads;
    }

    /// Corrects the charge to the seconds that the attempt took.
    pub(super) fn settle_attempt(&mut self, tenant: usize, threads: f64, latency: f64) {
        self.fair_clock.running_threads -= threads;
        let tenant_queue = &mut self.tenant_queues[tenant];
        tenant_queue.attempts_in_flight -= 1;
        tenant_queue.virtual_start -= (self.assumed_service_seconds - latency) * threads;
    }
}
