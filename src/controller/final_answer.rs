//! The final answer of a query that did not succeed, and the end of its state.
//!
//! Rule: a query is rejected, which invites its client to send it again, only where a repeat does no harm: it provably
//! never ran, it is idempotent, or all engines recognise its key. Else it is answered as failed.

use super::query_state::QueryPhase;
use super::timers::Timer;
use super::{AdmissionController, TIME_MARGIN_SECONDS};
use crate::api::{DeduplicationScope, FinalAnswer, Idempotency, QueryId};

/// Part of the latency objective that a Retry-After names; an answer is then still worth something.
const RETRY_AFTER_OBJECTIVE_FRACTION: f64 = 0.4;

impl AdmissionController {
    /// Ends a query with the answer that the rules allow.
    pub(super) fn final_answer(&mut self, now: f64, id: QueryId) -> FinalAnswer {
        let answer = if self.is_safe_to_repeat(id) {
            FinalAnswer::Rejected {
                retry_after: self.retry_after(id),
            }
        } else {
            FinalAnswer::Failed
        };
        self.finish(now, id);
        answer
    }

    /// Whether a client may send the query again, to any gateway and engine.
    fn is_safe_to_repeat(&self, id: QueryId) -> bool {
        let state = &self.queries[&id];
        if state.may_have_run.is_none() {
            return true;
        }
        match self.settings.classes[state.query.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentByKey { scope, .. } => scope == DeduplicationScope::Everywhere,
            Idempotency::NonIdempotent => false,
        }
    }

    /// The Retry-After of a rejection in seconds, where the settings allow one.
    fn retry_after(&self, id: QueryId) -> Option<f64> {
        if !self.settings.retry_after_allowed {
            return None;
        }
        let class = &self.settings.classes[self.queries[&id].query.class];
        let retry_after = class.latency_objective * RETRY_AFTER_OBJECTIVE_FRACTION;
        Some(self.settings.max_retry_after.min(retry_after))
    }

    /// A query is over for its client. Its state stays while an attempt is in flight; then its ordering key is free.
    pub(super) fn finish(&mut self, now: f64, id: QueryId) {
        if !self.queries.contains_key(&id) {
            return;
        }
        self.dequeue(id);
        let Some(state) = self.queries.get_mut(&id) else {
            return;
        };
        let deadline_timer_at = state.deadline - TIME_MARGIN_SECONDS;
        self.timers.cancel(deadline_timer_at, Timer::Deadline(id));
        if state.in_flight.is_some() {
            state.phase = QueryPhase::ClosedInFlight;
            return;
        }
        let query = state.query;
        self.queries.remove(&id);
        if let Some(key) = self.ordering_key(&query) {
            self.remove_from_key(now, key, id);
        }
    }

    /// Gives up a query that waits: it is placed once more, and answered then.
    pub(super) fn abandon(&mut self, id: QueryId) {
        let Some(state) = self.queries.get_mut(&id) else {
            return;
        };
        if !matches!(state.phase, QueryPhase::WaitingForKey | QueryPhase::Queued) {
            return;
        }
        state.phase = QueryPhase::Abandoned;
        self.abandoned.push_back(id);
        self.dequeue(id);
    }
}
