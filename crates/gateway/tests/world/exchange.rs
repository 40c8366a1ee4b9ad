//! The exchanges of one attempt with its engine: connecting, starting, polling and cancelling.

use super::figures::{CONNECT_TIMEOUT, DEADLINE_TOLERANCE, POLL_HOLD, TIME_STEP};
use super::gateway::{AttemptPhase, Call, Reply};
use super::{InjectedBug, Simulation};
use garnetwall::api::AttemptEnd;
use garnetwall_ledger::{CallFailure, CancelStep, Evidence, PollStep, ReportVerdict, ReportedEnd};

impl Simulation {
    /// Advances an attempt by one time step.
    pub(super) fn advance_attempt(&mut self, n: usize) {
        if self.now >= self.attempts[n].response_timeout && !self.attempts[n].timed_out {
            (
                self.attempts[n].timed_out,
                self.attempts[n].cancel_requested,
            ) = (true, true);
            let unsent = matches!(
                self.attempts[n].phase,
                AttemptPhase::Connecting {
                    then: Call::Start,
                    ..
                }
            );
            if !unsent || self.bug == InjectedBug::StartsAfterAnswer {
                self.report_unknown_outcome(n, AttemptEnd::TimedOut);
            }
        }
        match self.attempts[n].phase {
            AttemptPhase::Connecting { since, then } => self.connect(n, since, then),
            AttemptPhase::AwaitingReply {
                since,
                call,
                reached,
            } => self.await_reply(n, since, call, reached),
            AttemptPhase::Backoff { until } if self.now >= until => {
                self.attempts[n].phase = AttemptPhase::Connecting {
                    since: self.now,
                    then: Call::Poll,
                };
            }
            AttemptPhase::Backoff { .. } => {}
            AttemptPhase::Cancelling => {
                let (now, id) = (self.ledger_now(), self.attempts[n].id);
                let trusted =
                    self.bug == InjectedBug::TrustsConnectionRefused && self.attempts[n].refused;
                match self.ledger.next_cancel_step(now, id) {
                    CancelStep::Finished(proof) => {
                        let never = proof == garnetwall_ledger::Proof::NeverReached;
                        let end = self.attempts[n].end.unwrap_or(AttemptEnd::Cancelled);
                        self.end_attempt(
                            n,
                            if never {
                                AttemptEnd::ConnectFailed
                            } else {
                                end
                            },
                        );
                    }
                    _ if trusted => self.end_attempt(n, AttemptEnd::ConnectionLost),
                    CancelStep::Wait(_) => {}
                    CancelStep::IdentifyProcess => {
                        self.attempts[n].phase = AttemptPhase::Connecting {
                            since: self.now,
                            then: Call::Poll,
                        };
                    }
                    CancelStep::Cancel(_) => {
                        self.attempts[n].phase = AttemptPhase::Connecting {
                            since: self.now,
                            then: Call::Cancel,
                        };
                    }
                }
            }
        }
    }

    /// Establishes the connection for a call if necessary, then sends the call.
    fn connect(&mut self, n: usize, since: u64, then: Call) {
        if then == Call::Start
            && self.attempts[n].cancel_requested
            && self.bug != InjectedBug::StartsAfterAnswer
        {
            self.record_evidence(n, Evidence::NeverReached);
            return self.end_attempt(
                n,
                if self.attempts[n].timed_out {
                    AttemptEnd::NotNeeded
                } else {
                    AttemptEnd::ConnectFailed
                },
            );
        }
        let slot = self.processes[self.attempts[n].engine].slot;
        if self.attempts[n].connected_to.is_none() {
            if self.is_partitioned(slot) {
                if self.now >= since + CONNECT_TIMEOUT {
                    self.call_failed(n, then, CallFailure::Unanswered);
                }
                return;
            }
            let Some(process) = self.listening_process(slot) else {
                self.record_evidence(n, Evidence::ConnectionRefused);
                self.attempts[n].refused = true;
                self.call_failed(n, then, CallFailure::Refused);
                return;
            };
            // Some connections are established late, so that the query may be answered meanwhile.
            let delay = if self.rng.one_in(5) {
                self.rng.between(TIME_STEP, CONNECT_TIMEOUT)
            } else {
                0
            };
            if self.now
                < *self.attempts[n]
                    .established_at
                    .get_or_insert(self.now + delay)
            {
                return;
            }
            self.attempts[n].established_at = None;
            self.attempts[n].connected_to = Some(process);
            self.attempts[n].connection = self.attempts[n].connection.next();
        }
        if then != Call::Cancel {
            self.attempts[n].may_have_arrived = true;
            self.record_evidence(n, Evidence::RequestSent);
        }
        // A partition loses the request without a sign; otherwise a reset may break the connection.
        let is_lost = self.is_partitioned(slot) || self.rng.one_in(12);
        if is_lost && !self.is_partitioned(slot) {
            self.attempts[n].connected_to = None;
        }
        self.attempts[n].phase = AttemptPhase::AwaitingReply {
            since: self.now,
            call: then,
            reached: !is_lost,
        };
        if !is_lost {
            self.request_arrives(n, then);
        }
    }

