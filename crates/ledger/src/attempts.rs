//! Implements the ledger of open attempts, which applies evidence to the attempts and holds each of them until its
//! outcome has been reported.

mod evidence;
mod open_attempt;
mod protocol_limits;

pub use evidence::{ConnectionId, Evidence, Proof};
pub use open_attempt::CancelStep;
pub use protocol_limits::{ProgressEvents, ProtocolLimits};

use open_attempt::OpenAttempt;
use std::collections::HashMap;
use std::time::Duration;

/// Identifies an attempt in a ledger; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(u64);

/// Ledger of all attempts that were opened and not yet closed.
#[derive(Debug)]
pub struct Ledger {
    limits: ProtocolLimits,
    next_id: u64,
    attempts: HashMap<AttemptId, OpenAttempt>,
}

impl Ledger {
    /// Creates an empty ledger whose attempts are all subject to `limits`.
    pub fn new(limits: ProtocolLimits) -> Self {
        Ledger {
            limits,
            next_id: 0,
            attempts: HashMap::new(),
        }
    }

    /// Adds an attempt that is about to be sent. The attempt stays in the ledger until [`close`](Ledger::close).
    ///
    /// `progress_expiry` matters only if engines send progress events: the attempt may then run for `progress_expiry`
    /// after the last poll if that is longer than [`ProtocolLimits::poll_expiry`].
    pub fn open(&mut self, now: Duration, progress_expiry: Duration) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        let attempt = OpenAttempt::new(now, &self.limits, progress_expiry);
        self.attempts.insert(id, attempt);
        id
    }

    /// Records an observation of an attempt. Evidence is ignored after a proof, and after the attempt was closed.
    pub fn record(&mut self, now: Duration, id: AttemptId, evidence: Evidence) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.record(now, &self.limits, evidence);
    }

    /// Returns the next step towards ending an attempt whose result is no longer wanted. An attempt that is not in the
    /// ledger counts as ended.
    pub fn next_cancel_step(&mut self, now: Duration, id: AttemptId) -> CancelStep {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return CancelStep::Finished(Proof::Ended);
        };
        attempt.next_cancel_step(now, self.limits.cancel_pause)
    }

    /// Returns the latest time at which an attempt may still run. Returns `None` if it is proved that the attempt no
    /// longer runs, or the attempt is not in the ledger.
    pub fn may_run_until(&self, id: AttemptId) -> Option<Duration> {
        self.attempts.get(&id)?.may_run_until()
    }

    /// Removes an attempt whose outcome has been reported.
    pub fn close(&mut self, id: AttemptId) {
        self.attempts.remove(&id);
    }

    /// Returns the number of attempts in the ledger.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether the ledger contains no attempts.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}

#[cfg(test)]
mod tests;
