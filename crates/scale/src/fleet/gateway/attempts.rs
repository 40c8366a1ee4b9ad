//! Places, sends and ends attempts. An attempt is ended by its engine, the network, a timeout or the decision module.

use super::process::OpenAttempt;
use super::Gateway;
use crate::fleet::clients::Query;
use crate::fleet::environment::Environment;
use crate::fleet::identifiers::AttemptKey;
use crate::fleet::injected_fault::InjectedFault;
use crate::fleet::judge::{FinalAnswer, SeenAttempt};
use crate::fleet::time::SimTime;
use garnetwall::api::{AttemptEnd, AttemptOutcome, FollowUp, Placement, QueryId};

impl Gateway {
    /// Handles the end of an attempt that its engine or the network reports; ignores attempts of an earlier process.
    pub fn attempt_ended(
        &mut self,
        now: SimTime,
        key: AttemptKey,
        end: AttemptEnd,
        environment: &mut Environment,
    ) {
        if self.incarnation != key.incarnation {
            return;
        }
        let lost = environment.injects(InjectedFault::AnswersLost)
            && key.query.is_multiple_of(2)
            && end == AttemptEnd::Succeeded;
        let end = if lost { AttemptEnd::Failed } else { end };
        self.end_attempt(now, key.query, key.attempt, end, environment);
        self.run_decisions(now, environment);
    }

    /// Ends all attempts whose response timeout has passed.
    pub(super) fn expire_attempts(&mut self, now: SimTime, environment: &mut Environment) {
        while let Some(process) = &mut self.process {
            let Some((deadline, id)) = process.deadlines.first().copied() else {
                return;
            };
            if deadline > now {
                return;
            }
            match process.open_attempt(id) {
                Some(attempt) => {
                    self.end_attempt(now, id, attempt, AttemptEnd::TimedOut, environment)
                }
                None => {
                    process.deadlines.remove(&(deadline, id));
                }
            }
        }
    }

    /// Asks the decision module to place a query. Depending on its decision, sends an attempt, gives the final answer
    /// or leaves the query waiting.
    pub(super) fn place(&mut self, now: SimTime, id: QueryId, environment: &mut Environment) {
        let Some(process) = &mut self.process else {
            return;
        };
        match process.controller.place(now.seconds(), id) {
            Placement::Wait => {}
            Placement::Answer(answer) => self.answer(now, id, answer, environment),
            Placement::Attempt {
                engine: slot,
                response_timeout,
                ..
            } => self.send(now, id, slot, response_timeout, environment),
        }
    }

    fn send(
        &mut self,
        now: SimTime,
        id: QueryId,
        slot: usize,
        response_timeout: f64,
        environment: &mut Environment,
    ) {
        let Some((engine, number)) = self.open_attempt(now, id, slot, response_timeout) else {
            tracing::error!(
                gateway = self.number,
                query = id,
                slot,
                "the decision module placed a query that is not open, or on an unused slot"
            );
            return;
        };
        let key = self.attempt_key(id, number);
        let name = self.query_name(id);
        let Some(query) = self
            .process
            .as_mut()
            .and_then(|process| process.queries.get_mut(&id))
        else {
            return;
        };
        let attempt = SeenAttempt {
            name,
            class: query.query.class,
            key: query.query.key,
            engine,
            work: query.query.work,
        };
        let done_at = environment.send(now, key, attempt);
        if let Some(open) = &mut query.open {
            open.done_at = done_at;
        }
    }

    /// Records a new attempt as in flight; returns its engine and its number within the query, or `None` if the slot is
    /// unused or the query is not open.
    fn open_attempt(
        &mut self,
        now: SimTime,
        id: QueryId,
        slot: usize,
        response_timeout: f64,
    ) -> Option<(usize, u32)> {
        let process = self.process.as_mut()?;
        let member = process.slots.get_mut(slot)?;
        let query = process.queries.get_mut(&id)?;
        let deadline = now.after(response_timeout);
        let open = OpenAttempt {
            number: query.attempts,
            slot,
            engine: member.engine,
            started_at: now,
            deadline,
            done_at: None,
        };
        member.open += 1;
        query.attempts += 1;
        query.open = Some(open);
        process.deadlines.insert((deadline, id));
        Some((open.engine, open.number))
    }

    /// Closes an attempt, reports its end to the decision module, and gives the query's final answer if there is one.
    pub(super) fn end_attempt(
        &mut self,
        now: SimTime,
        id: QueryId,
        attempt: u32,
        end: AttemptEnd,
        environment: &mut Environment,
    ) {
        let Some((query, open)) = self.close_attempt(now, id, attempt, environment) else {
            return;
        };
        let Some(process) = &mut self.process else {
            return;
        };
        let succeeded = end == AttemptEnd::Succeeded;
        if succeeded {
            process.report_load(now, &open, environment);
        }
        let outcome = AttemptOutcome {
            engine: open.slot,
            attempt,
            end,
            latency: now.since(open.started_at),
            query_finished: succeeded,
            work: succeeded.then_some(query.work),
            memory: None,
        };
        let follow_up = process.controller.attempt_ended(now.seconds(), id, outcome);
        process.release(now, &open, end, self.number, environment);
        match follow_up {
            FollowUp::Answer(answer) => self.answer(now, id, answer, environment),
            FollowUp::Nothing if succeeded => {
                self.finish(now, id, FinalAnswer::Succeeded, environment)
            }
            FollowUp::Nothing => {}
        }
    }

    /// Removes an attempt from the attempts in flight, and withdraws it from its engine if the engine was reached.
    /// Returns `None` if the attempt is not in flight.
    fn close_attempt(
        &mut self,
        now: SimTime,
        id: QueryId,
        attempt: u32,
        environment: &mut Environment,
    ) -> Option<(Query, OpenAttempt)> {
        let name = self.query_name(id);
        let key = self.attempt_key(id, attempt);
        let process = self.process.as_mut()?;
        let query = process.queries.get_mut(&id)?;
        let open = query.open.take_if(|open| open.number == attempt)?;
        let query = query.query;
        process.deadlines.remove(&(open.deadline, id));
        if let Some(done_at) = open.done_at {
            environment.withdraw(now, key, open.engine, done_at);
            environment.judge.attempt_ended(name, query.key);
        }
        Some((query, open))
    }
}
