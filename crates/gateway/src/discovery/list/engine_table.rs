//! The engines that are known, by the index that the decision module has for each.
//!
//! An engine keeps its index while any query may know it, which is for the retention time after its removal. Then a new
//! engine gets the index, so that the table does not grow with every engine that ever was.

use super::EngineUpdate;
use crate::discovery::engine_health::{Reachability, ReachabilityChange};
use crate::discovery::event::EngineEntry;
use crate::discovery::selection::SelectedEngine;
use crate::discovery::start_times::StartTimeConverter;
use garnetwall::api::{Endpoint, EndpointState, EngineId, ListScope};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// All engines that any query may know.
pub(super) struct EngineTable {
    indices: HashMap<String, EngineId>,
    /// By the module's index.
    engines: Vec<KnownEngine>,
    counts: StateCounts,
    /// Changes of the list that were applied.
    change_count: u64,
    start_times: StartTimeConverter,
    /// How long a removed engine keeps its index.
    retention: Duration,
    /// Removed engines that keep their index, by the time of their removal.
    removed: BTreeSet<Removal>,
    /// Indices whose engines were removed longer ago than the retention time.
    free_indices: BTreeSet<EngineId>,
}

/// The removal of an engine; ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Removal {
    removed_at: Instant,
    engine: EngineId,
}

/// An engine that any query may know.
struct KnownEngine {
    entry: EngineEntry,
    /// When it started, in seconds of this process's clock.
    started_at: Option<f64>,
    removed_at: Option<Instant>,
    /// Whether its last attempt could reach it.
    reachability: Reachability,
    /// The number of the last change that named it.
    last_change: u64,
}

/// Engines of the list by their states.
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
    /// An empty table. `retention` is how long queries may know an engine after its removal.
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

    /// Records whether an engine could be reached.
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

    /// Records the start times of entries that are received at `now`, in seconds of this process's clock.
    pub(super) fn record_starts(&mut self, now: f64, entries: &[EngineEntry]) {
        let starts = entries.iter().filter_map(|entry| entry.started_at_unix);
        self.start_times.record(now, starts);
    }

    /// Applies entries of the subset.
    pub(super) fn apply_selected(&mut self, selected: Vec<SelectedEngine>) -> Vec<EngineUpdate> {
        let now = Instant::now();
        selected
            .into_iter()
            .filter_map(|selected| self.update(selected.entry, Some(selected.holders), now))
            .collect()
    }

    /// Applies entries of the log. Engines that a full list does not name are removed; the update for those is that the
    /// list is full.
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

    /// Removes the engines that the current change has not named.
    fn remove_unlisted(&mut self, now: Instant) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].last_change != self.change_count {
                self.set_state(engine, EndpointState::Removed, now);
            }
        }
    }

    /// Applies an entry; the removal of an engine that is not known changes nothing. `holders` is about how many
    /// gateways work with the engine, where the subset knows.
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

    /// When an engine started, by this entry. A start that was converted before keeps its time.
    fn start_time(&self, engine: EngineId, entry: &EngineEntry) -> Option<f64> {
        let known = self.engines.get(engine);
        known
            .filter(|known| known.entry.started_at_unix == entry.started_at_unix)
            .and_then(|known| known.started_at)
            .or_else(|| Some(self.start_times.latest_start(entry.started_at_unix?)))
    }

    /// Adds an engine as a removed one, under the lowest free index.
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

    /// Frees the indices of engines that were removed longer ago than the retention time.
    fn free_expired_indices(&mut self, now: Instant) {
        while let Some(Removal { removed_at, engine }) = self.removed.first().copied() {
            if now - removed_at <= self.retention {
                return;
            }
            self.removed.pop_first();
            self.free_indices.insert(engine);
        }
    }

    /// Sets an engine's state; a removed one that is removed again keeps the time of its removal.
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
