//! Stores the whole list of engines, shared by all subsets that choose from it.

use crate::engine::{Change, EngineFacts, EngineKey, ListedEngine, ListedState};
use crate::holders::{HoldersCache, HoldersParameters, HoldersTable};
use crate::ready::ReadyEngines;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The engines that an update of the list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// All engines. Engines that the update does not contain are removed from the catalog.
    FullList,
    /// Only engines that have changed.
    ChangedEngines,
}

/// The id and facts of an engine in the catalog.
#[derive(Clone, Debug)]
struct Entry {
    id: Box<str>,
    facts: EngineFacts,
}

/// The whole list of engines. Applying a change of one engine takes O(log n) time.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    by_id: HashMap<Box<str>, EngineKey>,
    entries: BTreeMap<EngineKey, Entry>,
    next_key: u64,
    ready: ReadyEngines,
    /// Number of changes since the catalog was created.
    change_count: u64,
    holders: HoldersCache,
}

impl Catalog {
    /// Applies an update of the list and returns the changes. Removes engines in the state [`ListedState::Removed`],
    /// and those that a full list does not contain.
    pub fn apply(&mut self, engines: &[ListedEngine], scope: UpdateScope) -> Vec<Change> {
        let mut changes = match scope {
            UpdateScope::FullList => self.remove_unlisted(engines),
            UpdateScope::ChangedEngines => Vec::new(),
        };
        changes.extend(
            engines
                .iter()
                .filter_map(|listed| self.apply_engine(listed)),
        );
        changes
    }

    /// Removes the engines that a full list does not contain.
    fn remove_unlisted(&mut self, engines: &[ListedEngine]) -> Vec<Change> {
        let named: HashSet<&str> = engines
            .iter()
            .map(|listed| listed.engine_id.as_str())
            .collect();
        let unlisted =
            |(key, entry): (&EngineKey, &Entry)| (!named.contains(&*entry.id)).then_some(*key);
        let unlisted: Vec<EngineKey> = self.entries.iter().filter_map(unlisted).collect();
        unlisted
            .into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    fn apply_engine(&mut self, listed: &ListedEngine) -> Option<Change> {
        let known = self.by_id.get(listed.engine_id.as_str()).copied();
        if listed.facts.state == ListedState::Removed {
            return known.and_then(|key| self.remove(key));
        }
        let engine = known.unwrap_or_else(|| self.assign_key(&listed.engine_id));
        let entry = Entry {
            id: listed.engine_id.as_str().into(),
            facts: listed.facts,
        };
        let before = self.entries.insert(engine, entry).map(|entry| entry.facts);
        let after = Some(listed.facts);
        (before != after).then(|| {
            self.record(Change {
                engine,
                before,
                after,
            })
        })
    }

    /// Updates the index of ready engines and the change count. Returns the change unaltered.
    fn record(&mut self, change: Change) -> Change {
        if let Some(before) = ready(change.before) {
            self.ready.remove(change.engine, &before);
        }
        if let Some(after) = ready(change.after) {
            self.ready.insert(change.engine, &after);
        }
        self.change_count += 1;
        change
    }

    fn assign_key(&mut self, id: &str) -> EngineKey {
        let key = EngineKey(self.next_key);
        self.next_key += 1;
        self.by_id.insert(id.into(), key);
        key
    }

    fn remove(&mut self, engine: EngineKey) -> Option<Change> {
        let entry = self.entries.remove(&engine)?;
        self.by_id.remove(&entry.id);
        Some(self.record(Change {
            engine,
            before: Some(entry.facts),
            after: None,
        }))
    }

    /// Returns the number of engines, including draining ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the catalog has no engines.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the key of the engine with this id, or `None` if the list does not contain it.
    pub fn key(&self, id: &str) -> Option<EngineKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the id of an engine, or `None` if the engine was removed.
    pub fn id(&self, engine: EngineKey) -> Option<&str> {
        self.entries.get(&engine).map(|entry| &*entry.id)
    }

    /// Returns the facts of an engine, or `None` if the engine was removed.
    pub fn facts(&self, engine: EngineKey) -> Option<EngineFacts> {
        self.entries.get(&engine).map(|entry| entry.facts)
    }

    /// Iterates over the key, id and facts of all engines, in ascending order of keys.
    pub fn engines(&self) -> impl Iterator<Item = (EngineKey, &str, EngineFacts)> {
        self.entries
            .iter()
            .map(|(key, entry)| (*key, &*entry.id, entry.facts))
    }

    /// Returns the number of ready engines.
    pub fn ready_count(&self) -> usize {
        self.ready.count()
    }

    pub(crate) fn ready(&self) -> &ReadyEngines {
        &self.ready
    }

    /// Returns the estimated number of gateways that hold each engine, for these parameters. Subsets with the same
    /// parameters share one table, which is computed again after a small fraction of the list has changed.
    pub(crate) fn holders(&self, parameters: &HoldersParameters) -> Arc<HoldersTable> {
        self.holders
            .table(parameters, &self.ready, self.change_count)
    }
}

/// Returns the facts if the engine is ready.
fn ready(facts: Option<EngineFacts>) -> Option<EngineFacts> {
    facts.filter(|facts| facts.state == ListedState::Ready)
}
