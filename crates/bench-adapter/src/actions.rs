//! Encodes the actions of an instance's controller as records of the reply.

use crate::fields::{ReplyWriter, MILLISECONDS_PER_SECOND};
use crate::instance::Instance;
use crate::protocol::outgoing;
use garnetwall::api::{EngineId, FinalAnswer, NextAction, Placement, QueryId};

/// The priority in each memory grant record. The protocol requires one, but the controller sets none; this value
/// applies to grants without a priority.
const DEFAULT_PRIORITY: u8 = 1;
/// The id of an instance's only timer.
const TIMER_ID: u64 = 0;
/// The largest number of actions in one reply; further actions wait for the next frame. In practice the controller
/// stays far below it.
const MAX_ACTIONS_PER_FRAME: usize = 1_000_000;

impl Instance {
    /// Writes the pending answers and then the controller's actions to the reply, until the controller has nothing to
    /// do; then sets the timer for its next call. `number` is the instance's number on the wire, `clock` is in seconds.
    pub fn write_actions(&mut self, number: u16, clock: f64, reply: &mut ReplyWriter) {
        for pending in std::mem::take(&mut self.pending_answers) {
            self.answer(number, pending.query, pending.answer, reply);
        }
        for _ in 0..MAX_ACTIONS_PER_FRAME {
            match self.controller.next_action(clock) {
                NextAction::Place(id) => self.place(number, id, clock, reply),
                NextAction::HealthCheck(engine) => {
                    let record = reply.begin_record(number, outgoing::HEALTH_CHECK);
                    record.extend(self.addresses[engine]);
                }
                NextAction::Subscribe => reply.begin_record(number, outgoing::SUBSCRIBE).push(1),
                NextAction::Cancel { query, attempt } => {
                    self.cancel(number, query, attempt, reply);
                }
                NextAction::Wait(seconds) => return self.set_timer(number, clock, seconds, reply),
            }
        }
    }

    fn cancel(&self, number: u16, id: QueryId, attempt: u32, reply: &mut ReplyWriter) {
        if let Some(query) = self.open_queries.get(&id) {
            let record = reply.begin_record(number, outgoing::CANCEL);
            record.extend(query.wire_id.to_be_bytes());
            record.extend((attempt as u16).to_be_bytes());
        }
    }

    /// Sets the timer to expire in `seconds`, unless it is set to expire no later than that.
    fn set_timer(&mut self, number: u16, clock: f64, seconds: f64, reply: &mut ReplyWriter) {
        let at = clock + seconds;
        if self.timer_at.is_some_and(|timer_at| timer_at <= at) {
            return;
        }
        self.timer_at = Some(at);
        let record = reply.begin_record(number, outgoing::SET_TIMER);
        record.extend(TIMER_ID.to_be_bytes());
        record.extend((seconds * MILLISECONDS_PER_SECOND).to_be_bytes());
    }

    fn place(&mut self, number: u16, id: QueryId, clock: f64, reply: &mut ReplyWriter) {
        match self.controller.place(clock, id) {
            Placement::Wait => {}
            Placement::Answer(answer) => self.answer(number, id, answer, reply),
            Placement::Attempt {
                engine,
                response_timeout,
                memory_grant,
                ..
            } => {
                if let Some(memory) = memory_grant {
                    self.grant_memory(number, id, memory, reply);
                }
                self.begin_attempt(number, id, engine, response_timeout, reply);
            }
        }
    }

    fn grant_memory(&self, number: u16, id: QueryId, megabytes: f64, reply: &mut ReplyWriter) {
        if let Some(query) = self.open_queries.get(&id) {
            let record = reply.begin_record(number, outgoing::MEMORY_GRANT);
            record.extend(query.wire_id.to_be_bytes());
            record.extend((megabytes as f32).to_be_bytes());
            record.push(DEFAULT_PRIORITY);
        }
    }

    fn begin_attempt(
        &mut self,
        number: u16,
        id: QueryId,
        engine: EngineId,
        response_timeout: f64,
        reply: &mut ReplyWriter,
    ) {
        if let Some(query) = self.open_queries.get_mut(&id) {
            query.attempts_in_flight += 1;
            let record = reply.begin_record(number, outgoing::ATTEMPT);
            record.extend(query.wire_id.to_be_bytes());
            record.extend(self.addresses[engine]);
            record.extend((response_timeout * MILLISECONDS_PER_SECOND).to_be_bytes());
        }
    }

    fn answer(&mut self, number: u16, id: QueryId, answer: FinalAnswer, reply: &mut ReplyWriter) {
        if let Some(query) = self.open_queries.get(&id) {
            match answer {
                FinalAnswer::Rejected { retry_after } => {
                    let record = reply.begin_record(number, outgoing::REJECT);
                    record.extend(query.wire_id.to_be_bytes());
                    let milliseconds = retry_after.unwrap_or(0.0) * MILLISECONDS_PER_SECOND;
                    record.extend(milliseconds.to_be_bytes());
                }
                FinalAnswer::Failed => {
                    let record = reply.begin_record(number, outgoing::FAIL);
                    record.extend(query.wire_id.to_be_bytes());
                }
            }
        }
        self.finish_query(id);
    }
}
