//! Applies decoded events to an instance and its controller.

use crate::events::{Event, WireOutcome};
use crate::fields::Address;
use crate::instance::{Instance, PendingAnswer};
use garnetwall::api::{AttemptEnd, AttemptOutcome, FollowUp, LoadReport, Progress, Query};
use std::fmt;

/// The error for an event that contradicts the settings or earlier events.
#[derive(Debug)]
pub enum EventError {
    /// The settings have no query class with this index.
    UnknownClass(usize),
    /// A query arrived with the wire id of an open query.
    QueryIdInUse(u32),
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::UnknownClass(class) => write!(f, "unknown query class {class}"),
            EventError::QueryIdInUse(wire_id) => write!(f, "query id {wire_id} is already open"),
        }
    }
}

impl std::error::Error for EventError {}

impl Instance {
    /// Applies one event at the time `clock`, in seconds on the simulator's clock.
    ///
    /// # Errors
    ///
    /// A query has an unknown class, or the wire id of an open query.
    pub fn apply(&mut self, event: Event, clock: f64) -> Result<(), EventError> {
        match event {
            Event::QueryArrived { wire_id, query } => {
                return self.query_arrived(wire_id, query, clock);
            }
            Event::ClientLeft { wire_id } => self.client_left(wire_id, clock),
            Event::AttemptEnded(outcome) => self.attempt_ended(outcome, clock),
            Event::AttemptProgressed {
                wire_id,
                attempt,
                progress,
            } => self.attempt_progressed(wire_id, attempt, progress, clock),
            Event::HealthCheckEnded {
                address,
                end,
                report_values,
            } => self.health_check_ended(address, end, &report_values, clock),
            Event::TimerExpired => self.timer_at = None,
            Event::Ignored => {}
        }
        Ok(())
    }

    fn query_arrived(&mut self, wire_id: u32, query: Query, clock: f64) -> Result<(), EventError> {
        if query.class >= self.class_count {
            return Err(EventError::UnknownClass(query.class));
        }
        if self.query_ids.contains_key(&wire_id) {
            return Err(EventError::QueryIdInUse(wire_id));
        }
        let id = self.open_query(wire_id);
        self.controller.admit(clock, Query { id, ..query });
        Ok(())
    }

    fn client_left(&mut self, wire_id: u32, clock: f64) {
        if let Some(&id) = self.query_ids.get(&wire_id) {
            self.controller.client_left(clock, id);
            self.finish_query(id);
        }
    }

    fn attempt_ended(&mut self, outcome: WireOutcome, clock: f64) {
        let engine = self.engine_id(outcome.address);
        if let Some(report) = self.load_report(&outcome.report_values) {
            self.controller.load_reported(clock, engine, report);
        }
        let Some(&id) = self.query_ids.get(&outcome.wire_id) else {
            return;
        };
        let query_finished = outcome.query_finished;
        let outcome = AttemptOutcome {
            engine,
            attempt: outcome.attempt,
            end: outcome.end,
            latency: outcome.latency,
            query_finished,
            work: outcome.work,
            memory: outcome.memory,
        };
        let follow_up = self.controller.attempt_ended(clock, id, outcome);
        self.count_ended_attempt(id, query_finished);
        match follow_up {
            FollowUp::Nothing => self.remove_if_done(id),
            FollowUp::Answer(answer) => {
                let pending = PendingAnswer { query: id, answer };
                self.pending_answers.push(pending);
            }
        }
    }

    fn attempt_progressed(&mut self, wire_id: u32, attempt: u32, progress: Progress, clock: f64) {
        if let Some(&id) = self.query_ids.get(&wire_id) {
            self.controller
                .attempt_progressed(clock, id, attempt, progress);
        }
    }

    fn health_check_ended(
        &mut self,
        address: Address,
        end: AttemptEnd,
        report_values: &[f64],
        clock: f64,
    ) {
        let engine = self.engine_id(address);
        self.controller.health_check_ended(clock, engine, end);
        if let Some(report) = self.load_report(report_values) {
            self.controller.load_reported(clock, engine, report);
        }
    }

    fn load_report(&self, values: &[f64]) -> Option<LoadReport> {
        let names = self.report_fields.iter().map(String::as_str);
        garnetwall_settings::decode_load_report(names.zip(values.iter().copied()))
    }
}
