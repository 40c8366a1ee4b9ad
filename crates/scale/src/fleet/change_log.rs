//! The change log: numbered entries, and the list of engines as it stands after each.

use super::time::SimTime;
use garnetwall_subset::{Catalog, Change, EngineFacts, EngineKey, ListedEngine};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// What the log tells of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ToldLine {
    pub engine: usize,
    pub facts: EngineFacts,
    pub started: Option<SimTime>,
}

/// The list after an entry; shared by all gateways that have read up to it.
#[derive(Clone, Default)]
pub struct ListState {
    pub catalog: Catalog,
    /// Start of each engine's process as told, by the engine's number.
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

    fn apply(&mut self, lines: &[ToldLine]) -> (Vec<Change>, Vec<EngineKey>) {
        let mut restarted = Vec::new();
        for line in lines {
            let known = self.started.len().max(line.engine + 1);
            self.started.resize(known, None);
            if self.started[line.engine] != line.started {
                restarted.extend(self.catalog.key(&engine_id(line.engine)));
            }
            self.started[line.engine] = line.started;
        }
        let catalog_line = |line: &ToldLine| ListedEngine {
            id: engine_id(line.engine),
            facts: line.facts,
        };
        let catalog_lines: Vec<ListedEngine> = lines.iter().map(catalog_line).collect();
        let changes = self.catalog.apply(&catalog_lines, false);
        for line in lines {
            if let Some(key) = self.catalog.key(&engine_id(line.engine)) {
                self.engine_of_key.insert(key, line.engine);
            }
        }
        (changes, restarted)
    }
}

pub fn engine_id(engine: usize) -> String {
    format!("engine-{engine:05}")
}

/// One entry of the log.
#[derive(Clone)]
pub struct Entry {
    pub changes: Vec<Change>,
    /// Engines that were in the list and whose process started anew.
    pub restarted: Vec<EngineKey>,
    pub list: Rc<ListState>,
    /// The version of the configuration from here on.
    pub configuration: u64,
}

/// All entries so far; entry 0 is the list at the start.
pub struct ChangeLog {
    entries: Vec<Entry>,
    /// Lines that go out with the next entry.
    pending: BTreeMap<usize, ToldLine>,
}

impl ChangeLog {
    pub fn new(lines: &[ToldLine]) -> ChangeLog {
        let mut list = ListState::default();
        list.apply(lines);
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

    /// Puts a line into the next entry; whether that is the first one.
    pub fn stage(&mut self, line: ToldLine) -> bool {
        let first = self.pending.is_empty();
        self.pending.insert(line.engine, line);
        first
    }

    /// Writes what is staged; returns the lines of the new entry.
    pub fn publish_lines(&mut self) -> Vec<ToldLine> {
        let lines: Vec<ToldLine> = std::mem::take(&mut self.pending).into_values().collect();
        let before = &self.entries[self.latest()];
        let (mut list, configuration) = (ListState::clone(&before.list), before.configuration);
        let (changes, restarted) = list.apply(&lines);
        self.entries.push(Entry {
            changes,
            restarted,
            list: Rc::new(list),
            configuration,
        });
        lines
    }

    /// Writes an entry with a new version of the configuration, and no lines.
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
