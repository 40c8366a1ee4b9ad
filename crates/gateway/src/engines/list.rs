//! The list of engines, under the indices that the module knows them by.

use super::Target;
use crate::changes::EngineLine;
use garnetwall::api::{Condition, EngineId, Listed};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A line of the list under the module's index, with what only a plan asks for.
#[derive(Clone, Debug)]
pub struct Told {
    pub listed: Listed,
    pub id: String,
    pub address: SocketAddr,
}

pub(super) fn lock(list: &Mutex<List>) -> MutexGuard<'_, List> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(super) struct List {
    pub(super) ids: HashMap<String, EngineId>,
    /// By the module's index.
    pub(super) known: Vec<Known>,
    /// An index is another engine's once its own has been gone for this long: no batch knows of it then.
    pub(super) kept: Duration,
}

pub(super) struct Known {
    pub(super) line: EngineLine,
    pub(super) gone: Option<Instant>,
    /// Its last call came to nothing.
    pub(super) out_of_reach: bool,
}

impl List {
    /// Whether its engine is listed as one that takes new dispatches, at this address.
    pub(super) fn takes(&self, target: Target) -> bool {
        let line = self.known.get(target.engine).map(|known| &known.line);
        line.is_some_and(|l| l.condition == Condition::Ready && l.address == target.address)
    }

    /// Takes in a line; one of an engine that was never known and has gone says nothing.
    pub(super) fn take(&mut self, line: &EngineLine, now: Instant) -> Option<Told> {
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
        Some(Told { listed, id: line.id.clone(), address: line.address })
    }

    /// An index for a new engine: that of one long gone, or the next.
    pub(super) fn index(&mut self, line: &EngineLine, now: Instant) -> EngineId {
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
    pub(super) fn goes(&mut self, now: Instant) {
        self.line.condition = Condition::Gone;
        self.gone.get_or_insert(now);
    }
}
