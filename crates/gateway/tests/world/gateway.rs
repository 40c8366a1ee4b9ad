//! The gateway's side of the simulation: the controller's actions, the final answers, and the attempts in flight.

use super::figures::{
    CONNECT_TIMEOUT, DEADLINE_TOLERANCE, LONGEST_DEADLINE, PROTOCOL_LIMITS, TIME_STEP,
};
use super::{seconds, InjectedBug, Rule, Simulation};
use garnetwall::api::*;
use garnetwall_ledger::{AttemptId, ConnectionId, Evidence, PollSchedule};
use std::time::Duration;

/// A request to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    Start,
    Poll,
    Cancel,
}

/// The current step of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum AttemptPhase {
    Connecting {
        since: u64,
        then: Call,
    },
    AwaitingReply {
        since: u64,
        call: Call,
        reached: bool,
    },
    Backoff {
        until: u64,
    },
    Cancelling,
}

/// An engine's response as the gateway interprets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    Succeeded,
    Running,
    Rejected,
    Unknown,
    Cancelled,
    Corrupted,
}

/// An attempt as the gateway knows it.
pub(super) struct Attempt {
    pub(super) query: QueryId,
    pub(super) engine: EngineId,
    pub(super) number: u32,
    pub(super) id: AttemptId,
    pub(super) sent: u64,
    /// When the attempt times out.
    pub(super) response_timeout: u64,
    pub(super) phase: AttemptPhase,
    pub(super) poll_schedule: PollSchedule,
    /// The process to which the connection is established.
    pub(super) connected_to: Option<usize>,
    pub(super) connection: ConnectionId,
    pub(super) refused: bool,
    /// When the pending connection will be established.
    pub(super) established_at: Option<u64>,
    pub(super) may_have_arrived: bool,
    pub(super) cancel_requested: bool,
    pub(super) timed_out: bool,
    /// The end to report to the controller once the ledger has proved that the attempt ended.
    pub(super) end: Option<AttemptEnd>,
}

/// A query that is active or has ended.
pub(super) struct QueryRecord {
    pub(super) class: usize,
    pub(super) key: Option<u64>,
    /// Position of the query in the order of arrival.
    pub(super) position: usize,
    pub(super) deadline: u64,
    pub(super) client_left: bool,
    /// When the query was answered, and whether it was rejected.
    pub(super) answered: Option<(u64, bool)>,
    /// When each attempt was sent, and to which engine.
    pub(super) attempts: Vec<(u64, EngineId)>,
}

impl Simulation {
    /// Advances all attempts by one step, then carries out what the controller asks for.
    pub(super) fn advance_gateway(&mut self) {
        for n in (0..self.attempts.len()).rev() {
            self.advance_attempt(n);
        }
        self.run_actions();
    }

    /// Carries out the controller's actions until it has no more for now.
    fn run_actions(&mut self) {
        loop {
            match self.controller.next_action(seconds(self.now)) {
                NextAction::Wait(_) => return,
                NextAction::Subscribe | NextAction::HealthCheck(_) => {}
                NextAction::Cancel {
                    query: id,
                    attempt: number,
                } => {
                    if let Some(attempt) = self
                        .attempts
                        .iter_mut()
                        .find(|attempt| attempt.query == id && attempt.number == number)
                    {
                        attempt.cancel_requested = true;
                    }
                }
                NextAction::Place(id) => match self.controller.place(seconds(self.now), id) {
                    Placement::Wait => {}
                    Placement::Answer(answer) => self.answer(id, answer),
                    Placement::Attempt {
                        engine,
                        response_timeout,
                        ..
                    } => self.send(id, engine, response_timeout),
                },
            }
        }
    }

    /// Sends a final answer to the client, unless the injected bug drops it.
    pub(super) fn answer(&mut self, id: QueryId, answer: FinalAnswer) {
        let rejected = matches!(answer, FinalAnswer::Rejected { .. });
        if self.bug == InjectedBug::DropsAnswers && self.rng.one_in(20) {
            return;
        }
        self.answered(id, rejected);
    }