    /// Handles the reply to a call, its absence beyond the time limit, or the loss of the connection.
    fn await_reply(&mut self, n: usize, since: u64, call: Call, reached: bool) {
        if self.attempts[n].connected_to.is_none() {
            self.record_evidence(n, Evidence::ConnectionLost(self.attempts[n].connection));
            return self.call_failed(n, call, CallFailure::Unanswered);
        }
        let reply = if reached {
            self.reply(n, since, call)
        } else {
            None
        };
        let Some(reply) = reply else {
            if self.now > since + POLL_HOLD + DEADLINE_TOLERANCE {
                self.close_connection(n);
                self.call_failed(n, call, CallFailure::Unanswered);
            }
            return;
        };
        let connection = self.attempts[n].connection;
        let now = self.ledger_now();
        match reply {
            Reply::Corrupted => {
                self.close_connection(n);
                self.call_failed(n, call, CallFailure::InvalidResponse);
            }
            Reply::Succeeded => {
                self.record_evidence(n, Evidence::Ended);
                if self.attempts[n].end.is_some() {
                    return self.attempts[n].phase = AttemptPhase::Cancelling;
                }
                let cancel_requested =
                    self.attempts[n].cancel_requested && self.attempts[n].timed_out;
                self.end_attempt(
                    n,
                    if cancel_requested {
                        AttemptEnd::Cancelled
                    } else {
                        AttemptEnd::Succeeded
                    },
                );
            }
            Reply::Rejected => {
                self.record_evidence(n, Evidence::Ended);
                self.end_attempt(n, AttemptEnd::Rejected);
            }
            Reply::Unknown => {
                self.record_evidence(n, Evidence::ReportedFailed(connection));
                if self.attempts[n].end.is_some() {
                    return self.attempts[n].phase = AttemptPhase::Cancelling;
                }
                let id = self.attempts[n].id;
                let proven_ended = self.ledger.may_run_until(id).is_none()
                    || self.bug == InjectedBug::TrustsAddresses;
                let reported_end = ReportedEnd {
                    answers_start: call == Call::Start,
                    is_failure: true,
                };
                match reported_end.evaluate(proven_ended) {
                    ReportVerdict::Accepted => self.end_attempt(n, AttemptEnd::Failed),
                    ReportVerdict::Interrupted => self.end_attempt(n, AttemptEnd::ConnectionLost),
                    ReportVerdict::Inconclusive => self.abandon_with_unknown_outcome(n),
                }
            }
            Reply::Cancelled => {
                self.record_evidence(n, Evidence::Cancelled(connection));
                self.attempts[n].phase = AttemptPhase::Cancelling;
            }
            Reply::Running => {
                self.record_evidence(n, Evidence::Running(connection));
                self.attempts[n].poll_schedule.answered(now);
                match self.attempts[n].cancel_requested {
                    _ if self.attempts[n].end.is_some() => {
                        self.attempts[n].phase = AttemptPhase::Cancelling
                    }
                    true => self.start_cancelling(n, AttemptEnd::Cancelled),
                    false => {
                        self.attempts[n].phase = AttemptPhase::Connecting {
                            since: self.now,
                            then: Call::Poll,
                        }
                    }
                }
            }
        }
    }

    /// Closes the connection of an attempt; the engine drops the poll that was in flight on it.
    fn close_connection(&mut self, n: usize) {
        self.record_evidence(n, Evidence::ConnectionUnusable(self.attempts[n].connection));
        let (query, process) = (self.attempts[n].query, self.attempts[n].connected_to.take());
        let own_runs = self
            .executions
            .iter_mut()
            .filter(|run| run.query == query && Some(run.process) == process);
        own_runs.for_each(|run| run.poll_since = None);
    }

    /// Decides after a failed call whether the attempt polls again, is cancelled or ends.
    fn call_failed(&mut self, n: usize, call: Call, failure: CallFailure) {
        if call == Call::Cancel || self.attempts[n].end.is_some() {
            if failure != CallFailure::Refused {
                self.record_evidence(n, Evidence::CancelFailed);
            }
            self.attempts[n].phase = AttemptPhase::Cancelling;
            return;
        }
        if call == Call::Start && !self.attempts[n].may_have_arrived {
            self.record_evidence(n, Evidence::NeverReached);
            return self.end_attempt(n, AttemptEnd::ConnectFailed);
        }
        if self.attempts[n].cancel_requested {
            return self.start_cancelling(n, AttemptEnd::Cancelled);
        }
        let now = self.ledger_now();
        match self.attempts[n].poll_schedule.failed(now, failure) {
            PollStep::PollAgain(after) => {
                let until = self.now + after.as_millis() as u64;
                self.attempts[n].phase = AttemptPhase::Backoff { until };
            }
            PollStep::Stop => self.abandon_with_unknown_outcome(n),
        }
    }
}
