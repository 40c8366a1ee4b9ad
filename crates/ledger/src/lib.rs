//! The ledger of open dispatches: what is known of each that was sent and is not proved over, what counts as a
//! proof, and until when it may run. It does no I/O: callers tell it facts as they come and ask what follows.
//!
//! A dispatch belongs to no connection. It runs on at its engine until it ends, is given up, its process ends, or
//! nobody has asked for it for a while (the protocol's figure, [`Bounds::unasked`]). Only these end it; that the
//! gateway has stopped to wait does not. docs/ledger.md weighs what each fact proves.
//!
//! Times are spans since any fixed point, the same for all calls, and never run backwards.

mod asking;
pub mod book;
pub mod journal;

pub use asking::{Asking, Lost, Step};
use std::collections::HashMap;
use std::time::Duration;

/// The index that the gateway knows an engine by.
pub type EngineId = usize;

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
    /// An engine drops a dispatch that nobody has asked for in this time.
    pub unasked: Duration,
    /// Between two tries to give a dispatch up that came to nothing.
    pub pause: Duration,
}

/// What the list of engines says now of the process that a dispatch was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It serves: who listens at its address is this process, and if nobody does it has ended.
    Ready,
    /// It may refuse new connections while it runs on what it has.
    Draining,
    /// It is listed no more; who answers at its address may be anybody.
    Gone,
    /// Its address is another engine's.
    TakenOver,
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
    /// Asked for news, who listens there said that it failed, or that it does not know it.
    Failed(Connection, Listed),
    /// No connection came up for the start: nothing can have come.
    NeverCame,
    /// A call to give it up was answered on this connection.
    GivenUp(Connection, Listed),
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
    /// That process has ended.
    Died,
    /// Nobody has asked for it for so long that the engine has dropped it.
    Unasked,
}

/// What can be done about a dispatch that nobody waits for any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It does not run any more.
    Over(Proof),
    /// Ask the engine to give it up, now; after this span it does not run any more.
    GiveUp(Duration),
    /// Look again after this span; nothing can be done before.
    Wait(Duration),
}

/// What is known of a dispatch.
#[derive(Debug)]
struct Entry {
    engine: EngineId,
    /// Something may have come.
    asked: bool,
    /// The latest moment at which the engine may have begun to hear nothing of it.
    unheard_from: Duration,
    /// A connection to the process that has it, as long as that is of use.
    known: Option<Connection>,
    /// When a connection to the process that has it was reset.
    reset: Option<Duration>,
    /// When a new connection was first refused: whoever listens there later is another process.
    refused: Option<Duration>,
    /// When a try to give it up last came to nothing.
    missed: Option<Duration>,
    over: Option<Proof>,
}

/// What all open dispatches together tell of the process that an engine runs.
#[derive(Debug, Default)]
struct Process {
    open: usize,
    /// Connections known to reach it, not reset and of use.
    alive: usize,
    /// When it last showed itself on a connection known to reach it.
    shown: Duration,
}

/// All dispatches sent and not closed; it holds one entry for each, and one for each engine that has any.
#[derive(Debug)]
pub struct Ledger {
    bounds: Bounds,
    next: u64,
    open: HashMap<DispatchId, Entry>,
    processes: HashMap<EngineId, Process>,
}

impl Ledger {
    pub fn new(bounds: Bounds) -> Self {
        Ledger { bounds, next: 0, open: HashMap::new(), processes: HashMap::new() }
    }

    /// A dispatch that is about to be sent; it is in the ledger until it is closed.
    pub fn open(&mut self, now: Duration, engine: EngineId) -> DispatchId {
        let id = DispatchId(self.next);
        self.next += 1;
        let entry = Entry {
            engine,
            asked: false,
            unheard_from: now,
            known: None,
            reset: None,
            refused: None,
            missed: None,
            over: None,
        };
        self.open.insert(id, entry);
        self.processes.entry(engine).or_default().open += 1;
        id
    }

