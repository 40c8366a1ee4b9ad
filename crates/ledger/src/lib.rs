//! The ledger of open dispatches: what is known of each that was sent and is not proved over, what counts as a
//! proof, and until when it may run. It does no I/O: callers tell it facts as they come and ask what follows.
//!
//! A dispatch belongs to no connection. It runs on at its engine until it ends, is given up, its process ends, or
//! nobody has asked for it for a while (the protocol's figure, [`Bounds::unasked`]). Only these end it; that the
//! gateway has stopped to wait does not. docs/ledger.md weighs what each fact proves. No proof rests on the list of
//! engines or on who listens at an address: a list may be late, and an engine that drains may refuse and run on.
//!
//! Times are spans since any fixed point, the same for all calls, and never run backwards.

mod asking;
pub mod book;
pub mod journal;

pub use asking::{weigh, Asking, Lost, Step, Verdict};
use std::collections::HashMap;
use std::time::Duration;

/// Who listens there is asked so often at most for a dispatch that notes may keep running and that is to be given up: asking
/// keeps it running too, and one answer tells.
const FIND_OUT: u32 = 3;

/// The connections of one dispatch, numbered as they come up.
pub type Connection = u32;

/// A dispatch in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DispatchId(u64);

/// The protocol's figures, and the pause between two tries.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An engine holds a call for news back for this long at most.
    pub news: Duration,
    /// Engines tell notes of a dispatch, and each keeps it running as asking does, heard or not: that nobody asks is no end
    /// of it then.
    pub notes: bool,
    /// An engine drops a dispatch that nobody has asked for in this time.
    pub unasked: Duration,
    /// Between two tries to give a dispatch up that came to nothing.
    pub pause: Duration,
}

/// Something seen of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact {
    /// The start, or a call for its news, is being written: from now on it may have come.
    Asked,
    /// The process at the end of this connection has shown that it has the dispatch, which still runs.
    Runs(Connection),
    /// The engine has told its end, or that it never ran.
    Ended,
    /// Asked for news on this connection, who listens there said that it failed, or that it does not know it.
    Failed(Connection),
    /// No connection came up for the start: nothing can have come.
    NeverCame,
    /// A call to give it up was answered on this connection.
    GivenUp(Connection),
    /// This connection was reset or closed.
    Reset(Connection),
    /// This connection carried what can't be read, or nothing by the bound: it is of no further use.
    Useless(Connection),
    /// A new connection was refused.
    Refused,
    /// A try to give it up came to nothing.
    Missed,
}

/// How it is known that a dispatch does not run any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The engine told its end, or that it never ran.
    Ended,
    /// It can't have come.
    NeverCame,
    /// The process that ran it has answered that it is given up.
    GivenUp,
    /// Nobody has asked for it for so long that the engine has dropped it, or, where notes keep it running, that
    /// the time for which it counts as running is over.
    Unasked,
}

/// What can be done about a dispatch that nobody waits for any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It does not run any more.
    Over(Proof),
    /// Ask who listens there whether it has the dispatch, now, and look again: only who shows it gives it up for certain.
    FindOut,
    /// Ask the engine to give it up, now; after this span it does not run any more.
    GiveUp(Duration),
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
    open: HashMap<DispatchId, Entry>,
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
    pub fn open(&mut self, now: Duration, kept: Duration) -> DispatchId {
        let id = DispatchId(self.next);
        self.next += 1;
        let entry = Entry {
            asked: false,
            unheard_from: now,
            runs_on: self.bounds.unasked.max(if self.bounds.notes {
                kept
            } else {
                Duration::ZERO
            }),
            finds_out: if self.bounds.notes { FIND_OUT } else { 0 },
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
    pub fn tell(&mut self, now: Duration, id: DispatchId, fact: Fact) {
        let Some(entry) = self.open.get_mut(&id).filter(|e| e.over.is_none()) else {
            return;
        };
        match fact {
            Fact::Asked => {
                entry.finds_out -= u32::from(std::mem::take(&mut entry.finding));
                (entry.asked, entry.unheard_from) =
                    (true, entry.unheard_from.max(now + self.bounds.news));
            }
            Fact::Runs(on) => {
                entry.unheard_from = entry.unheard_from.max(now);
                (entry.known, entry.spent) = (Some(on), false);
            }
            Fact::Ended => entry.over = Some(Proof::Ended),
            Fact::NeverCame => entry.over = Some(Proof::NeverCame),
            Fact::Failed(on) if entry.known == Some(on) => entry.over = Some(Proof::Ended),
            Fact::GivenUp(on) if entry.known == Some(on) => entry.over = Some(Proof::GivenUp),
            Fact::Reset(on) | Fact::Useless(on) if entry.known == Some(on) => entry.known = None,
            Fact::Failed(_) | Fact::Reset(_) | Fact::Useless(_) => {}
            // If the process that has it was asked it is over, but another may listen there by now.
            Fact::GivenUp(_) | Fact::Refused => entry.spent = true,
            Fact::Missed => entry.missed = Some(now),
        }
    }

    /// What can be done about a dispatch that nobody waits for any more. One that the ledger does not have is over.
    pub fn next(&mut self, now: Duration, id: DispatchId) -> Next {
        let Some(until) = self.may_run_until(id) else {
            return Next::Over(
                self.open
                    .get(&id)
                    .and_then(|e| e.over)
                    .unwrap_or(Proof::Ended),
            );
        };
        let Some(entry) = self.open.get_mut(&id) else {
            return Next::Over(Proof::Ended);
        };
        let proof = match (entry.asked, now >= until) {
            (false, _) => Some(Proof::NeverCame),
            (true, true) => Some(Proof::Unasked),
            (true, false) => None,
        };
        if let Some(proof) = proof {
            entry.over = Some(proof);
            return Next::Over(proof);
        }
        let missed = entry
            .missed
            .map(|at| (at + self.bounds.pause).saturating_sub(now));
        match (entry.known, entry.spent, missed.filter(|d| !d.is_zero())) {
            (None, true, _) => Next::Wait(until - now),
            (_, _, Some(rests)) => Next::Wait(rests.min(until - now)),
            (None, _, None) if entry.finds_out > 0 => {
                entry.finding = true;
                Next::FindOut
            }
            (_, _, None) => Next::GiveUp(until - now),
        }
    }

    /// The latest moment at which a dispatch may still run; none once that it does not is proved.
    pub fn may_run_until(&self, id: DispatchId) -> Option<Duration> {
        let entry = self.open.get(&id).filter(|e| e.over.is_none())?;
        Some(entry.unheard_from + entry.runs_on)
    }

    /// Takes a dispatch out of the ledger: its outcome has been told.
    pub fn close(&mut self, id: DispatchId) {
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
