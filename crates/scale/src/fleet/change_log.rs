//! The simulated change log: numbered entries, each with the endpoint list that results from it.

use super::time::SimTime;
use garnetwall_subset::{Catalog, Change, EngineFacts, EngineKey, ListedEngine, UpdateScope};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// A published update of one engine in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdate {
    pub engine: usize,
    pub facts: EngineFacts,
    /// Published start of the engine's process, if known.
    pub started: Option<SimTime>,
}

/// The endpoint list as of an entry, shared by all gateways that have read up to that entry.
#[derive(Clone, Default)]
pub struct ListState {
    pub catalog: Catalog,
    /// Published start of each engine's process, indexed by the engine's number.
    pub started: Vec<Option<SimTime>>,
    engine_of_key: HashMap<EngineKey, usize>,
}

impl ListState {
    /// Returns the number of an engine that is or was in the list.
    pub fn engine(&self, key: EngineKey) -> Option<usize> {
        self.engine_of_key.get(&key).copied()
    }

    /// Returns the whole list as changes to an empty list.
    pub fn as_changes(&self) -> Vec<Change> {
        let change = |(engine, _, facts): (EngineKey, &str, EngineFacts)| Change {
            engine,
            before: None,
            after: Some(facts),
        };
        self.catalog.engines().map(change).collect()
    }

    fn apply(&mut self, updates: &[EndpointUpdate]) -> ListChange {
        let mut restarted = Vec::new();
        for update in updates {
            let known = self.started.len().max(update.engine + 1);
            self.started.resize(known, None);
            if self.started[update.engine] != update.started {
                restarted.extend(self.catalog.key(&engine_id(update.engine)));
            }
            self.started[update.engine] = update.started;
        }
        let listed_engine = |update: &EndpointUpdate| ListedEngine {
            engine_id: engine_id(update.engine),
            facts: update.facts,
        };
        let listed_engines: Vec<ListedEngine> = updates.iter().map(listed_engine).collect();
        let changes = self
            .catalog
            .apply(&listed_engines, UpdateScope::ChangedEngines);
        for update in updates {
            if let Some(key) = self.catalog.key(&engine_id(update.engine)) {
                self.engine_of_key.insert(key, update.engine);
            }
        }
        ListChange { changes, restarted }
    }
}

/// The effect of a set of updates on the list.
struct ListChange {
    changes: Vec<Change>,
    /// Engines already in the list whose published start changed.
    restarted: Vec<EngineKey>,
}

/// Returns the id of an engine in the endpoint list.
pub fn engine_id(engine: usize) -> String {
    format!("engine-{engine:05}")
}

/// An entry of the change log.
#[derive(Clone)]
pub struct Entry {
    pub changes: Vec<Change>,
    /// Engines already in the list whose published start changed.
    pub restarted: Vec<EngineKey>,
    pub list: Rc<ListState>,
    /// Version of the configuration as of this entry.
    pub configuration_version: u64,
}

/// The entries published so far. Entry 0 holds the initial endpoint list.
pub struct ChangeLog {
    entries: Vec<Entry>,
    /// The latest update of each engine for the next entry.
    pending: BTreeMap<usize, EndpointUpdate>,
}

impl ChangeLog {
    pub fn new(updates: &[EndpointUpdate]) -> ChangeLog {
        let mut list = ListState::default();
        list.apply(updates);
        let first = Entry {
            changes: Vec::new(),
            restarted: Vec::new(),
            list: Rc::new(list),
            configuration_version: 0,
        };
        ChangeLog {
            entries: vec![first],
            pending: BTreeMap::new(),
        }
    }

    /// Returns the number of the latest entry.
    pub fn latest(&self) -> usize {
        self.entries.len() - 1
    }

    pub fn entry(&self, sequence: usize) -> &Entry {
        &self.entries[sequence]
    }

    /// Adds an update to the next entry, replacing an earlier one of the same engine. Returns whether it is the entry's
    /// first update.
    pub fn stage(&mut self, update: EndpointUpdate) -> bool {
        let first = self.pending.is_empty();
        self.pending.insert(update.engine, update);
        first
    }

    /// Publishes the staged updates as an entry, and returns them in the order of the engine numbers.
    pub fn publish_updates(&mut self) -> Vec<EndpointUpdate> {
        let updates: Vec<EndpointUpdate> =
            std::mem::take(&mut self.pending).into_values().collect();
        let before = &self.entries[self.latest()];
        let (mut list, configuration_version) =
            (ListState::clone(&before.list), before.configuration_version);
        let ListChange { changes, restarted } = list.apply(&updates);
        self.entries.push(Entry {
            changes,
            restarted,
            list: Rc::new(list),
            configuration_version,
        });
        updates
    }

    /// Publishes an entry with a new configuration version and no endpoint updates.
    pub fn publish_configuration(&mut self) {
        let before = &self.entries[self.latest()];
        let entry = Entry {
            changes: Vec::new(),
            restarted: Vec::new(),
            list: Rc::clone(&before.list),
            configuration_version: before.configuration_version + 1,
        };
        self.entries.push(entry);
    }
}