    /// Takes in a fact. Nothing undoes a proof.
    pub fn tell(&mut self, now: Duration, id: DispatchId, fact: Fact) {
        let Some(entry) = self.open.get_mut(&id).filter(|e| e.over.is_none()) else { return };
        let process = self.processes.entry(entry.engine).or_default();
        match fact {
            Fact::Asked => {
                (entry.asked, entry.unheard_from) = (true, entry.unheard_from.max(now + self.bounds.news));
            }
            Fact::Runs(on) => {
                entry.unheard_from = entry.unheard_from.max(now);
                process.alive += usize::from(entry.known.is_none());
                // It has shown itself: what was reset before was not its end.
                (entry.known, entry.reset) = (Some(on), None);
                process.shown = now;
            }
            Fact::Ended => entry.over = Some(Proof::Ended),
            Fact::NeverCame => entry.over = Some(Proof::NeverCame),
            Fact::Failed(on, listed) if entry.reaches(on, listed) => entry.over = Some(Proof::Ended),
            Fact::Failed(..) => {}
            Fact::GivenUp(on, listed) if entry.reaches(on, listed) => entry.over = Some(Proof::GivenUp),
            Fact::GivenUp(..) | Fact::Missed => entry.missed = Some(now),
            Fact::Reset(on) if entry.known == Some(on) => {
                entry.lets_go(process);
                entry.reset = Some(now);
            }
            Fact::Useless(on) if entry.known == Some(on) => entry.lets_go(process),
            Fact::Reset(_) | Fact::Useless(_) => {}
            Fact::Refused => drop(entry.refused.get_or_insert(now)),
        }
        if entry.over.is_some() {
            entry.lets_go(process);
        }
    }

    /// What can be done about a dispatch that nobody waits for any more. One that the ledger does not have is over.
    pub fn next(&mut self, now: Duration, id: DispatchId, listed: Listed) -> Next {
        let Some(until) = self.may_run_until(id) else {
            return Next::Over(self.open.get(&id).and_then(|e| e.over).unwrap_or(Proof::Ended));
        };
        let Some(entry) = self.open.get_mut(&id) else { return Next::Over(Proof::Ended) };
        let process = self.processes.entry(entry.engine).or_default();
        let proof = match (entry.asked, now >= until) {
            (false, _) => Some(Proof::NeverCame),
            (true, true) => Some(Proof::Unasked),
            (true, false) => entry.died(process, listed).then_some(Proof::Died),
        };
        if let Some(proof) = proof {
            entry.over = Some(proof);
            entry.lets_go(process);
            return Next::Over(proof);
        }
        let pause = self.bounds.pause;
        let rests = entry.missed.map(|at| (at + pause).saturating_sub(now)).filter(|d| !d.is_zero());
        match (entry.known, entry.refused, rests) {
            // Who listens there now proves nothing; that connections of others are reset may.
            (None, Some(_), _) => Next::Wait(pause.min(until - now)),
            (_, _, Some(rests)) => Next::Wait(rests.min(until - now)),
            (_, _, None) => Next::GiveUp(until - now),
        }
    }

    /// The latest moment at which a dispatch may still run; none once that it does not is proved.
    pub fn may_run_until(&self, id: DispatchId) -> Option<Duration> {
        let entry = self.open.get(&id).filter(|e| e.over.is_none())?;
        Some(entry.unheard_from + self.bounds.unasked)
    }

    /// Takes a dispatch out of the ledger: its outcome has been told.
    pub fn close(&mut self, id: DispatchId) {
        let Some(mut entry) = self.open.remove(&id) else { return };
        let Some(process) = self.processes.get_mut(&entry.engine) else { return };
        entry.lets_go(process);
        process.open -= 1;
        if process.open == 0 {
            self.processes.remove(&entry.engine);
        }
    }

    /// Dispatches in the ledger.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

impl Entry {
    /// Whether who answers on this connection is the process that the dispatch was sent to. A listener that has
    /// refused does not come back in the same process, and an address may change hands.
    fn reaches(&self, on: Connection, listed: Listed) -> bool {
        let by_list = matches!(listed, Listed::Ready | Listed::Draining) && self.refused.is_none();
        self.known == Some(on) || by_list
    }

    /// Whether its process has ended: its connections are reset and nobody listens. An engine that drains does not
    /// listen either, and the network resets connections too, so there nothing but the bound is left.
    fn died(&self, process: &Process, listed: Listed) -> bool {
        let (Some(reset), Some(refused)) = (self.reset, self.refused) else { return false };
        // Nobody refuses at an address that is another's: that one has ended as well, or has not begun.
        let listens = matches!(listed, Listed::Ready | Listed::Gone);
        listens && process.alive == 0 && process.shown < reset && refused >= reset
    }

    fn lets_go(&mut self, process: &mut Process) {
        if self.known.take().is_some() {
            process.alive -= 1;
        }
    }
}

#[cfg(test)]
mod tests;
