//! The ledger of open attempts: records evidence, and decides what can be done to end an attempt.

mod evidence;

pub use evidence::{Connection, Evidence, Proof};

use std::collections::HashMap;
use std::time::Duration;

/// Where progress events keep attempts running: how often the process at an engine's address is asked whether it has an
/// attempt that is to be cancelled. Asking keeps the attempt running too.
const MAX_IDENTIFICATIONS: u32 = 3;

/// An attempt in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(u64);

/// The protocol's time limits, and the pause between two cancellations.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An engine answers a poll after this time at most.
    pub long_poll: Duration,
    /// Engines send progress events, each of which keeps its attempt running as a poll does, received or not. That nobody
    /// polls an attempt does not end it then.
    pub progress_events: bool,
    /// An engine drops an attempt that nobody has polled for this time.
    pub poll_expiry: Duration,
    /// The pause after a cancellation that failed.
    pub cancel_pause: Duration,
}

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
struct OpenAttempt {
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
    identified_connection: Option<Connection>,
    /// A connection was refused, or a process that may be another answered a cancellation: without an identified connection
    /// no further cancellation can achieve more.
    cancellation_exhausted: bool,
    /// When a cancellation failed last.
    cancel_failed_at: Option<Duration>,
    /// Set once it is proved that the attempt does not run any more.
    proof: Option<Proof>,
}

impl OpenAttempt {
    /// The latest time at which the attempt may still run, unless there is a proof.
    fn may_run_until(&self) -> Duration {
        self.last_contact + self.expiry
    }

    fn is_identified(&self, connection: Connection) -> bool {
        self.identified_connection == Some(connection)
    }

    fn record_request(&mut self, now: Duration, long_poll: Duration) {
        if std::mem::take(&mut self.identifying) {
            self.identifications_left -= 1;
        }
        self.may_have_reached = true;
        self.last_contact = self.last_contact.max(now + long_poll);
    }

    fn record_running(&mut self, now: Duration, connection: Connection) {
        self.last_contact = self.last_contact.max(now);
        self.identified_connection = Some(connection);
        self.cancellation_exhausted = false;
    }

    /// What the time alone proves.
    fn proof_by_time(&self, now: Duration) -> Option<Proof> {
        if !self.may_have_reached {
            return Some(Proof::NeverReached);
        }
        (now >= self.may_run_until()).then_some(Proof::Expired)
    }

    /// What can be done before `may_run_until`, which has not passed.
    fn cancel_step(&mut self, now: Duration, cancel_pause: Duration) -> CancelStep {
        let remaining = self.may_run_until() - now;
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

/// All attempts that were opened and not closed, with an entry for each.
#[derive(Debug)]
pub struct Ledger {
    bounds: Bounds,
    next_id: u64,
    attempts: HashMap<AttemptId, OpenAttempt>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(bounds: Bounds) -> Self {
        Ledger {
            bounds,
            next_id: 0,
            attempts: HashMap::new(),
        }
    }

    /// Opens an attempt that is about to be sent; it stays in the ledger until [`close`](Ledger::close).
    ///
    /// Where engines send progress events the attempt may run for `progress_expiry` after it was last polled, if that is
    /// longer than [`Bounds::poll_expiry`].
    pub fn open(&mut self, now: Duration, progress_expiry: Duration) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        let Bounds {
            poll_expiry,
            progress_events,
            ..
        } = self.bounds;
        let (expiry, identifications_left) = match progress_events {
            true => (poll_expiry.max(progress_expiry), MAX_IDENTIFICATIONS),
            false => (poll_expiry, 0),
        };
        let attempt = OpenAttempt {
            may_have_reached: false,
            last_contact: now,
            expiry,
            identifications_left,
            identifying: false,
            identified_connection: None,
            cancellation_exhausted: false,
            cancel_failed_at: None,
            proof: None,
        };
        self.attempts.insert(id, attempt);
        id
    }

    /// Records what was observed of an attempt. Evidence after a proof, or after the attempt was closed, changes nothing.
    pub fn record(&mut self, now: Duration, id: AttemptId, evidence: Evidence) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.proof.is_some() {
            return;
        }
        match evidence {
            Evidence::RequestSent => attempt.record_request(now, self.bounds.long_poll),
            Evidence::Running(connection) => attempt.record_running(now, connection),
            Evidence::Ended => attempt.proof = Some(Proof::Ended),
            Evidence::NeverReached => attempt.proof = Some(Proof::NeverReached),
            Evidence::ReportedFailed(connection) => {
                if attempt.is_identified(connection) {
                    attempt.proof = Some(Proof::Ended);
                }
            }
            Evidence::Cancelled(connection) => {
                if attempt.is_identified(connection) {
                    attempt.proof = Some(Proof::Cancelled);
                } else {
                    attempt.cancellation_exhausted = true;
                }
            }
            Evidence::ConnectionLost(connection) | Evidence::ConnectionUnusable(connection) => {
                if attempt.is_identified(connection) {
                    attempt.identified_connection = None;
                }
            }
            Evidence::ConnectionRefused => attempt.cancellation_exhausted = true,
            Evidence::CancelFailed => attempt.cancel_failed_at = Some(now),
        }
    }

    /// The next step towards the end of an attempt that nobody waits for any more. One that is not in the ledger has ended.
    pub fn next_cancel_step(&mut self, now: Duration, id: AttemptId) -> CancelStep {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return CancelStep::Finished(Proof::Ended);
        };
        attempt.proof = attempt.proof.or_else(|| attempt.proof_by_time(now));
        match attempt.proof {
            Some(proof) => CancelStep::Finished(proof),
            None => attempt.cancel_step(now, self.bounds.cancel_pause),
        }
    }

    /// The latest time at which an attempt may still run; `None` once it is proved that it does not.
    pub fn may_run_until(&self, id: AttemptId) -> Option<Duration> {
        let attempt = self.attempts.get(&id)?;
        match attempt.proof {
            Some(_) => None,
            None => Some(attempt.may_run_until()),
        }
    }

    /// Removes an attempt whose outcome has been reported.
    pub fn close(&mut self, id: AttemptId) {
        self.attempts.remove(&id);
    }

    /// The number of attempts in the ledger.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is in the ledger.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}

#[cfg(test)]
mod tests;
