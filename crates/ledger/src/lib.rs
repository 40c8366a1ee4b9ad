//! The ledger of open dispatches: what is known of each that was sent and is not proved over, what counts as a
//! proof, and until when it may run. It does no I/O: callers tell it facts as they come and ask what follows.
//!
//! A dispatch belongs to no connection. It runs on at its engine until it ends, is given up, its process ends, or
//! nobody has asked for it for a while (the protocol's figure, [`Bounds::unasked`]). Only these end it; that the
//! gateway has stopped to wait does not. docs/ledger.md weighs what each fact proves. No proof rests on the list of
//! engines or on who listens at an address: a list may be late, and an engine that drains may refuse and run on.
//!
//! Times are spans since any fixed point, the same for all calls, and never run backwards.

pub mod journal;
mod polling;
pub mod records;

pub use polling::{weigh_reported_end, CallFailure, PollSchedule, PollStep, ReportVerdict};
use std::collections::HashMap;
use std::time::Duration;

/// Who listens there is asked so often at most for a dispatch that notes may keep running and that is to be given up: asking
/// keeps it running too, and one answer tells.
const FIND_OUT: u32 = 3;

/// The connections of one dispatch, numbered as they come up.
pub type Connection = u32;

/// A dispatch in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(u64);

/// The protocol's figures, and the pause between two tries.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An engine holds a call for news back for this long at most.
    pub long_poll: Duration,
    /// Engines tell notes of a dispatch, and each keeps it running as asking does, heard or not: that nobody asks is no end
    /// of it then.
    pub progress_events: bool,
    /// An engine drops a dispatch that nobody has asked for in this time.
    pub poll_expiry: Duration,
    /// Between two tries to give a dispatch up that came to nothing.
    pub cancel_pause: Duration,
}

/// Something seen of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The start, or a call for its news, is being written: from now on it may have come.
    RequestSent,
    /// The process at the end of this connection has shown that it has the dispatch, which still runs.
    Running(Connection),
    /// The engine has told its end, or that it never ran.
    Ended,
    /// Asked for news on this connection, who listens there said that it failed, or that it does not know it.
    ReportedFailed(Connection),
    /// No connection came up for the start: nothing can have come.
    NeverReached,
    /// A call to give it up was answered on this connection.
    Cancelled(Connection),
    /// This connection was reset or closed.
    ConnectionLost(Connection),
    /// This connection carried what can't be read, or nothing by the bound: it is of no further use.
    ConnectionUnusable(Connection),
    /// A new connection was refused.
    ConnectionRefused,
    /// A try to give it up came to nothing.
    CancelFailed,
}

/// How it is known that a dispatch does not run any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The engine told its end, or that it never ran.
    Ended,
    /// It can't have come.
    NeverReached,
    /// The process that ran it has answered that it is given up.
    Cancelled,
    /// Nobody has asked for it for so long that the engine has dropped it, or, where notes keep it running, that
    /// the time for which it counts as running is over.
    Expired,
}

/// What can be done about a dispatch that nobody waits for any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelStep {
    /// It does not run any more.
    Finished(Proof),
    /// Ask who listens there whether it has the dispatch, now, and look again: only who shows it gives it up for certain.
    IdentifyProcess,
    /// Ask the engine to give it up, now; after this span it does not run any more.
    Cancel(Duration),
    /// Look again after this span; nothing can be done before.
    Wait(Duration),
}

/// What is known of a dispatch.
#[derive(Debug)]
struct Entry {
    /// Something may have come.
    asked: bool,
    /// The latest moment at which the engine may have begun to hear nothing of it.
    unheard_from: Duration,
    /// For how long it may run from then.
    runs_on: Duration,
    /// How often it may still be found out who listens there, and whether the next call is for that.
    finds_out: u32,
    finding: bool,
    /// A connection to the process that has it, as long as that is of use.
    known: Option<Connection>,
    /// A new connection was refused, or a call to give it up answered by whoever listens there now: no further call
    /// can tell more, or do more.
    spent: bool,
    /// When a try to give it up last came to nothing.
    missed: Option<Duration>,
    over: Option<Proof>,
}

/// All dispatches sent and not closed; it holds one entry for each.
#[derive(Debug)]
pub struct Ledger {
    bounds: Bounds,
    next: u64,
    open: HashMap<AttemptId, Entry>,
}

impl Ledger {
    pub fn new(bounds: Bounds) -> Self {
        Ledger {
            bounds,
            next: 0,
            open: HashMap::new(),
        }
    }

