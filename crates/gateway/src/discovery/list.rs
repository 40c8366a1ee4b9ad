//! The list of engines, under the indices that the module knows them by.

use super::event::{EngineLine, Event};
use garnetwall::api::{Condition, EngineId, Listed};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Where an attempt goes; it stays there though the list changes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub engine: EngineId,
    pub address: SocketAddr,
}

/// A line of the list under the module's index, with what only a plan asks for.
#[derive(Clone, Debug)]
pub struct EngineUpdate {
    pub listed: Listed,
    pub id: String,
    pub address: SocketAddr,
}

/// The list of engines, shared by all that read it.
pub struct EngineList {
    list: Mutex<List>,
    /// Whether a list was told.
    known: watch::Sender<bool>,
}

impl EngineList {
    /// An empty list. `kept` is how long queries may know of an engine after it has gone.
    pub fn new(kept: Duration) -> Self {
        EngineList { list: Mutex::new(List::new(kept)), known: watch::Sender::new(false) }
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a change of the list and gives it under the module's indices.
    pub fn apply(&self, event: &Event) -> Vec<EngineUpdate> {
        let mut list = self.list();
        let now = Instant::now();
        if event.whole {
            list.known.iter_mut().for_each(|known| known.goes(now));
        }
        let lines = event.lines.iter().filter_map(|line| list.take(line, now)).collect();
        // An event without a list tells none.
        if event.whole || !event.lines.is_empty() {
            self.known.send_replace(true);
        }
        let count = |c: Condition| list.known.iter().filter(|k| k.line.condition == c).count();
        let (ready, draining) = (count(Condition::Ready), count(Condition::Draining));
        tracing::info!(change = event.number, ready, draining, "engine list");
        lines
    }

    /// Until a list of engines is known.
    pub async fn known(&self) {
        // It fails only with the sender gone, which this list holds.
        let _ = self.known.subscribe().wait_for(|known| *known).await;
    }

    /// Where attempts at an engine go.
    pub fn target(&self, engine: EngineId) -> Option<Target> {
        self.list().known.get(engine).map(|known| Target { engine, address: known.line.address })
    }

    /// Whether an engine is listed as one that takes new attempts, at this address.
    pub fn takes(&self, target: Target) -> bool {
        self.list().takes(target)
    }

    /// Notes whether an engine could be reached at this address; whether that was otherwise before.
    pub fn reached(&self, target: Target, reached: bool) -> bool {
        let mut list = self.list();
        let known = list.known.get_mut(target.engine).filter(|k| k.line.address == target.address);
        known.is_some_and(|known| std::mem::replace(&mut known.out_of_reach, !reached) == reached)
    }
}

struct List {
    ids: HashMap<String, EngineId>,
    /// By the module's index.
    known: Vec<Known>,
    /// An index is another engine's once its own has been gone for this long: no query knows of it then.
    kept: Duration,
}

struct Known {
    line: EngineLine,
    gone: Option<Instant>,
    /// Its last call came to nothing.
    out_of_reach: bool,
}

impl List {
    fn new(kept: Duration) -> Self {
        List { ids: HashMap::new(), known: Vec::new(), kept }
    }

    /// Whether its engine is listed as one that takes new dispatches, at this address.
    fn takes(&self, target: Target) -> bool {
        let line = self.known.get(target.engine).map(|known| &known.line);
        line.is_some_and(|l| l.condition == Condition::Ready && l.address == target.address)
    }

    /// Takes in a line; one of an engine that was never known and has gone says nothing.
    fn take(&mut self, line: &EngineLine, now: Instant) -> Option<EngineUpdate> {
        let engine = match self.ids.get(&line.id) {
            Some(engine) => *engine,
            None if line.condition == Condition::Gone => return None,
            None => self.index(line, now),
        };
        let known = self.known.get_mut(engine)?;
        let gone = (line.condition == Condition::Gone).then(|| known.gone.unwrap_or(now));
        (known.line, known.gone) = (line.clone(), gone);
        let listed = Listed {
            engine,
            zone: line.zone,
            kind: line.kind,
            cell: line.cell,
            came_up: line.came_up,
            condition: line.condition,
            holders: None,
        };
        Some(EngineUpdate { listed, id: line.id.clone(), address: line.address })
    }

    /// An index for a new engine: that of one long gone, or the next.
    fn index(&mut self, line: &EngineLine, now: Instant) -> EngineId {
        let long_gone = |k: &Known| k.gone.is_some_and(|at| now - at > self.kept);
        let engine = self.known.iter().position(long_gone).unwrap_or(self.known.len());
        let new = Known { line: line.clone(), gone: None, out_of_reach: false };
        match self.known.get_mut(engine) {
            Some(old) => drop(self.ids.remove(&std::mem::replace(old, new).line.id)),
            None => self.known.push(new),
        }
        self.ids.insert(line.id.clone(), engine);
        engine
    }
}

impl Known {
    fn goes(&mut self, now: Instant) {
        self.line.condition = Condition::Gone;
        self.gone.get_or_insert(now);
    }
}

#[cfg(test)]
mod tests;
