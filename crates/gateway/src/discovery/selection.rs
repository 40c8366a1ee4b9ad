//! The engine subset: the engines that this gateway uses, chosen from the full list by `garnetwall_subset`.
//!
//! Complete entries are kept for the members only. For all other engines, the catalog's facts, the address and the
//! start time are kept, from which an entry can be assembled. Times named `now` are seconds of the process clock.

use super::engine_health::{EngineHealth, Reachability};
use super::event::EngineEntry;
use garnetwall::api::{EndpointState, ListScope};
use garnetwall_subset as subset;
use garnetwall_subset::{
    Action, Catalog, ConnectOutcome, EffectiveSize, EngineFacts, EngineKey, SizeReason, Subset,
    SubsetError, SubsetSettings,
};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

/// The number of cores assumed for an engine whose kind has no valid number in the settings.
const DEFAULT_CORES: f64 = 1.0;

/// A new or changed member of the subset, or a former member whose entry has the state `Removed`.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SelectedEngine {
    pub(super) entry: EngineEntry,
    /// The estimated number of gateways that have the engine in their subset.
    pub(super) holders: f64,
}

impl SelectedEngine {
    /// Changes the entry's state to `Removed`, as for an engine that left the subset.
    fn into_removed(mut self) -> Self {
        self.entry.state = EndpointState::Removed;
        self
    }
}

/// An engine that has to be reached by a connection before it may become a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) engine: EngineKey,
    pub(super) address: SocketAddr,
}

/// The fields of an entry that do not influence the choice of members.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Details {
    address: SocketAddr,
    /// When the engine started, in Unix seconds of the change log's clock.
    started_at_unix: Option<f64>,
}

/// The size of the subset and the reasons for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SubsetStatus {
    /// The number of engines in the full list.
    pub(super) listed: usize,
    /// The number of current members.
    pub(super) members: usize,
    /// The number of members that the subset should have while none fails.
    pub(super) size: usize,
    /// The reason for `size`.
    pub(super) reason: SizeReason,
    /// The number of members beyond `size` that the subset should have because members fail.
    pub(super) widened_by: usize,
    /// The number of members whose attempts fail.
    pub(super) failed: usize,
    /// The number of engines that could not be reached and will be tried again.
    pub(super) unreached: usize,
    /// The number of placement classes for which the list has no ready engine.
    pub(super) unserved_classes: usize,
}

/// The full engine list and this gateway's subset of it.
pub struct SubsetSelection {
    catalog: Catalog,
    details: HashMap<EngineKey, Details>,
    subset: Subset,
    /// The members, as last returned to the caller.
    members: HashMap<EngineKey, SelectedEngine>,
    /// Engines to which a connection has still to be opened, without duplicates.
    candidates: VecDeque<EngineKey>,
    /// The candidates, and the engines to which a connection is being opened.
    connecting: HashSet<EngineKey>,
    /// The number of cores by the index of the kind; `None` if the settings have none.
    kind_cores: Vec<Option<f64>>,
}

impl SubsetSelection {
    /// Creates an empty selection for the gateway of this name. `kind_cores` has the number of cores by the index of
    /// the kind, `None` if unknown.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings contradict one another or the gateway's name is empty.
    pub fn new(
        gateway: &str,
        settings: SubsetSettings,
        kind_cores: Vec<Option<f64>>,
    ) -> Result<Self, SubsetError> {
        Ok(SubsetSelection {
            catalog: Catalog::default(),
            details: HashMap::new(),
            subset: Subset::new(gateway, settings)?,
            members: HashMap::new(),
            candidates: VecDeque::new(),
            connecting: HashSet::new(),
            kind_cores,
        })
    }

    /// Applies the entries of an event and returns the members that it adds, changes or removes.
    pub(super) fn apply(
        &mut self,
        now: f64,
        entries: Vec<EngineEntry>,
        scope: ListScope,
    ) -> Vec<SelectedEngine> {
        let catalog_entries: Vec<subset::ListedEngine> = entries
            .iter()
            .map(|entry| subset::ListedEngine {
                engine_id: entry.name.clone(),
                facts: self.facts(entry),
            })
            .collect();
        let scope = match scope {
            ListScope::Full => subset::UpdateScope::FullList,
            ListScope::Delta => subset::UpdateScope::ChangedEngines,
        };
        let changes = self.catalog.apply(&catalog_entries, scope);
        for change in changes.iter().filter(|change| change.after.is_none()) {
            self.details.remove(&change.engine);
        }
        let named = self.record_details(&entries);
        self.subset.changed(now, &self.catalog, &changes);
        let mut selected = self.poll(now);
        selected.extend(
            named
                .into_iter()
                .filter_map(|engine| self.select_again(engine)),
        );
        selected
    }

    /// Records the details of the entries whose engines are in the catalog, and returns the keys of these engines.
    fn record_details(&mut self, entries: &[EngineEntry]) -> Vec<EngineKey> {
        let mut engines = Vec::with_capacity(entries.len());
        for entry in entries {
            let Some(engine) = self.catalog.key(&entry.name) else {
                continue;
            };
            let details = Details {
                address: entry.address,
                started_at_unix: entry.started_at_unix,
            };
            self.details.insert(engine, details);
            engines.push(engine);
        }
        engines
    }

