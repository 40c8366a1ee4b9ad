//! The gateway's side: the module's orders, answers, and the attempts that are out.

use super::figures::{BOUNDS, CONNECT_TIMEOUT, LONGEST_DEADLINE, SLACK, STEP};
use super::{seconds, Rule, Slip, World};
use garnetwall::api::*;
use garnetwall_ledger::{AttemptId, Evidence, PollSchedule};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    Start,
    News,
    GiveUp,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Doing {
    Connects {
        since: u64,
        then: Call,
    },
    Calls {
        since: u64,
        call: Call,
        reached: bool,
    },
    Pauses {
        until: u64,
    },
    GivesUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    Good,
    NotYet,
    Full,
    Unknown,
    GivenUp,
    Spoilt,
}

/// An attempt as the gateway sees it.
pub(super) struct Attempt {
    pub(super) batch: QueryId,
    pub(super) engine: EngineId,
    pub(super) number: u32,
    pub(super) id: AttemptId,
    pub(super) sent: u64,
    pub(super) time_out: u64,
    pub(super) doing: Doing,
    pub(super) asking: PollSchedule,
    /// The connection that is up, to which process.
    pub(super) up: Option<usize>,
    pub(super) connection: u32,
    pub(super) refused: bool,
    /// When the connection that is coming up is there.
    pub(super) comes_up: Option<u64>,
    pub(super) may_have_come: bool,
    pub(super) unwanted: bool,
    pub(super) late: bool,
    /// What the module is told once it is proved over.
    pub(super) end: Option<AttemptEnd>,
}

/// A query in hand, or one that is over.
pub(super) struct QueryRecord {
    pub(super) group: usize,
    pub(super) key: Option<u64>,
    /// Where it stands among all that came.
    pub(super) place: usize,
    pub(super) limit: u64,
    pub(super) left: bool,
    pub(super) answered: Option<(u64, bool)>,
    pub(super) dispatches: Vec<(u64, EngineId)>,
}

impl World {
    pub(super) fn gateway(&mut self) {
        for n in (0..self.attempts.len()).rev() {
            self.drive(n);
        }
        self.pump();
    }

    fn pump(&mut self) {
        loop {
            match self.control.next_action(seconds(self.now)) {
                NextAction::Wait(_) => return,
                NextAction::Subscribe | NextAction::HealthCheck(_) => {}
                NextAction::Cancel {
                    query: id,
                    attempt: n,
                } => {
                    if let Some(o) = self
                        .attempts
                        .iter_mut()
                        .find(|o| o.batch == id && o.number == n)
                    {
                        o.unwanted = true;
                    }
                }
                NextAction::Place(id) => match self.control.place(seconds(self.now), id) {
                    Placement::Wait => {}
                    Placement::Answer(answer) => self.answer(id, answer),
                    Placement::Attempt {
                        engine,
                        response_timeout: time_out,
                        ..
                    } => self.send(id, engine, time_out),
                },
            }
        }
    }

    pub(super) fn answer(&mut self, id: QueryId, answer: FinalAnswer) {
        let pushed_back = matches!(answer, FinalAnswer::Rejected { .. });
        if self.slip == Slip::LosesAnswers && self.rng.one_in(20) {
            return;
        }
        self.answered(id, pushed_back);
    }

    pub(super) fn answered(&mut self, id: QueryId, pushed_back: bool) {
        let (now, starved) = (self.now, self.starved);
        let h = &mut self.queries[id as usize];
        if h.left {
            return;
        }
        if h.answered.replace((now, pushed_back)).is_some() {
            self.breaks(Rule::Answer, format!("batch {id} has two answers"));
            return;
        }
        // A gateway that gets no time can't answer; it does so at once when it does.
        let woke = if (starved.0..=starved.1 + STEP).contains(&h.limit) {
            starved.1 + STEP
        } else {
            0
        };
        if now > h.limit.max(woke) + SLACK {
            let limit = h.limit;
            self.breaks(
                Rule::Answer,
                format!("batch {id} answered after its limit {limit}"),
            );
        }
        let ran = self.executions.iter().any(|r| r.batch == id);
        if pushed_back && ran && self.queries[id as usize].group != 0 {
            self.breaks(Rule::Effect, format!("batch {id} ran and was pushed back"));
        }
    }

    pub(super) fn send(&mut self, id: QueryId, engine: EngineId, time_out: f64) {
        self.judge_send(id, engine);
        let now = self.now;
        let h = &mut self.queries[id as usize];
        let number = h.dispatches.len() as u32;
        h.dispatches.push((now, engine));
        self.attempts.push(Attempt {
            batch: id,
            engine,
            number,
            id: self.ledger.open(
                Duration::from_millis(now),
                Duration::from_millis(LONGEST_DEADLINE),
            ),
            sent: now,
            time_out: now + (time_out * 1000.0) as u64,
            doing: Doing::Connects {
                since: now,
                then: Call::Start,
            },
            asking: PollSchedule::new(
                Duration::from_millis(now),
                BOUNDS,
                Duration::from_millis(CONNECT_TIMEOUT),
            ),
            up: None,
            connection: 0,
            refused: false,
            comes_up: None,
            may_have_come: false,
            unwanted: false,
            late: false,
            end: None,
        });
    }

    pub(super) fn tell(&mut self, n: usize, fact: Evidence) {
        let now = self.ledger_now();
        self.ledger.record(now, self.attempts[n].id, fact);
    }

    fn outcome(&self, n: usize, end: AttemptEnd) -> AttemptOutcome {
        let o = &self.attempts[n];
        let closed = self.queries[o.batch as usize].answered.is_some()
            || self.queries[o.batch as usize].left;
        let latency = (self.now - o.sent) as f64 / 1000.0;
        let work = (end == AttemptEnd::Succeeded).then_some(latency);
        AttemptOutcome {
            engine: o.engine,
            attempt: o.number,
            end,
            latency,
            query_finished: closed,
            work,
            memory: None,
        }
    }

    pub(super) fn in_doubt(&mut self, n: usize, end: AttemptEnd) {
        let (id, outcome) = (self.attempts[n].batch, self.outcome(n, end));
        if let FollowUp::Answer(answer) =
            self.control.outcome_unknown(seconds(self.now), id, outcome)
        {
            self.answer(id, answer);
        }
    }

    /// The dispatch is over as far as the gateway can know.
    pub(super) fn over(&mut self, n: usize, end: AttemptEnd) {
        let end = if self.attempts[n].late && end != AttemptEnd::NotNeeded {
            AttemptEnd::TimedOut
        } else {
            end
        };
        let (id, outcome) = (self.attempts[n].batch, self.outcome(n, end));
        let closed = outcome.query_finished;
        let next = self.control.attempt_ended(seconds(self.now), id, outcome);
        self.ledger.close(self.attempts[n].id);
        self.attempts.remove(n);
        match next {
            _ if end == AttemptEnd::Succeeded && !closed => self.answered(id, false),
            FollowUp::Answer(answer) => self.answer(id, answer),
            FollowUp::Nothing => {}
        }
    }

    pub(super) fn give_up(&mut self, n: usize, end: AttemptEnd) {
        self.attempts[n].end = Some(end);
        self.attempts[n].doing = Doing::GivesUp;
    }

    pub(super) fn doubts(&mut self, n: usize) {
        if !self.attempts[n].unwanted {
            self.in_doubt(n, AttemptEnd::ConnectionLost);
        }
        self.give_up(n, AttemptEnd::ConnectionLost);
    }
}
