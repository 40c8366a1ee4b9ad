//! Handles the queries of a gateway's clients, from their arrival to the final answer.

use super::fault_injection::{FAULTY_LATENESS_SECONDS, FAULTY_QUERY_INTERVAL};
use super::process::OpenQuery;
use super::Gateway;
use crate::fleet::environment::Environment;
use crate::fleet::event::Event;
use crate::fleet::injected_fault::InjectedFault;
use crate::fleet::judge::FinalAnswer;
use crate::fleet::time::SimTime;
use garnetwall::api::{self, QueryId};

impl Gateway {
    pub(super) fn schedule_arrival(&mut self, now: SimTime, environment: &mut Environment) {
        let arrival = Event::Arrival {
            gateway: self.number,
            incarnation: self.incarnation,
        };
        environment
            .queue
            .push(self.clients.next_arrival(now), arrival);
    }

    /// Handles the arrival of a query, and schedules the arrival of the next one.
    pub fn arrival(&mut self, now: SimTime, environment: &mut Environment) {
        self.schedule_arrival(now, environment);
        let query = self.clients.query(&environment.demand);
        let id = self.next_query;
        let name = self.query_name(id);
        let Some(process) = &mut self.process else {
            return;
        };
        self.next_query += 1;
        let remaining_time = environment.experiment.classes[query.class].deadline;
        environment
            .judge
            .query_arrived(now, name, query.class, query.key);
        let open = OpenQuery {
            query,
            deadline: now.after(remaining_time),
            attempts: 0,
            open: None,
        };
        process.queries.insert(id, open);
        let admitted = api::Query {
            id,
            class: query.class,
            tenant: 0,
            ordering_key: query.key,
            remaining_time,
            estimated_work: None,
            estimated_memory: None,
            data_set: 0,
            endpoint_subset: None,
        };
        process.controller.admit(now.seconds(), admitted);
        self.run_decisions(now, environment);
    }

    pub(super) fn answer(
        &mut self,
        now: SimTime,
        id: QueryId,
        answer: api::FinalAnswer,
        environment: &mut Environment,
    ) {
        let answer = match answer {
            api::FinalAnswer::Rejected { .. } => FinalAnswer::Rejected,
            api::FinalAnswer::Failed => FinalAnswer::Failed,
        };
        self.finish(now, id, answer, environment);
    }

    /// Gives the final answer to a query that is still open, with the effects of injected faults.
    pub(super) fn finish(
        &mut self,
        now: SimTime,
        id: QueryId,
        answer: FinalAnswer,
        environment: &mut Environment,
    ) {
        let name = self.query_name(id);
        let Some(process) = &mut self.process else {
            return;
        };
        let Some(query) = process.queries.remove(&id) else {
            return;
        };
        let key = query.query.key;
        let faulty = id.is_multiple_of(FAULTY_QUERY_INTERVAL);
        let late = faulty && environment.injects(InjectedFault::AnswerLate);
        let answered_at = if late {
            query.deadline.after(FAULTY_LATENESS_SECONDS)
        } else {
            now
        };
        environment.judge.answered(answered_at, name, key, answer);
        if faulty && environment.injects(InjectedFault::AnswerTwice) {
            environment.judge.answered(now, name, key, answer);
        }
        if faulty && environment.injects(InjectedFault::SendAfterAnswer) {
            self.send_after_answer(now, name, &query, environment);
        }
    }
}