    /// Returns the facts of an entry on which the choice of members depends.
    fn facts(&self, entry: &EngineEntry) -> EngineFacts {
        let cores = self.kind_cores.get(entry.kind).copied().flatten();
        let state = match entry.state {
            EndpointState::Ready => subset::ListedState::Ready,
            EndpointState::Draining => subset::ListedState::Draining,
            EndpointState::Removed => subset::ListedState::Removed,
        };
        let cores = cores
            .filter(|cores| cores.is_finite() && *cores > 0.0)
            .unwrap_or(DEFAULT_CORES);
        EngineFacts {
            zone: entry.zone,
            kind: entry.kind as u32,
            cell: entry.cell,
            cores,
            state,
        }
    }

    /// Returns a member again if its details changed, since no action of the subset reports such a change. `None` for
    /// engines that are not members.
    fn select_again(&mut self, engine: EngineKey) -> Option<SelectedEngine> {
        let holders = self.members.get(&engine)?.holders;
        self.select(engine, holders)
    }

    /// Records a member with its current entry, and returns it unless it equals the one recorded before.
    fn select(&mut self, engine: EngineKey, holders: f64) -> Option<SelectedEngine> {
        let selected = SelectedEngine {
            entry: self.entry(engine)?,
            holders,
        };
        let before = self.members.insert(engine, selected.clone());
        (before.as_ref() != Some(&selected)).then_some(selected)
    }

    /// Assembles the current entry of an engine from the catalog and the details.
    fn entry(&self, engine: EngineKey) -> Option<EngineEntry> {
        let name = self.catalog.id(engine)?;
        let facts = self.catalog.facts(engine)?;
        let details = self.details.get(&engine)?;
        let state = match facts.state {
            subset::ListedState::Ready => EndpointState::Ready,
            subset::ListedState::Draining => EndpointState::Draining,
            subset::ListedState::Removed => EndpointState::Removed,
        };
        Some(EngineEntry {
            name: name.into(),
            address: details.address,
            zone: facts.zone,
            kind: facts.kind as usize,
            cell: facts.cell,
            started_at_unix: details.started_at_unix,
            state,
        })
    }

    /// Runs the actions of the subset that are due, and returns the members that join, change or leave. A leaving
    /// member is returned with the state `Removed`.
    pub(super) fn poll(&mut self, now: f64) -> Vec<SelectedEngine> {
        let mut selected = Vec::new();
        for action in self.subset.poll(now, &self.catalog) {
            match action {
                Action::Connect(engine) => {
                    if self.connecting.insert(engine) {
                        self.candidates.push_back(engine);
                    }
                }
                Action::Join { engine, holders } => selected.extend(self.select(engine, holders)),
                Action::Update { engine, holders } if self.members.contains_key(&engine) => {
                    selected.extend(self.select(engine, holders));
                }
                Action::Update { .. } => {}
                Action::Leave(engine) => {
                    selected.extend(
                        self.members
                            .remove(&engine)
                            .map(SelectedEngine::into_removed),
                    );
                }
            }
        }
        selected
    }

    /// The time of the next [`poll`](Self::poll) unless something changes first, in seconds of the process clock.
    pub(super) fn next_poll_at(&self) -> Option<f64> {
        self.subset.wake()
    }

    /// Takes the next engine to which a connection is to be opened. A candidate that is no longer in the list is
    /// recorded as unreachable and skipped.
    pub(super) fn next_candidate(&mut self, now: f64) -> Option<Candidate> {
        while let Some(engine) = self.candidates.pop_front() {
            match self.details.get(&engine) {
                Some(details) => {
                    return Some(Candidate {
                        engine,
                        address: details.address,
                    })
                }
                None => self.connect_ended(now, engine, Reachability::Unreachable),
            }
        }
        None
    }

    /// Records whether a candidate could be reached.
    pub(super) fn connect_ended(
        &mut self,
        now: f64,
        engine: EngineKey,
        reachability: Reachability,
    ) {
        let outcome = match reachability {
            Reachability::Reachable => ConnectOutcome::Reached,
            Reachability::Unreachable => ConnectOutcome::NotReached,
        };
        self.connecting.remove(&engine);
        self.subset.connect_ended(now, engine, outcome);
    }

    /// Records the health of the engine of this name, as inferred from the end of an attempt. Engines that are unknown
    /// or not members are ignored.
    pub(super) fn attempt_ended(&mut self, now: f64, name: &str, health: EngineHealth) {
        if let Some(engine) = self.catalog.key(name) {
            let outcome = match health {
                EngineHealth::Healthy => subset::EngineOutcome::Healthy,
                EngineHealth::Failing => subset::EngineOutcome::Failed,
            };
            self.subset.attempt_ended(now, engine, outcome);
        }
    }

    /// Returns the name of an engine that is in the list.
    pub(super) fn name(&self, engine: EngineKey) -> Option<&str> {
        self.catalog.id(engine)
    }

    /// Returns the size of the subset and the reasons for it.
    pub(super) fn status(&self) -> SubsetStatus {
        let EffectiveSize { size, reason } = self.subset.effective_size(&self.catalog);
        SubsetStatus {
            listed: self.catalog.len(),
            members: self.members.len(),
            size,
            reason,
            widened_by: self.subset.widened_by(),
            failed: self.subset.unhealthy_members(),
            unreached: self.subset.unreached(),
            unserved_classes: self.subset.unserved_classes(&self.catalog).count(),
        }
    }
}

#[cfg(test)]
mod tests;
