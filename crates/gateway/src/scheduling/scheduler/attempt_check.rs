//! The check of each attempt before it begins. An attempt that would break a rule is not sent, and its query is answered.

use super::open_query::OpenQuery;
use super::state::SchedulerState;
use super::Command;
use garnetwall::api::{AttemptEnd, AttemptOutcome, EngineId, FollowUp, QueryId};
use garnetwall::attempt_guard::{AttemptFacts, ViolatedRule};

impl SchedulerState {
    /// Records that an attempt of an open query begins.
    ///
    /// # Errors
    ///
    /// The attempt would break a rule.
    pub(super) fn check_attempt(&mut self, id: QueryId) -> Result<(), ViolatedRule> {
        let Some(query) = self.open_queries.get_mut(&id) else {
            return Err(ViolatedRule::FinalAnswer);
        };
        self.attempt_guard.begin(&attempt_facts(id, query))?;
        query.attempts += 1;
        Ok(())
    }

    /// Records that an attempt has ended for good.
    pub(super) fn record_attempt_end(&mut self, id: QueryId, end: AttemptEnd) {
        let Some(query) = self.open_queries.get_mut(&id) else {
            return;
        };
        query.may_have_run |= !end.never_ran();
        let key = query.key_place.map(|place| place.key);
        self.attempt_guard.end(id, key);
    }

    /// Takes back an attempt that would break a rule, and gives its query the final answer.
    pub(super) fn refuse_attempt(
        &mut self,
        now: f64,
        id: QueryId,
        engine: EngineId,
        rule: ViolatedRule,
    ) {
        tracing::error!(query_id = id, engine, %rule, "attempt not sent: it would break a rule");
        self.supervisor.metrics().rule_violated(rule);
        let attempt = self.open_queries.get(&id).map_or(0, |query| query.attempts);
        let outcome = AttemptOutcome {
            engine,
            attempt,
            end: AttemptEnd::NotNeeded,
            latency: 0.0,
            query_finished: false,
            work: None,
            memory: None,
        };
        if let FollowUp::Answer(answer) = self.controller.attempt_ended(now, id, outcome) {
            self.send_command(id, Command::Answer(answer));
        }
    }
}

fn attempt_facts(id: QueryId, query: &OpenQuery) -> AttemptFacts {
    AttemptFacts {
        query: id,
        key_place: query.key_place,
        is_retry: query.attempts > 0,
        may_have_run: query.may_have_run,
        is_non_idempotent: query.is_non_idempotent,
        is_answered: query.is_finished(),
        has_client: query.client_presence.is_waiting(),
    }
}
