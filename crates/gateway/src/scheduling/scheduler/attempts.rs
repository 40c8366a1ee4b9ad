//! Events of attempts and health checks.

use super::open_query::OpenQuery;
use super::Scheduler;
use garnetwall::api::{
    AttemptEnd, AttemptOutcome, EngineId, FollowUp, LoadReport, Progress, QueryId,
};

impl Scheduler {
    /// A health check has ended, perhaps with a load report.
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

    /// An attempt has ended, perhaps with a load report. Returns what follows for its query.
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
            state.controller.attempt_ended(now, id, outcome)
        })
    }

    /// An engine has reported progress of an attempt in flight.
    pub fn attempt_progressed(&self, id: QueryId, attempt: u32, progress: Progress) {
        self.handle_event(|state, now| {
            let controller = &mut state.controller;
            controller.attempt_progressed(now, id, attempt, progress);
        });
    }

    /// The outcome of an attempt is unknown; it stays in flight until [`attempt_ended`](Scheduler::attempt_ended). Returns what
    /// follows for its query.
    pub fn outcome_unknown(&self, id: QueryId, outcome: AttemptOutcome) -> FollowUp {
        self.handle_event(|state, now| state.controller.outcome_unknown(now, id, outcome))
    }

    /// The body of a query has been discarded, so that it can't be attempted again.
    pub fn body_discarded(&self, id: QueryId) {
        self.handle_event(|state, _| state.controller.body_discarded(id));
    }
}
