//! The calls of one attempt: its connection, its start, asking for it, giving it up.

use super::figures::{CONNECT_TIMEOUT, POLL_HOLD, SLACK, STEP};
use super::gateway::{Call, Doing, Reply};
use super::{Slip, World};
use garnetwall::api::AttemptEnd;
use garnetwall_ledger::{
    weigh_reported_end, CallFailure, CancelStep, Evidence, PollStep, ReportVerdict,
};

impl World {
    pub(super) fn drive(&mut self, n: usize) {
        if self.now >= self.attempts[n].time_out && !self.attempts[n].late {
            (self.attempts[n].late, self.attempts[n].unwanted) = (true, true);
            let unsent = matches!(
                self.attempts[n].doing,
                Doing::Connects {
                    then: Call::Start,
                    ..
                }
            );
            if !unsent || self.slip == Slip::StartsLate {
                self.in_doubt(n, AttemptEnd::TimedOut);
            }
        }
        match self.attempts[n].doing {
            Doing::Connects { since, then } => self.connect(n, since, then),
            Doing::Calls {
                since,
                call,
                reached,
            } => self.await_reply(n, since, call, reached),
            Doing::Pauses { until } if self.now >= until => {
                self.attempts[n].doing = Doing::Connects {
                    since: self.now,
                    then: Call::News,
                };
            }
            Doing::Pauses { .. } => {}
            Doing::GivesUp => {
                let (now, id) = (self.ledger_now(), self.attempts[n].id);
                let trusted = self.slip == Slip::TrustsRefusals && self.attempts[n].refused;
                match self.ledger.next_cancel_step(now, id) {
                    CancelStep::Finished(proof) => {
                        let never = proof == garnetwall_ledger::Proof::NeverReached;
                        let end = self.attempts[n].end.unwrap_or(AttemptEnd::Cancelled);
                        self.over(
                            n,
                            if never {
                                AttemptEnd::ConnectFailed
                            } else {
                                end
                            },
                        );
                    }
                    _ if trusted => self.over(n, AttemptEnd::ConnectionLost),
                    CancelStep::Wait(_) => {}
                    CancelStep::IdentifyProcess => {
                        self.attempts[n].doing = Doing::Connects {
                            since: self.now,
                            then: Call::News,
                        };
                    }
                    CancelStep::Cancel(_) => {
                        self.attempts[n].doing = Doing::Connects {
                            since: self.now,
                            then: Call::GiveUp,
                        };
                    }
                }
            }
        }
    }

    fn connect(&mut self, n: usize, since: u64, then: Call) {
        if then == Call::Start && self.attempts[n].unwanted && self.slip != Slip::StartsLate {
            self.tell(n, Evidence::NeverReached);
            return self.over(
                n,
                if self.attempts[n].late {
                    AttemptEnd::NotNeeded
                } else {
                    AttemptEnd::ConnectFailed
                },
            );
        }
        let slot = self.processes[self.attempts[n].engine].slot;
        if self.attempts[n].up.is_none() {
            if self.is_cut(slot) {
                if self.now >= since + CONNECT_TIMEOUT {
                    self.lost(n, then, CallFailure::Unanswered);
                }
                return;
            }
            let Some(process) = self.listens(slot) else {
                self.tell(n, Evidence::ConnectionRefused);
                self.attempts[n].refused = true;
                self.lost(n, then, CallFailure::Refused);
                return;
            };
            // Some connections come up late, and the batch may have its answer meanwhile.
            let late = if self.rng.one_in(5) {
                self.rng.between(STEP, CONNECT_TIMEOUT)
            } else {
                0
            };
            if self.now < *self.attempts[n].comes_up.get_or_insert(self.now + late) {
                return;
            }
            self.attempts[n].comes_up = None;
            self.attempts[n].up = Some(process);
            self.attempts[n].connection += 1;
        }
        if then != Call::GiveUp {
            self.attempts[n].may_have_come = true;
            self.tell(n, Evidence::RequestSent);
        }
        // A cut takes what is written into it; a reset may come under it.
        let lost = self.is_cut(slot) || self.rng.one_in(12);
        if lost && !self.is_cut(slot) {
            self.attempts[n].up = None;
        }
        self.attempts[n].doing = Doing::Calls {
            since: self.now,
            call: then,
            reached: !lost,
        };
        if !lost {
            self.arrives(n, then);
        }
    }

