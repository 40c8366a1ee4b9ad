//! The ledger of open attempts: finds the attempt that evidence is of, and holds it until its outcome has been reported.

mod evidence;
mod open_attempt;
mod protocol_limits;

pub use evidence::{ConnectionId, Evidence, Proof};
pub use open_attempt::CancelStep;
pub use protocol_limits::{ProgressEvents, ProtocolLimits};

use open_attempt::OpenAttempt;
use std::collections::HashMap;
use std::time::Duration;

/// An attempt in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(u64);

/// All attempts that were opened and not closed, with an entry for each.
#[derive(Debug)]
pub struct Ledger {
    limits: ProtocolLimits,
    next_id: u64,
    attempts: HashMap<AttemptId, OpenAttempt>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(limits: ProtocolLimits) -> Self {
        Ledger {
            limits,
            next_id: 0,
            attempts: HashMap::new(),
        }
    }

    /// Opens an attempt that is about to be sent; it stays in the ledger until [`close`](Ledger::close).
    ///
    /// Where engines send progress events the attempt may run for `progress_expiry` after it was last polled, if that is
    /// longer than [`ProtocolLimits::poll_expiry`].
    pub fn open(&mut self, now: Duration, progress_expiry: Duration) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        let attempt = OpenAttempt::new(now, &self.limits, progress_expiry);
        self.attempts.insert(id, attempt);
        id
    }

    /// Records what was observed of an attempt. Evidence after a proof, or after the attempt was closed, changes nothing.
    pub fn record(&mut self, now: Duration, id: AttemptId, evidence: Evidence) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.record(now, &self.limits, evidence);
    }

    /// The next step towards the end of an attempt that nobody waits for any more. One that is not in the ledger has ended.
    pub fn next_cancel_step(&mut self, now: Duration, id: AttemptId) -> CancelStep {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return CancelStep::Finished(Proof::Ended);
        };
        attempt.next_cancel_step(now, self.limits.cancel_pause)
    }

    /// The latest time at which an attempt may still run; `None` once it is proved that it does not.
    pub fn may_run_until(&self, id: AttemptId) -> Option<Duration> {
        self.attempts.get(&id)?.may_run_until()
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
