//! Starts attempts, and processes unknown outcomes and the ends of attempts.
//!
//! | state | transition out of the state |
//! |---|---|
//! | in flight | [`AdmissionController::attempt_ended`], exactly once |
//! | in flight, outcome unknown | the same; the client may be answered earlier, but the ordering key stays held |
//!
//! Rule: a query counts as one that may have run as soon as the outcome of an attempt is reported as unknown, or an
//! attempt ends without proof that it never ran. If an attempt with an unknown outcome is later proved not to have run,
//! that attempt no longer counts.

use super::attempt_state::Attempt;
use super::query_state::{QueryPhase, QueryState};
use super::{AdmissionController, WORK_DECAY_SECONDS};
use crate::api::{AttemptEnd, AttemptOutcome, EngineId, FollowUp, Placement, Query, QueryId};

impl AdmissionController {
    /// Starts an attempt of a queued query at the chosen engine.
    pub(super) fn begin_attempt(&mut self, now: f64, id: QueryId, engine: EngineId) -> Placement {
        self.dequeue(id);
        let query = self.queries[&id].query;
        let memory = self.expected_memory(&query);
        if self.queries[&id].attempts > 0 {
            self.count_retry(now, query.class);
        }
        let state = self
            .queries
            .get_mut(&id)
            .expect("a query being placed has a state");
        state.phase = QueryPhase::InFlight;
        state.attempts += 1;
        state.in_flight = Some(Attempt::new(engine, now, memory));
        let response_timeout = state.deadline - now;
        let threads = self.settings.classes[query.class].threads;
        let work = self.expected_work(&query);
        self.charge_attempt(query.tenant, threads);
        self.spend_slow_start_budget(now, engine, work);
        self.add_in_flight(now, engine, &query, memory);
        // A retry must reach the engine within the deduplication window, even if the connection is slow.
        let deduplication_time_left = self.deduplication_time_left(now, &self.queries[&id]);
        Placement::Attempt {
            engine,
            response_timeout,
            send_timeout: deduplication_time_left.min(response_timeout),
            memory_grant: self.memory_grant(&query, engine),
        }
    }

    fn add_in_flight(&mut self, now: f64, engine: EngineId, query: &Query, memory: f64) {
        let class = &self.settings.classes[query.class];
        let threads = class.threads;
        // The work of queries that are restricted to kinds was counted at admission.
        let newly_counted_work = match class.kinds {
            None => self.expected_work(query),
            Some(_) => 0.0,
        };
        let engine = &mut self.engines[engine];
        engine.in_flight.add(threads, memory);
        let kind = self.kinds.entry(engine.kind()).or_default();
        kind.recent_work
            .add(now, WORK_DECAY_SECONDS, newly_counted_work);
        kind.threads_in_flight += threads;
        kind.memory_in_flight += memory;
    }

    fn remove_in_flight(&mut self, attempt: &Attempt, threads: f64) {
        let engine = &mut self.engines[attempt.engine];
        engine.in_flight.remove(threads, attempt.memory);
        let kind = self.kinds.entry(engine.kind()).or_default();
        kind.threads_in_flight -= threads;
        kind.memory_in_flight -= attempt.memory;
    }

    /// Reports that the outcome of an attempt is unknown and might still be unknown at the deadline. Returns the final
    /// answer if no retry is possible. The attempt stays in flight, and its query keeps its ordering key, until
    /// [`Self::attempt_ended`] is called.
    pub fn outcome_unknown(&mut self, now: f64, id: QueryId, outcome: AttemptOutcome) -> FollowUp {
        self.observe_time(now);
        let Some(state) = self.queries.get_mut(&id) else {
            return FollowUp::Nothing;
        };
        let Some(attempt) = state.in_flight else {
            return FollowUp::Nothing;
        };
        let phase = state.phase;
        let query = state.query;
        state.in_flight = Some(Attempt {
            outcome_recorded: true,
            sole_cause_of_may_have_run: attempt.sole_cause_of_may_have_run
                || state.may_have_run.is_none(),
            ..attempt
        });
        state.may_have_run.get_or_insert(attempt);
        if !attempt.outcome_recorded {
            self.record_outcome(now, &query, &attempt, &outcome);
        }
        if phase == QueryPhase::ClosedInFlight || self.may_retry(now, &self.queries[&id]) {
            return FollowUp::Nothing;
        }
        FollowUp::Answer(self.final_answer(now, id))
    }

    /// Reports the end of an attempt, after which the caller learns nothing more about it. The caller must do this
    /// exactly once for each attempt. Returns the consequence for its query.
    pub fn attempt_ended(&mut self, now: f64, id: QueryId, outcome: AttemptOutcome) -> FollowUp {
        self.observe_time(now);
        let Some(state) = self.queries.get_mut(&id) else {
            return FollowUp::Nothing;
        };
        let Some(attempt) = state.in_flight.take() else {
            return FollowUp::Nothing;
        };
        update_may_have_run(state, attempt, outcome.end);
        let phase = state.phase;
        let query = state.query;
        let threads = self.settings.classes[query.class].threads;
        self.settle_attempt(query.tenant, threads, now - attempt.begun_at);
        self.remove_in_flight(&attempt, threads);
        if !attempt.outcome_recorded {
            self.record_outcome(now, &query, &attempt, &outcome);
        }
        self.pause_after(now, &query, outcome.end);
        let succeeded = outcome.end == AttemptEnd::Succeeded;
        if outcome.query_finished || succeeded || phase == QueryPhase::ClosedInFlight {
            self.finish(now, id);
            return FollowUp::Nothing;
        }
        if outcome.end == AttemptEnd::NotNeeded || !self.may_retry(now, &self.queries[&id]) {
            return FollowUp::Answer(self.final_answer(now, id));
        }
        self.enqueue(id);
        FollowUp::Nothing
    }
}

fn update_may_have_run(state: &mut QueryState, attempt: Attempt, end: AttemptEnd) {
    if !end.never_ran() {
        state.may_have_run.get_or_insert(attempt);
    } else if attempt.sole_cause_of_may_have_run {
        state.may_have_run = None;
    }
}
