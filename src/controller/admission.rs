//! Admits queries, and handles clients that disconnect, return or leave.

use super::query_state::{QueryPhase, QueryState};
use super::timers::Timer;
use super::{AdmissionController, AttemptRef, TIME_MARGIN_SECONDS, WORK_DECAY_SECONDS};
use crate::api::{Query, QueryClass, QueryId};

impl AdmissionController {
    /// Admits a query that has been read completely. The query ends when an attempt succeeds, when [`Self::place`],
    /// [`Self::outcome_unknown`] or [`Self::attempt_ended`] returns a final answer, or when its client leaves. A tenant
    /// number beyond the settings counts as the last tenant.
    pub fn admit(&mut self, now: f64, query: Query) {
        self.observe_time(now);
        let query = Query {
            tenant: query.tenant.min(self.tenant_queues.len() - 1),
            ..query
        };
        self.count_admission(now, query.class);
        self.count_expected_work(now, &query);
        self.add_health_check_budget();
        self.shedding_due |= self.open_queries_left() < 0.0;
        let key = self.ordering_key(&query);
        let phase = match key {
            Some(_) => QueryPhase::WaitingForKey,
            None => QueryPhase::Queued,
        };
        let state = QueryState::new(query, now, phase);
        let deadline_timer_at = state.deadline - TIME_MARGIN_SECONDS;
        self.queries.insert(query.id, state);
        self.timers
            .schedule(deadline_timer_at, Timer::Deadline(query.id));
        match key {
            Some(key) => self.append_to_key(now, key, query.id),
            None => self.enqueue(query.id),
        }
    }

    fn count_expected_work(&mut self, now: f64, query: &Query) {
        let work = self.expected_work(query);
        self.mean_query_work.add(now, WORK_DECAY_SECONDS, work);
        self.last_admitted = Some(*query);
        // The work of queries restricted to kinds counts at admission: a kind must not look idle because its queries
        // are shed.
        let kinds = &self.settings.classes[query.class].kinds;
        for kind in kinds.iter().flatten() {
            let kind = self.kinds.entry(*kind as usize).or_default();
            kind.recent_work.add(now, WORK_DECAY_SECONDS, work);
        }
    }

    /// Replaces the settings of the classes, in the order of [`crate::api::Settings::classes`]. `in_order` keeps its
    /// old value. `threads` must not change while attempts are in flight, because totals are updated with its value at
    /// the start and at the end of each attempt. `kinds` must not change while queries are open, because the expected
    /// work of a query counts for its kinds at admission if `kinds` is set, otherwise at the start of each attempt.
    pub fn update_classes(&mut self, classes: &[QueryClass]) {
        for (old, new) in self.settings.classes.iter_mut().zip(classes) {
            *old = QueryClass {
                in_order: old.in_order,
                ..new.clone()
            };
        }
    }

    /// Reports that the client of a query has left permanently. The query gets no answer, and an attempt in flight is
    /// cancelled if the settings allow it.
    pub fn client_left(&mut self, now: f64, id: QueryId) {
        self.observe_time(now);
        if let Some(state) = self.queries.get(&id) {
            if state.in_flight.is_some() && self.settings.cancellation_allowed {
                let attempt = AttemptRef {
                    query: id,
                    attempt: state.last_attempt(),
                };
                self.pending_cancellations.push_back(attempt);
            }
        }
        self.finish(now, id);
    }

    /// Reports that a client waits for the query, for the first time or again. The query may now be sent.
    pub fn client_joined(&mut self, now: f64, id: QueryId) {
        self.set_client_absent(now, id, false);
    }

    /// Reports that the connection of the query's last client is lost. The client may reconnect; until then no attempt
    /// of the query starts.
    pub fn client_disconnected(&mut self, now: f64, id: QueryId) {
        self.set_client_absent(now, id, true);
    }

    fn set_client_absent(&mut self, now: f64, id: QueryId, is_absent: bool) {
        self.observe_time(now);
        let Some(state) = self.queries.get_mut(&id) else {
            return;
        };
        if state.client_absent == is_absent {
            return;
        }
        state.client_absent = is_absent;
        if state.phase != QueryPhase::Queued {
            return;
        }
        if is_absent {
            self.dequeue(id);
        } else {
            self.enqueue(id);
        }
    }

    /// Reports that the body of a query is no longer stored. The query is not retried.
    pub fn body_discarded(&mut self, id: QueryId) {
        if let Some(state) = self.queries.get_mut(&id) {
            state.body_discarded = true;
        }
    }

    /// Limits the deadlines of all open queries to `answers_due`, in seconds. The caller does this when the gateway
    /// shuts down.
    pub fn limit_deadlines(&mut self, answers_due: f64) {
        for state in self.queries.values_mut() {
            state.deadline = state.deadline.min(answers_due);
        }
        for id in self.queries.keys() {
            self.timers
                .schedule(answers_due - TIME_MARGIN_SECONDS, Timer::Deadline(*id));
        }
    }
}