    /// Records that a query was answered, and checks that it is the only answer, in time and true.
    pub(super) fn answered(&mut self, id: QueryId, rejected: bool) {
        let (now, pause) = (self.now, self.pause);
        let record = &mut self.queries[id as usize];
        if record.client_left {
            return;
        }
        if record.answered.replace((now, rejected)).is_some() {
            self.record_violation(Rule::Answer, format!("query {id} has two answers"));
            return;
        }
        // A gateway whose pause covers the deadline answers as soon as it runs again.
        let resumed_at = if (pause.0..=pause.1 + TIME_STEP).contains(&record.deadline) {
            pause.1 + TIME_STEP
        } else {
            0
        };
        if now > record.deadline.max(resumed_at) + DEADLINE_TOLERANCE {
            let deadline = record.deadline;
            self.record_violation(
                Rule::Answer,
                format!("query {id} answered after its deadline {deadline}"),
            );
        }
        let ran = self.executions.iter().any(|run| run.query == id);
        if rejected && ran && self.queries[id as usize].class != 0 {
            self.record_violation(
                Rule::Idempotency,
                format!("query {id} ran and was rejected"),
            );
        }
    }

    /// Begins an attempt at an engine.
    pub(super) fn send(&mut self, id: QueryId, engine: EngineId, response_timeout: f64) {
        self.check_send(id, engine);
        let now = self.now;
        let record = &mut self.queries[id as usize];
        let number = record.attempts.len() as u32;
        record.attempts.push((now, engine));
        self.attempts.push(Attempt {
            query: id,
            engine,
            number,
            id: self.ledger.open(
                Duration::from_millis(now),
                Duration::from_millis(LONGEST_DEADLINE),
            ),
            sent: now,
            response_timeout: now + (response_timeout * 1000.0) as u64,
            phase: AttemptPhase::Connecting {
                since: now,
                then: Call::Start,
            },
            poll_schedule: PollSchedule::new(
                Duration::from_millis(now),
                PROTOCOL_LIMITS,
                Duration::from_millis(CONNECT_TIMEOUT),
            ),
            connected_to: None,
            connection: ConnectionId::default(),
            refused: false,
            established_at: None,
            may_have_arrived: false,
            cancel_requested: false,
            timed_out: false,
            end: None,
        });
    }

    pub(super) fn record_evidence(&mut self, n: usize, evidence: Evidence) {
        let now = self.ledger_now();
        self.ledger.record(now, self.attempts[n].id, evidence);
    }

    fn outcome(&self, n: usize, end: AttemptEnd) -> AttemptOutcome {
        let attempt = &self.attempts[n];
        let closed = self.queries[attempt.query as usize].answered.is_some()
            || self.queries[attempt.query as usize].client_left;
        let latency = (self.now - attempt.sent) as f64 / 1000.0;
        let work = (end == AttemptEnd::Succeeded).then_some(latency);
        AttemptOutcome {
            engine: attempt.engine,
            attempt: attempt.number,
            end,
            latency,
            query_finished: closed,
            work,
            memory: None,
        }
    }

    /// Tells the controller that the outcome of an attempt is unknown.
    pub(super) fn report_unknown_outcome(&mut self, n: usize, end: AttemptEnd) {
        let (id, outcome) = (self.attempts[n].query, self.outcome(n, end));
        if let FollowUp::Answer(answer) =
            self.controller
                .outcome_unknown(seconds(self.now), id, outcome)
        {
            self.answer(id, answer);
        }
    }

    /// Reports the proved end of an attempt to the controller and removes the attempt.
    pub(super) fn end_attempt(&mut self, n: usize, end: AttemptEnd) {
        let end = if self.attempts[n].timed_out && end != AttemptEnd::NotNeeded {
            AttemptEnd::TimedOut
        } else {
            end
        };
        let (id, outcome) = (self.attempts[n].query, self.outcome(n, end));
        let closed = outcome.query_finished;
        let next = self
            .controller
            .attempt_ended(seconds(self.now), id, outcome);
        self.ledger.close(self.attempts[n].id);
        self.attempts.remove(n);
        match next {
            _ if end == AttemptEnd::Succeeded && !closed => self.answered(id, false),
            FollowUp::Answer(answer) => self.answer(id, answer),
            FollowUp::Nothing => {}
        }
    }

    /// Cancels an attempt that is to end as `end`.
    pub(super) fn start_cancelling(&mut self, n: usize, end: AttemptEnd) {
        self.attempts[n].end = Some(end);
        self.attempts[n].phase = AttemptPhase::Cancelling;
    }

    /// Cancels an attempt whose connection is lost; its outcome is unknown until the cancellation is proved.
    pub(super) fn abandon_with_unknown_outcome(&mut self, n: usize) {
        if !self.attempts[n].cancel_requested {
            self.report_unknown_outcome(n, AttemptEnd::ConnectionLost);
        }
        self.start_cancelling(n, AttemptEnd::ConnectionLost);
    }
}