    fn await_reply(&mut self, n: usize, since: u64, call: Call, reached: bool) {
        if self.attempts[n].up.is_none() {
            self.tell(n, Evidence::ConnectionLost(self.attempts[n].connection));
            return self.lost(n, call, CallFailure::Unanswered);
        }
        let reply = if reached {
            self.reply(n, since, call)
        } else {
            None
        };
        let Some(reply) = reply else {
            if self.now > since + POLL_HOLD + SLACK {
                self.drops(n);
                self.lost(n, call, CallFailure::Unanswered);
            }
            return;
        };
        let on = self.attempts[n].connection;
        let now = self.ledger_now();
        match reply {
            Reply::Spoilt => {
                self.drops(n);
                self.lost(n, call, CallFailure::Garbled);
            }
            Reply::Good => {
                self.tell(n, Evidence::Ended);
                if self.attempts[n].end.is_some() {
                    return self.attempts[n].doing = Doing::GivesUp;
                }
                let unwanted = self.attempts[n].unwanted && self.attempts[n].late;
                self.over(
                    n,
                    if unwanted {
                        AttemptEnd::Cancelled
                    } else {
                        AttemptEnd::Succeeded
                    },
                );
            }
            Reply::Full => {
                self.tell(n, Evidence::Ended);
                self.over(n, AttemptEnd::Rejected);
            }
            Reply::Unknown => {
                self.tell(n, Evidence::ReportedFailed(on));
                if self.attempts[n].end.is_some() {
                    return self.attempts[n].doing = Doing::GivesUp;
                }
                let id = self.attempts[n].id;
                let over =
                    self.ledger.may_run_until(id).is_none() || self.slip == Slip::TrustsAddresses;
                match weigh_reported_end(call == Call::Start, true, over) {
                    ReportVerdict::Accepted => self.over(n, AttemptEnd::Failed),
                    ReportVerdict::Interrupted => self.over(n, AttemptEnd::ConnectionLost),
                    ReportVerdict::Inconclusive => self.doubts(n),
                }
            }
            Reply::GivenUp => {
                self.tell(n, Evidence::Cancelled(on));
                self.attempts[n].doing = Doing::GivesUp;
            }
            Reply::NotYet => {
                self.tell(n, Evidence::Running(on));
                self.attempts[n].asking.answered(now);
                match self.attempts[n].unwanted {
                    _ if self.attempts[n].end.is_some() => self.attempts[n].doing = Doing::GivesUp,
                    true => self.give_up(n, AttemptEnd::Cancelled),
                    false => {
                        self.attempts[n].doing = Doing::Connects {
                            since: self.now,
                            then: Call::News,
                        }
                    }
                }
            }
        }
    }

    /// A connection of no further use; the process's machine hears of it, but for one that is cut off.
    fn drops(&mut self, n: usize) {
        self.tell(n, Evidence::ConnectionUnusable(self.attempts[n].connection));
        let (batch, up) = (self.attempts[n].batch, self.attempts[n].up.take());
        let held = self
            .executions
            .iter_mut()
            .filter(|r| r.batch == batch && Some(r.process) == up);
        held.for_each(|r| r.held = None);
    }

    fn lost(&mut self, n: usize, call: Call, how: CallFailure) {
        if call == Call::GiveUp || self.attempts[n].end.is_some() {
            if how != CallFailure::Refused {
                self.tell(n, Evidence::CancelFailed);
            }
            self.attempts[n].doing = Doing::GivesUp;
            return;
        }
        if call == Call::Start && !self.attempts[n].may_have_come {
            self.tell(n, Evidence::NeverReached);
            return self.over(n, AttemptEnd::ConnectFailed);
        }
        if self.attempts[n].unwanted {
            return self.give_up(n, AttemptEnd::Cancelled);
        }
        let now = self.ledger_now();
        match self.attempts[n].asking.failed(now, how) {
            PollStep::PollAgain(after) => {
                let until = self.now + after.as_millis() as u64;
                self.attempts[n].doing = Doing::Pauses { until };
            }
            PollStep::Stop => self.doubts(n),
        }
    }
}
