//! The state that the scheduler's lock guards: the admission controller, the plan router and the open queries.

use super::answer_cache::AnswerCache;
use super::open_query::OpenQuery;
use super::query_index::QueryIndex;
use super::{Command, MemoryLimits, QueryAnswer};
use crate::scheduling::log_millis;
use crate::scheduling::plan_routing::{PlanAdmission, PlanRouter, SubsetUpdate};
use crate::supervision::Supervisor;
use crate::system::clock::Clock;
use crate::system::stall_detector::StallDetector;
use garnetwall::api::{Idempotency, Placement, QueryClass, QueryId};
use garnetwall::attempt_guard::AttemptGuard;
use garnetwall::controller::AdmissionController;
use garnetwall::key_arrivals::KeyArrivals;
use std::collections::HashMap;

/// The scheduler's state. Times are in seconds on the gateway's clock.
pub(super) struct SchedulerState {
    pub(super) controller: AdmissionController,
    pub(super) plan_router: Option<PlanRouter>,
    pub(super) next_query_id: QueryId,
    /// The query keys known to this process.
    pub(super) query_index: QueryIndex,
    pub(super) open_queries: HashMap<QueryId, OpenQuery>,
    pub(super) answer_cache: AnswerCache,
    /// The newest arrivals of the ordering keys.
    pub(super) key_arrivals: KeyArrivals,
    /// Checks each attempt before it begins.
    pub(super) attempt_guard: AttemptGuard,
    /// Counts the attempts that would have broken a rule.
    pub(super) supervisor: Supervisor,
    /// The classes' idempotency, by class index.
    pub(super) idempotency: Vec<Idempotency>,
    /// The time at which the controller is due next.
    pub(super) wakes_at: f64,
    pub(super) stall_detector: StallDetector,
}

impl SchedulerState {
    pub(super) fn new(
        controller: AdmissionController,
        plan_router: Option<PlanRouter>,
        now: f64,
        limits: MemoryLimits,
        longest_deadline_seconds: f64,
        supervisor: Supervisor,
    ) -> Self {
        SchedulerState {
            controller,
            plan_router,
            next_query_id: 0,
            query_index: QueryIndex::new(limits.finished_keys),
            open_queries: HashMap::new(),
            answer_cache: AnswerCache::new(limits.answer_cache_bytes),
            key_arrivals: KeyArrivals::new(longest_deadline_seconds),
            attempt_guard: AttemptGuard::new(longest_deadline_seconds),
            supervisor,
            idempotency: Vec::new(),
            wakes_at: now,
            stall_detector: StallDetector::new(now),
        }
    }

    pub(super) fn set_classes(&mut self, classes: &[QueryClass]) {
        self.idempotency = classes.iter().map(|class| class.idempotency).collect();
    }

    pub(super) fn is_non_idempotent(&self, class: usize) -> bool {
        self.idempotency.get(class) == Some(&Idempotency::NonIdempotent)
    }

    /// Whether a query of the class may run any number of times.
    pub(super) fn is_idempotent(&self, class: usize) -> bool {
        self.idempotency.get(class) == Some(&Idempotency::Idempotent)
    }

    pub(super) fn update_endpoint_subsets(&mut self, updates: Vec<SubsetUpdate>) {
        for update in updates {
            self.controller
                .update_endpoint_subset(update.endpoint_subset, update.priority_levels);
        }
    }

    /// Gives a query's share of the plan's limits back; does nothing if the gateway has no plan.
    pub(super) fn release_plan_admission(&mut self, now: f64, admission: Option<PlanAdmission>) {
        if let Some((plan_router, admission)) = self.plan_router.as_mut().zip(admission) {
            plan_router.release(now, admission);
        }
    }

    /// Sends a command to the task of a query, if the query is open.
    pub(super) fn send_command(&self, id: QueryId, command: Command) {
        if let Some(query) = self.open_queries.get(&id) {
            query.send_command(command);
        }
    }

    /// Asks the controller to place a query and sends the result to the query's task.
    pub(super) fn place(&mut self, clock: &Clock, now: f64, id: QueryId) {
        match self.controller.place(now, id) {
            Placement::Wait => {}
            Placement::Answer(answer) => self.send_command(id, Command::Answer(answer)),
            Placement::Attempt {
                engine,
                response_timeout,
                send_timeout,
                ..
            } => {
                if let Err(rule) = self.check_attempt(id) {
                    self.refuse_attempt(now, id, engine, rule);
                    return;
                }
                let command = Command::BeginAttempt {
                    engine,
                    response_deadline: clock.instant(now + response_timeout),
                    send_deadline: clock.instant(now + send_timeout),
                };
                self.send_command(id, command);
            }
        }
    }

    /// Ends a query whose client has left or has cancelled it, unless it already has an answer.
    pub(super) fn client_left(&mut self, now: f64, id: QueryId) {
        let query = self.open_queries.get(&id);
        if let Some(query) = query.filter(|query| !query.is_finished()) {
            let remaining_ms = log_millis(query.deadline - now);
            tracing::debug!(
                query_id = id,
                remaining_ms,
                "client left or cancelled the query; answered as failed"
            );
            self.end_as_failed(now, id);
        }
    }

    /// Ends a query, unless it already has an answer. No further attempt begins, and every client that still waits for
    /// the query is answered that it failed.
    pub(super) fn end_as_failed(&mut self, now: f64, id: QueryId) {
        let query = self.open_queries.get(&id);
        let Some(query) = query.filter(|query| !query.is_finished()) else {
            return;
        };
        query.answer.send_replace(Some(QueryAnswer::Failed));
        query.send_command(Command::ClientLeft);
        self.controller.client_left(now, id);
    }

    /// Removes expired query keys, cached answers and arrivals of ordering keys.
    pub(super) fn discard_expired(&mut self, now: f64) {
        self.query_index.discard_expired(now);
        self.answer_cache.evict(now);
        self.key_arrivals.discard_expired(now);
        self.attempt_guard.discard_expired(now);
    }
}
