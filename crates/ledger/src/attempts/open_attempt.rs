//! Implements the state of one open attempt, and chooses the next step towards ending it.

use super::evidence::{ConnectionId, Evidence, Proof};
use super::protocol_limits::{ProgressEvents, ProtocolLimits};
use std::time::Duration;

/// Maximum number of polls that are sent to find the process that has an attempt to be cancelled. Used only if progress
/// events keep attempts running. Limited because each such poll keeps the attempt running, too.
const MAX_IDENTIFICATIONS: u32 = 3;

/// Next step towards ending an attempt whose result is no longer wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelStep {
    /// The attempt no longer runs; nothing is left to do.
    Finished(Proof),
    /// Poll the attempt on a new connection now, then ask for the next step again. A cancellation is certain to take
    /// effect only at a process that has shown that it has the attempt.
    IdentifyProcess,
    /// Send a cancellation now. The attempt expires after this time even if the cancellation fails.
    Cancel(Duration),
    /// Do nothing for this time, then ask for the next step again.
    Wait(Duration),
}

/// State of one attempt in the ledger.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    /// Whether a request of the attempt may have reached the engine.
    may_have_reached_engine: bool,
    /// Latest time at which a request that keeps the attempt running may have reached the engine.
    last_contact: Duration,
    /// Longest time for which the attempt may run after `last_contact`.
    expiry: Duration,
    /// Number of polls that may still be sent to find the process that has the attempt.
    identifications_left: u32,
    /// Whether the next request to be recorded is such a poll.
    identification_pending: bool,
    /// Usable connection to the process that has the attempt; `None` while there is none.
    identified_connection: Option<ConnectionId>,
    /// Whether further cancellations are useless without an identified connection: a connection was refused, or a
    /// cancellation was answered by a process that has not shown that it has the attempt.
    cancellation_exhausted: bool,
    /// Time of the last failed cancellation.
    cancel_failed_at: Option<Duration>,
    /// Proof that the attempt no longer runs; never changes once it is set.
    proof: Option<Proof>,
}

impl OpenAttempt {
    /// Creates an attempt for which no request was sent yet. `progress_expiry` is as in
    /// [`Ledger::open`](super::Ledger::open).
    pub(super) fn new(now: Duration, limits: &ProtocolLimits, progress_expiry: Duration) -> Self {
        let (expiry, identifications_left) = match limits.progress_events {
            ProgressEvents::NotSent => (limits.poll_expiry, 0),
            ProgressEvents::KeepRunning => {
                (limits.poll_expiry.max(progress_expiry), MAX_IDENTIFICATIONS)
            }
        };
        OpenAttempt {
            may_have_reached_engine: false,
            last_contact: now,
            expiry,
            identifications_left,
            identification_pending: false,
            identified_connection: None,
            cancellation_exhausted: false,
            cancel_failed_at: None,
            proof: None,
        }
    }

    /// Returns the latest time at which the attempt may still run, ignoring any proof.
    fn expires_at(&self) -> Duration {
        self.last_contact + self.expiry
    }

    /// Records an observation at time `now`. Evidence after a proof is ignored.
    pub(super) fn record(&mut self, now: Duration, limits: &ProtocolLimits, evidence: Evidence) {
        if self.proof.is_some() {
            return;
        }
        match evidence {
            Evidence::RequestSent => self.record_request(now, limits.long_poll),
            Evidence::Running(connection) => self.record_running(now, connection),
            Evidence::Ended => self.proof = Some(Proof::Ended),
            Evidence::NeverReached => self.proof = Some(Proof::NeverReached),
            Evidence::ReportedFailed(connection) => {
                if self.is_identified(connection) {
                    self.proof = Some(Proof::Ended);
                }
            }
            Evidence::Cancelled(connection) => {
                if self.is_identified(connection) {
                    self.proof = Some(Proof::Cancelled);
                } else {
                    self.cancellation_exhausted = true;
                }
            }
            Evidence::ConnectionLost(connection) | Evidence::ConnectionUnusable(connection) => {
                if self.is_identified(connection) {
                    self.identified_connection = None;
                }
            }
            Evidence::ConnectionRefused => self.cancellation_exhausted = true,
            Evidence::CancelFailed => self.cancel_failed_at = Some(now),
        }
    }

    /// Returns the next step towards ending the attempt. Stores the proof if the time alone proves that the attempt no
    /// longer runs.
    pub(super) fn next_cancel_step(&mut self, now: Duration, cancel_pause: Duration) -> CancelStep {
        self.proof = self.proof.or_else(|| self.proof_by_time(now));
        match self.proof {
            Some(proof) => CancelStep::Finished(proof),
            None => self.cancel_step(now, cancel_pause),
        }
    }

    /// Returns the latest time at which the attempt may still run; `None` once there is a proof that it no longer runs.
    pub(super) fn may_run_until(&self) -> Option<Duration> {
        match self.proof {
            Some(_) => None,
            None => Some(self.expires_at()),
        }
    }

    fn is_identified(&self, connection: ConnectionId) -> bool {
        self.identified_connection == Some(connection)
    }

    fn record_request(&mut self, now: Duration, long_poll: Duration) {
        if std::mem::take(&mut self.identification_pending) {
            self.identifications_left -= 1;
        }
        self.may_have_reached_engine = true;
        self.last_contact = self.last_contact.max(now + long_poll);
    }

    fn record_running(&mut self, now: Duration, connection: ConnectionId) {
        self.last_contact = self.last_contact.max(now);
        self.identified_connection = Some(connection);
        self.cancellation_exhausted = false;
    }

    /// Returns the proof that follows from the time alone, if there is one.
    fn proof_by_time(&self, now: Duration) -> Option<Proof> {
        if !self.may_have_reached_engine {
            return Some(Proof::NeverReached);
        }
        (now >= self.expires_at()).then_some(Proof::Expired)
    }

    /// Returns the next step of an attempt without a proof, before [`Self::expires_at`] has passed.
    fn cancel_step(&mut self, now: Duration, cancel_pause: Duration) -> CancelStep {
        let remaining = self.expires_at() - now;
        let has_connection = self.identified_connection.is_some();
        if !has_connection && self.cancellation_exhausted {
            return CancelStep::Wait(remaining);
        }
        let pause = self.remaining_pause(now, cancel_pause);
        if !pause.is_zero() {
            return CancelStep::Wait(pause.min(remaining));
        }
        if !has_connection && self.identifications_left > 0 {
            self.identification_pending = true;
            return CancelStep::IdentifyProcess;
        }
        CancelStep::Cancel(remaining)
    }

    /// Returns the rest of the pause after the last failed cancellation; zero if there is none.
    fn remaining_pause(&self, now: Duration, cancel_pause: Duration) -> Duration {
        match self.cancel_failed_at {
            Some(failed_at) => (failed_at + cancel_pause).saturating_sub(now),
            None => Duration::ZERO,
        }
    }
}
