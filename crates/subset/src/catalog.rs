//! Holds the whole list of engines once, for all subsets that choose from it.

use crate::engine::{Change, EngineFacts, EngineKey, ListedEngine, ListedState};
use crate::holders::{HoldersCache, HoldersParameters, HoldersTable};
use crate::ready::ReadyEngines;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// Which engines an update of the list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// All engines: those that it does not name leave the catalog.
    FullList,
    /// Only those that have changed.
    ChangedEngines,
}

/// An engine of the catalog.
#[derive(Clone, Debug)]
struct Entry {
    id: Box<str>,
    facts: EngineFacts,
}

/// The whole list of engines by their ids. To apply a change of one engine costs O(log n).
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    by_id: HashMap<Box<str>, EngineKey>,
    entries: BTreeMap<EngineKey, Entry>,
    next_key: u64,
    ready: ReadyEngines,
    /// Changes since the start.
    change_count: u64,
    holders: HoldersCache,
}

impl Catalog {
    /// Applies an update of the list, and returns what that changed. Removed engines, and those that a full list does not
    /// name, leave the catalog.
    pub fn apply(&mut self, engines: &[ListedEngine], scope: UpdateScope) -> Vec<Change> {
        let mut changes = match scope {
            UpdateScope::FullList => self.remove_unnamed(engines),
            UpdateScope::ChangedEngines => Vec::new(),
        };
        changes.extend(
            engines
                .iter()
                .filter_map(|listed| self.apply_engine(listed)),
        );
        changes
    }

    /// Removes the engines that a full list does not name.
    fn remove_unnamed(&mut self, engines: &[ListedEngine]) -> Vec<Change> {
        let named: HashSet<&str> = engines
            .iter()
            .map(|listed| listed.engine_id.as_str())
            .collect();
        let unnamed =
            |(key, entry): (&EngineKey, &Entry)| (!named.contains(&*entry.id)).then_some(*key);
        let unnamed: Vec<EngineKey> = self.entries.iter().filter_map(unnamed).collect();
        unnamed
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

    /// Brings the counts up to date with a change.
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

    /// The number of engines, draining ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The key of the engine with this id.
    pub fn key(&self, id: &str) -> Option<EngineKey> {
        self.by_id.get(id).copied()
    }

    /// The id of an engine.
    pub fn id(&self, engine: EngineKey) -> Option<&str> {
        self.entries.get(&engine).map(|entry| &*entry.id)
    }

    /// What is known of an engine.
    pub fn facts(&self, engine: EngineKey) -> Option<EngineFacts> {
        self.entries.get(&engine).map(|entry| entry.facts)
    }

    /// All engines, by key.
    pub fn engines(&self) -> impl Iterator<Item = (EngineKey, &str, EngineFacts)> {
        self.entries
            .iter()
            .map(|(key, entry)| (*key, &*entry.id, entry.facts))
    }

    /// The number of engines that take new work.
    pub fn ready_count(&self) -> usize {
        self.ready.count()
    }

    pub(crate) fn ready(&self) -> &ReadyEngines {
        &self.ready
    }

    /// How many gateways hold each engine with these parameters. Subsets with the same parameters share one table, which is worked
    /// out again when a small fraction of the list has changed.
    pub(crate) fn holders(&self, parameters: &HoldersParameters) -> Arc<HoldersTable> {
        self.holders
            .table(parameters, &self.ready, self.change_count)
    }
}

/// The facts of an engine that takes new work.
fn ready(facts: Option<EngineFacts>) -> Option<EngineFacts> {
    facts.filter(|facts| facts.state == ListedState::Ready)
}
