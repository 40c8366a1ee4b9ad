//! The table of known engines, by the decision module's indices.
//!
//! An engine keeps its index as long as any query may refer to it, which ends when the retention time has passed after
//! its removal. Then a new engine may reuse the index, so that the table does not grow with each engine that ever
//! existed.

use super::EngineUpdate;
use crate::discovery::engine_health::{Reachability, ReachabilityChange};
use crate::discovery::event::EngineEntry;
use crate::discovery::selection::SelectedEngine;
use crate::discovery::start_times::StartTimeConverter;
use garnetwall::api::{Endpoint, EndpointState, EngineId, ListScope};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The listed engines, and the removed ones whose index has not been reused yet.
pub(super) struct EngineTable {
    /// Indices by engine name.
    indices: HashMap<String, EngineId>,
    /// Engines by the decision module's index.
    engines: Vec<KnownEngine>,
    counts: StateCounts,
    /// The number of changes applied by [`EngineTable::apply`].
    change_count: u64,
    start_times: StartTimeConverter,
    /// The time for which a removed engine keeps its index.
    retention: Duration,
    /// Removed engines that still keep their index, oldest removal first.
    removed: BTreeSet<Removal>,
    /// Indices that may be reused: their engines were removed longer ago than the retention time.
    free_indices: BTreeSet<EngineId>,
}

/// The removal of an engine. Ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Removal {
    removed_at: Instant,
    engine: EngineId,
}

/// The latest state of an engine in the table.
struct KnownEngine {
    entry: EngineEntry,
    /// When the engine started, in seconds of the process clock; `None` if the log does not know.
    started_at: Option<f64>,
    removed_at: Option<Instant>,
    /// Whether the engine could be reached when this was last recorded.
    reachability: Reachability,
    /// The value of `change_count` when the engine last had an entry.
    last_change: u64,
}

/// The number of listed engines in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StateCounts {
    pub(super) ready: usize,
    pub(super) draining: usize,
}

impl StateCounts {
    fn add(&mut self, state: EndpointState) {
        match state {
            EndpointState::Ready => self.ready += 1,
            EndpointState::Draining => self.draining += 1,
            EndpointState::Removed => {}
        }
    }

    fn remove(&mut self, state: EndpointState) {
        match state {
            EndpointState::Ready => self.ready -= 1,
            EndpointState::Draining => self.draining -= 1,
            EndpointState::Removed => {}
        }
    }
}

impl EngineTable {
    /// Creates an empty table. `retention` is the longest time for which queries may refer to an engine after its
    /// removal.
    pub(super) fn new(retention: Duration) -> Self {
        EngineTable {
            indices: HashMap::new(),
            engines: Vec::new(),
            counts: StateCounts::default(),
            change_count: 0,
            start_times: StartTimeConverter::new(),
            retention,
            removed: BTreeSet::new(),
            free_indices: BTreeSet::new(),
        }
    }

    pub(super) fn counts(&self) -> StateCounts {
        self.counts
    }

    pub(super) fn name(&self, engine: EngineId) -> Option<&str> {
        Some(&self.engines.get(engine)?.entry.name)
    }

    pub(super) fn address(&self, engine: EngineId) -> Option<SocketAddr> {
        Some(self.engines.get(engine)?.entry.address)
    }

    pub(super) fn state(&self, engine: EngineId) -> Option<EndpointState> {
        Some(self.engines.get(engine)?.entry.state)
    }

    /// Records whether an engine could be reached. An unknown index is ignored.
    pub(super) fn record_reachability(
        &mut self,
        engine: EngineId,
        reachability: Reachability,
    ) -> ReachabilityChange {
        let Some(known) = self.engines.get_mut(engine) else {
            return ReachabilityChange::Unchanged;
        };
        let before = std::mem::replace(&mut known.reachability, reachability);
        if before == reachability {
            ReachabilityChange::Unchanged
        } else {
            ReachabilityChange::Changed
        }
    }

    /// Records the start times in entries that are received at `now`, in seconds of the process clock.
    pub(super) fn record_starts(&mut self, now: f64, entries: &[EngineEntry]) {
        let starts = entries.iter().filter_map(|entry| entry.started_at_unix);
        self.start_times.record(now, starts);
    }

    /// Applies changed entries of the engine subset and returns the updates.
    pub(super) fn apply_selected(&mut self, selected: Vec<SelectedEngine>) -> Vec<EngineUpdate> {
        let now = Instant::now();
        selected
            .into_iter()
            .filter_map(|selected| self.update(selected.entry, Some(selected.holders), now))
            .collect()
    }