    /// A dispatch that is about to be sent. Where notes keep it running it counts as running for `kept` after it was last asked
    /// for, unless its end is proved. It is in the ledger until it is closed.
    pub fn open(&mut self, now: Duration, kept: Duration) -> AttemptId {
        let id = AttemptId(self.next);
        self.next += 1;
        let entry = Entry {
            asked: false,
            unheard_from: now,
            runs_on: self.bounds.poll_expiry.max(if self.bounds.progress_events {
                kept
            } else {
                Duration::ZERO
            }),
            finds_out: if self.bounds.progress_events {
                FIND_OUT
            } else {
                0
            },
            finding: false,
            known: None,
            spent: false,
            missed: None,
            over: None,
        };
        self.open.insert(id, entry);
        id
    }

    /// Takes in a fact. Nothing undoes a proof.
    pub fn record(&mut self, now: Duration, id: AttemptId, fact: Evidence) {
        let Some(entry) = self.open.get_mut(&id).filter(|e| e.over.is_none()) else {
            return;
        };
        match fact {
            Evidence::RequestSent => {
                entry.finds_out -= u32::from(std::mem::take(&mut entry.finding));
                (entry.asked, entry.unheard_from) =
                    (true, entry.unheard_from.max(now + self.bounds.long_poll));
            }
            Evidence::Running(on) => {
                entry.unheard_from = entry.unheard_from.max(now);
                (entry.known, entry.spent) = (Some(on), false);
            }
            Evidence::Ended => entry.over = Some(Proof::Ended),
            Evidence::NeverReached => entry.over = Some(Proof::NeverReached),
            Evidence::ReportedFailed(on) if entry.known == Some(on) => {
                entry.over = Some(Proof::Ended)
            }
            Evidence::Cancelled(on) if entry.known == Some(on) => {
                entry.over = Some(Proof::Cancelled)
            }
            Evidence::ConnectionLost(on) | Evidence::ConnectionUnusable(on)
                if entry.known == Some(on) =>
            {
                entry.known = None
            }
            Evidence::ReportedFailed(_)
            | Evidence::ConnectionLost(_)
            | Evidence::ConnectionUnusable(_) => {}
            // If the process that has it was asked it is over, but another may listen there by now.
            Evidence::Cancelled(_) | Evidence::ConnectionRefused => entry.spent = true,
            Evidence::CancelFailed => entry.missed = Some(now),
        }
    }

    /// What can be done about a dispatch that nobody waits for any more. One that the ledger does not have is over.
    pub fn next_cancel_step(&mut self, now: Duration, id: AttemptId) -> CancelStep {
        let Some(until) = self.may_run_until(id) else {
            return CancelStep::Finished(
                self.open
                    .get(&id)
                    .and_then(|e| e.over)
                    .unwrap_or(Proof::Ended),
            );
        };
        let Some(entry) = self.open.get_mut(&id) else {
            return CancelStep::Finished(Proof::Ended);
        };
        let proof = match (entry.asked, now >= until) {
            (false, _) => Some(Proof::NeverReached),
            (true, true) => Some(Proof::Expired),
            (true, false) => None,
        };
        if let Some(proof) = proof {
            entry.over = Some(proof);
            return CancelStep::Finished(proof);
        }
        let missed = entry
            .missed
            .map(|at| (at + self.bounds.cancel_pause).saturating_sub(now));
        match (entry.known, entry.spent, missed.filter(|d| !d.is_zero())) {
            (None, true, _) => CancelStep::Wait(until - now),
            (_, _, Some(rests)) => CancelStep::Wait(rests.min(until - now)),
            (None, _, None) if entry.finds_out > 0 => {
                entry.finding = true;
                CancelStep::IdentifyProcess
            }
            (_, _, None) => CancelStep::Cancel(until - now),
        }
    }

    /// The latest moment at which a dispatch may still run; none once that it does not is proved.
    pub fn may_run_until(&self, id: AttemptId) -> Option<Duration> {
        let entry = self.open.get(&id).filter(|e| e.over.is_none())?;
        Some(entry.unheard_from + entry.runs_on)
    }

    /// Takes a dispatch out of the ledger: its outcome has been told.
    pub fn close(&mut self, id: AttemptId) {
        self.open.remove(&id);
    }

    /// Dispatches in the ledger.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

#[cfg(test)]
mod tests;
