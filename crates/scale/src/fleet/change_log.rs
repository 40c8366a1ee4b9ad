//! The change log: numbered entries, and the endpoint list after each.

use super::time::SimTime;
use garnetwall_subset::{Catalog, Change, EngineFacts, EngineKey, ListedEngine, UpdateScope};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// One engine's entry in the endpoint list, as published.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdate {
    pub engine: usize,
    pub facts: EngineFacts,
    pub started: Option<SimTime>,
}

/// The list after an entry; shared by all gateways that have read up to it.
#[derive(Clone, Default)]
pub struct ListState {
    pub catalog: Catalog,
    /// Published start of each engine's process, by the engine's number.
    pub started: Vec<Option<SimTime>>,
    engine_of_key: HashMap<EngineKey, usize>,
}

impl ListState {
    /// The number of an engine that this list knows or knew.
    pub fn engine(&self, key: EngineKey) -> Option<usize> {
        self.engine_of_key.get(&key).copied()
    }

    /// The whole list, as changes to a list that was empty.
    pub fn as_changes(&self) -> Vec<Change> {
        let change = |(engine, _, facts): (EngineKey, &str, EngineFacts)| Change {
            engine,
            before: None,
            after: Some(facts),
        };
        self.catalog.engines().map(change).collect()
    }

    fn apply(&mut self, updates: &[EndpointUpdate]) -> (Vec<Change>, Vec<EngineKey>) {
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
        (changes, restarted)
    }
}

/// The id of an engine in the endpoint list.
pub fn engine_id(engine: usize) -> String {
    format!("engine-{engine:05}")
}

/// One entry of the log.
#[derive(Clone)]
pub struct Entry {
    pub changes: Vec<Change>,
    /// Engines that were in the list and whose process was started again.
    pub restarted: Vec<EngineKey>,
    pub list: Rc<ListState>,
    /// The version of the configuration from here on.
    pub configuration: u64,
}

/// All entries so far; entry 0 is the list at the start.
pub struct ChangeLog {
    entries: Vec<Entry>,
    /// Updates for the next entry, by engine.
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
            configuration: 0,
        };
        ChangeLog {
            entries: vec![first],
            pending: BTreeMap::new(),
        }
    }

    pub fn latest(&self) -> usize {
        self.entries.len() - 1
    }

    pub fn entry(&self, sequence: usize) -> &Entry {
        &self.entries[sequence]
    }

    /// Adds an update to the next entry; returns whether it is the first one there.
    pub fn stage(&mut self, update: EndpointUpdate) -> bool {
        let first = self.pending.is_empty();
        self.pending.insert(update.engine, update);
        first
    }

    /// Writes the staged updates as an entry, and returns them.
    pub fn publish_updates(&mut self) -> Vec<EndpointUpdate> {
        let updates: Vec<EndpointUpdate> =
            std::mem::take(&mut self.pending).into_values().collect();
        let before = &self.entries[self.latest()];
        let (mut list, configuration) = (ListState::clone(&before.list), before.configuration);
        let (changes, restarted) = list.apply(&updates);
        self.entries.push(Entry {
            changes,
            restarted,
            list: Rc::new(list),
            configuration,
        });
        updates
    }

    /// Writes an entry with a new version of the configuration, and no updates.
    pub fn publish_configuration(&mut self) {
        let before = &self.entries[self.latest()];
        let entry = Entry {
            changes: Vec::new(),
            restarted: Vec::new(),
            list: Rc::clone(&before.list),
            configuration: before.configuration + 1,
        };
        self.entries.push(entry);
    }
}