    /// Applies entries of the change log and returns the updates. A full list removes the engines that it does not
    /// contain. These get no update, as the decision module infers their removal from the scope of the change.
    pub(super) fn apply(
        &mut self,
        entries: Vec<EngineEntry>,
        scope: ListScope,
        now: Instant,
    ) -> Vec<EngineUpdate> {
        self.change_count += 1;
        let updates = entries
            .into_iter()
            .filter_map(|entry| self.update(entry, None, now))
            .collect();
        if scope == ListScope::Full {
            self.remove_unlisted(now);
        }
        updates
    }

    /// Removes the engines that have no entry in the current change.
    fn remove_unlisted(&mut self, now: Instant) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].last_change != self.change_count {
                self.set_state(engine, EndpointState::Removed, now);
            }
        }
    }

    /// Applies an entry. Returns `None` if it removes an unknown engine, which changes nothing. `holders` is the
    /// estimated number of gateways that have the engine in their subset; `None` without a subset.
    fn update(
        &mut self,
        entry: EngineEntry,
        holders: Option<f64>,
        now: Instant,
    ) -> Option<EngineUpdate> {
        let engine = match self.indices.get(&entry.name) {
            Some(engine) => *engine,
            None if entry.state == EndpointState::Removed => return None,
            None => self.add(&entry, now),
        };
        let started_at = self.start_time(engine, &entry);
        self.set_state(engine, entry.state, now);
        let update = EngineUpdate {
            endpoint: Endpoint {
                engine,
                zone: entry.zone,
                kind: entry.kind,
                cell: entry.cell,
                started_at,
                state: entry.state,
                gateways: holders,
            },
            name: entry.name.clone(),
            address: entry.address,
        };
        let known = self.engines.get_mut(engine)?;
        known.entry = entry;
        known.started_at = started_at;
        known.last_change = self.change_count;
        Some(update)
    }

    /// Returns when the engine started, in seconds of the process clock. A start that was converted before keeps its
    /// converted time.
    fn start_time(&self, engine: EngineId, entry: &EngineEntry) -> Option<f64> {
        let known = self.engines.get(engine);
        known
            .filter(|known| known.entry.started_at_unix == entry.started_at_unix)
            .and_then(|known| known.started_at)
            .or_else(|| Some(self.start_times.latest_start(entry.started_at_unix?)))
    }

    /// Adds an engine in the state `Removed`, under the lowest free index or a new one. [`Self::update`] then sets its
    /// state.
    fn add(&mut self, entry: &EngineEntry, now: Instant) -> EngineId {
        self.free_expired_indices(now);
        let engine = self.free_indices.pop_first().unwrap_or(self.engines.len());
        self.indices.insert(entry.name.clone(), engine);
        let new = KnownEngine {
            entry: EngineEntry {
                state: EndpointState::Removed,
                ..entry.clone()
            },
            started_at: None,
            removed_at: None,
            reachability: Reachability::Reachable,
            last_change: 0,
        };
        match self.engines.get_mut(engine) {
            Some(known) => {
                let old = std::mem::replace(known, new);
                self.indices.remove(&old.entry.name);
            }
            None => self.engines.push(new),
        }
        engine
    }

    /// Frees the indices of engines that were removed longer ago than the retention time. An engine stays in the table
    /// until its index is reused.
    fn free_expired_indices(&mut self, now: Instant) {
        while let Some(Removal { removed_at, engine }) = self.removed.first().copied() {
            if now - removed_at <= self.retention {
                return;
            }
            self.removed.pop_first();
            self.free_indices.insert(engine);
        }
    }

    /// Sets an engine's state. Removing a removed engine again does not change the time of its removal.
    fn set_state(&mut self, engine: EngineId, state: EndpointState, now: Instant) {
        let Some(known) = self.engines.get_mut(engine) else {
            return;
        };
        self.counts.remove(known.entry.state);
        self.counts.add(state);
        known.entry.state = state;
        let before = known.removed_at;
        known.removed_at = match state {
            EndpointState::Removed => before.or(Some(now)),
            EndpointState::Ready | EndpointState::Draining => None,
        };
        if before == known.removed_at {
            return;
        }
        if let Some(removed_at) = before {
            self.removed.remove(&Removal { removed_at, engine });
            self.free_indices.remove(&engine);
        }
        if let Some(removed_at) = known.removed_at {
            self.removed.insert(Removal { removed_at, engine });
        }
    }
}

#[cfg(test)]
mod tests;
