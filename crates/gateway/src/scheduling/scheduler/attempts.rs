//! Handlers for events of attempts and health checks.

use super::open_query::OpenQuery;
use super::Scheduler;
use garnetwall::api::{
    AttemptEnd, AttemptOutcome, EngineId, FollowUp, LoadReport, Progress, QueryId,
};

impl Scheduler {
    /// Handles the end of a health check, with the engine's load report if the response carried one.
    pub fn health_check_ended(
        &self,
        engine: EngineId,
        end: AttemptEnd,
        report: Option<LoadReport>,
    ) {
        self.handle_event(|state, now| {
            state.controller.health_check_ended(now, engine, end);
            if let Some(report) = report {
                state.controller.load_reported(now, engine, report);
            }
        });
    }

    /// Handles the end of an attempt, with the engine's load report if the response carried one. Returns the follow-up
    /// for the query: its final answer, or nothing.
    pub fn attempt_ended(
        &self,
        id: QueryId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> FollowUp {
        self.handle_event(|state, now| {
            if let Some(report) = report {
                state.controller.load_reported(now, outcome.engine, report);
            }
            let query = state.open_queries.get(&id);
            let is_finished = query.is_none_or(OpenQuery::is_finished);
            let outcome = AttemptOutcome {
                query_finished: outcome.query_finished || is_finished,
                ..outcome
            };
            state.record_attempt_end(id, outcome.end);
            state.controller.attempt_ended(now, id, outcome)
        })
    }

    /// Handles a progress event that an engine sent for an attempt in flight.
    pub fn attempt_progressed(&self, id: QueryId, attempt: u32, progress: Progress) {
        self.handle_event(|state, now| {
            let controller = &mut state.controller;
            controller.attempt_progressed(now, id, attempt, progress);
        });
    }

    /// Handles an attempt whose outcome is unknown. The attempt stays in flight until
    /// [`attempt_ended`](Scheduler::attempt_ended). Returns the follow-up for the query: its final answer, or nothing.
    pub fn outcome_unknown(&self, id: QueryId, outcome: AttemptOutcome) -> FollowUp {
        self.handle_event(|state, now| state.controller.outcome_unknown(now, id, outcome))
    }

    /// Records that the body of a query has been discarded, so that no further attempt can send it.
    pub fn body_discarded(&self, id: QueryId) {
        self.handle_event(|state, _| state.controller.body_discarded(id));
    }
}
