//! The whole list of engines, kept once and shared by all that choose from it.

use crate::holders::{HoldersCache, HoldersTable, HoldersTerms};
use crate::ready::ReadyEngines;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// Names one engine of a catalog. Keys are never used again for another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u64);

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Ready,
    Draining,
    Removed,
}

/// What the list tells of an engine, as far as the choice of subsets depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFacts {
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    /// More than 0. They tell how gateways are spread over zones, and make engines alike or not.
    pub cores: f64,
    pub state: ListedState,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    pub id: String,
    pub facts: EngineFacts,
}

/// What an application of lines changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub engine: EngineKey,
    /// None for an engine that was not in the catalog.
    pub before: Option<EngineFacts>,
    /// None for an engine that is not in the catalog any more.
    pub after: Option<EngineFacts>,
}

/// An engine of the catalog.
#[derive(Clone, Debug)]
struct Entry {
    id: Box<str>,
    facts: EngineFacts,
}

/// The whole list of engines by their ids. A line costs O(log n).
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    by_id: HashMap<Box<str>, EngineKey>,
    entries: BTreeMap<EngineKey, Entry>,
    next_key: u64,
    ready: ReadyEngines,
    /// Lines that changed something, since the start.
    changed_lines: u64,
    holders: HoldersCache,
}

impl Catalog {
    /// Takes in lines, the whole list or only what has changed, and tells what that changed. Engines that have gone,
    /// or that a whole list does not name, leave the catalog.
    pub fn apply(&mut self, lines: &[ListedEngine], whole: bool) -> Vec<Change> {
        let mut changes = Vec::new();
        if whole {
            let named: HashSet<&str> = lines.iter().map(|line| line.id.as_str()).collect();
            let unnamed =
                |(key, entry): (&EngineKey, &Entry)| (!named.contains(&*entry.id)).then_some(*key);
            let unnamed: Vec<EngineKey> = self.entries.iter().filter_map(unnamed).collect();
            changes.extend(unnamed.into_iter().filter_map(|key| self.remove(key)));
        }
        changes.extend(lines.iter().filter_map(|line| self.apply_line(line)));
        changes
    }

    fn apply_line(&mut self, line: &ListedEngine) -> Option<Change> {
        let known = self.by_id.get(line.id.as_str()).copied();
        if line.facts.state == ListedState::Removed {
            return known.and_then(|key| self.remove(key));
        }
        let engine = known.unwrap_or_else(|| self.assign_key(&line.id));
        let entry = Entry {
            id: line.id.as_str().into(),
            facts: line.facts,
        };
        let before = self.entries.insert(engine, entry).map(|entry| entry.facts);
        let after = Some(line.facts);
        (before != after).then(|| {
            self.note(Change {
                engine,
                before,
                after,
            })
        })
    }

    /// Brings the counts up to date with a change.
    fn note(&mut self, change: Change) -> Change {
        if let Some(before) = ready(change.before) {
            self.ready.remove(change.engine, &before);
        }
        if let Some(after) = ready(change.after) {
            self.ready.insert(change.engine, &after);
        }
        self.changed_lines += 1;
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
        Some(self.note(Change {
            engine,
            before: Some(entry.facts),
            after: None,
        }))
    }

    /// The engines in it, those that drain included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn key(&self, id: &str) -> Option<EngineKey> {
        self.by_id.get(id).copied()
    }

    pub fn id(&self, engine: EngineKey) -> Option<&str> {
        self.entries.get(&engine).map(|entry| &*entry.id)
    }

    pub fn facts(&self, engine: EngineKey) -> Option<EngineFacts> {
        self.entries.get(&engine).map(|entry| entry.facts)
    }

    /// All engines, by key.
    pub fn engines(&self) -> impl Iterator<Item = (EngineKey, &str, EngineFacts)> {
        self.entries
            .iter()
            .map(|(key, entry)| (*key, &*entry.id, entry.facts))
    }

    /// Engines that take new work.
    pub fn ready_count(&self) -> usize {
        self.ready.count()
    }

    pub(crate) fn ready(&self) -> &ReadyEngines {
        &self.ready
    }

    /// How many gateways hold each engine on these terms. Subsets on the same terms share one table, which is worked
    /// out anew when the list has changed by more than a small part.
    pub(crate) fn holders(&self, terms: &HoldersTerms) -> Arc<HoldersTable> {
        self.holders.table(terms, &self.ready, self.changed_lines)
    }
}

/// The facts of an engine that takes new work.
fn ready(facts: Option<EngineFacts>) -> Option<EngineFacts> {
    facts.filter(|facts| facts.state == ListedState::Ready)
}
