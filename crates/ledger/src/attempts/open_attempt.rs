//! What is known of one attempt, and what can be done to end it.

use super::evidence::{ConnectionId, Evidence, Proof};
use super::protocol_limits::{ProgressEvents, ProtocolLimits};
use std::time::Duration;

/// Where progress events keep attempts running: how often the process at an engine's address is asked whether it has an
/// attempt that is to be cancelled. Asking keeps the attempt running too.
const MAX_IDENTIFICATIONS: u32 = 3;

/// The next step towards the end of an attempt that nobody waits for any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelStep {
    /// The attempt does not run any more.
    Finished(Proof),
    /// Poll the attempt on a new connection, now, and ask for the next step again: only a process that shows that it has the
    /// attempt cancels it for certain.
    IdentifyProcess,
    /// Send a cancellation, now. After this time the attempt does not run any more.
    Cancel(Duration),
    /// Nothing can be done before this time has passed; ask again then.
    Wait(Duration),
}

/// What is known of an attempt.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    /// The request may have reached the engine.
    may_have_reached: bool,
    /// The latest time at which something may have reached the engine that keeps the attempt running.
    last_contact: Duration,
    /// How long the attempt may run after `last_contact`.
    expiry: Duration,
    /// How often the process at the engine's address may still be asked whether it has the attempt.
    identifications_left: u32,
    /// The next request that is sent asks so.
    identifying: bool,
    /// A connection to the process that has the attempt, while it can be used.
    identified_connection: Option<ConnectionId>,
    /// A connection was refused, or a process that may be another answered a cancellation: without an identified connection
    /// no further cancellation can achieve more.
    cancellation_exhausted: bool,
    /// When a cancellation failed last.
    cancel_failed_at: Option<Duration>,
    /// Set once it is proved that the attempt does not run any more.
    proof: Option<Proof>,
}

impl OpenAttempt {
    /// An attempt of which nothing was sent yet. `progress_expiry` is as in [`Ledger::open`](super::Ledger::open).
    pub(super) fn new(now: Duration, limits: &ProtocolLimits, progress_expiry: Duration) -> Self {
        let (expiry, identifications_left) = match limits.progress_events {
            ProgressEvents::NotSent => (limits.poll_expiry, 0),
            ProgressEvents::KeepRunning => {
                (limits.poll_expiry.max(progress_expiry), MAX_IDENTIFICATIONS)
            }
        };
        OpenAttempt {
            may_have_reached: false,
            last_contact: now,
            expiry,
            identifications_left,
            identifying: false,
            identified_connection: None,
            cancellation_exhausted: false,
            cancel_failed_at: None,
            proof: None,
        }
    }

    /// The latest time at which the attempt may still run, unless there is a proof.
    fn expires_at(&self) -> Duration {
        self.last_contact + self.expiry
    }

    /// Records what was observed; after a proof nothing counts any more.
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

    /// The next step towards its end.
    pub(super) fn next_cancel_step(&mut self, now: Duration, cancel_pause: Duration) -> CancelStep {
        self.proof = self.proof.or_else(|| self.proof_by_time(now));
        match self.proof {
            Some(proof) => CancelStep::Finished(proof),
            None => self.cancel_step(now, cancel_pause),
        }
    }

    /// The latest time at which the attempt may still run; `None` once it is proved that it does not.
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
        if std::mem::take(&mut self.identifying) {
            self.identifications_left -= 1;
        }
        self.may_have_reached = true;
        self.last_contact = self.last_contact.max(now + long_poll);
    }

    fn record_running(&mut self, now: Duration, connection: ConnectionId) {
        self.last_contact = self.last_contact.max(now);
        self.identified_connection = Some(connection);
        self.cancellation_exhausted = false;
    }

    /// What the time alone proves.
    fn proof_by_time(&self, now: Duration) -> Option<Proof> {
        if !self.may_have_reached {
            return Some(Proof::NeverReached);
        }
        (now >= self.expires_at()).then_some(Proof::Expired)
    }

    /// What can be done before [`Self::expires_at`], which has not passed.
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
            self.identifying = true;
            return CancelStep::IdentifyProcess;
        }
        CancelStep::Cancel(remaining)
    }

    /// The rest of the pause after a failed cancellation.
    fn remaining_pause(&self, now: Duration, cancel_pause: Duration) -> Duration {
        match self.cancel_failed_at {
            Some(failed_at) => (failed_at + cancel_pause).saturating_sub(now),
            None => Duration::ZERO,
        }
    }
}
