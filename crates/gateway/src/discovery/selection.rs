//! The engine subset: the engines that this gateway works with, chosen from the full list by `garnetwall_subset`.
//!
//! Of all other engines only the catalog's facts and a few details are stored.

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

/// Cores of a kind for which the settings have no number of cores.
const DEFAULT_CORES: f64 = 1.0;

/// The entry of a member, or of an engine that was one.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SelectedEngine {
    pub(super) entry: EngineEntry,
    /// About how many gateways work with it.
    pub(super) holders: f64,
}

impl SelectedEngine {
    fn into_removed(mut self) -> Self {
        self.entry.state = EndpointState::Removed;
        self
    }
}

/// An engine that is to be connected to before it may become a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) engine: EngineKey,
    pub(super) address: SocketAddr,
}

/// What the choice of members does not depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Details {
    address: SocketAddr,
    /// In seconds of the change log's clock.
    started_at_unix: Option<f64>,
}

/// How large the subset is, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SubsetStatus {
    /// Engines in the full list.
    pub(super) listed: usize,
    pub(super) members: usize,
    /// The members that it is to have while none has failed.
    pub(super) size: usize,
    pub(super) reason: SizeReason,
    /// Members that were added in place of failed ones.
    pub(super) widened_by: usize,
    /// Members whose attempts fail.
    pub(super) failed: usize,
    /// Engines that could not be reached, and to which connecting is retried.
    pub(super) unreached: usize,
    /// Placement classes that no engine of the list serves.
    pub(super) unserved_classes: usize,
}

/// The full list and the subset of this gateway.
pub struct Selection {
    catalog: Catalog,
    details: HashMap<EngineKey, Details>,
    subset: Subset,
    /// Members as they were selected last.
    members: HashMap<EngineKey, SelectedEngine>,
    /// Engines that wait for a connection to be started, each once.
    candidates: VecDeque<EngineKey>,
    /// The candidates, and the engines to which a connection was started.
    connecting: HashSet<EngineKey>,
    kind_cores: Vec<Option<f64>>,
}

impl Selection {
    /// An empty selection for the gateway of this name. `kind_cores` has the cores of each kind where they are known.
    ///
    /// # Errors
    ///
    /// The settings do not fit one another, or the gateway has no name.
    pub fn new(
        gateway: &str,
        settings: SubsetSettings,
        kind_cores: Vec<Option<f64>>,
    ) -> Result<Self, SubsetError> {
        Ok(Selection {
            catalog: Catalog::default(),
            details: HashMap::new(),
            subset: Subset::new(gateway, settings)?,
            members: HashMap::new(),
            candidates: VecDeque::new(),
            connecting: HashSet::new(),
            kind_cores,
        })
    }

    /// Applies entries, and returns what that changes for the members.
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

    /// Records the details of engines that the catalog has, and returns these.
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

    /// A member of which the list reports a detail that the choice does not depend on.
    fn select_again(&mut self, engine: EngineKey) -> Option<SelectedEngine> {
        let holders = self.members.get(&engine)?.holders;
        self.select(engine, holders)
    }

    /// A member as the list has it now, unless it was selected so before.
    fn select(&mut self, engine: EngineKey, holders: f64) -> Option<SelectedEngine> {
        let selected = SelectedEngine {
            entry: self.entry(engine)?,
            holders,
        };
        let before = self.members.insert(engine, selected.clone());
        (before.as_ref() != Some(&selected)).then_some(selected)
    }

    /// An engine's entry, put together from the catalog and the details.
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

    /// What is due: members that join, change or leave. One that leaves is selected as removed.
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

    /// When to poll next, in seconds of the gateway's clock, unless something changes first.
    pub(super) fn next_poll_at(&self) -> Option<f64> {
        self.subset.wake()
    }

    /// The next engine to connect to. One that is not in the list any more counts as not reached.
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

    /// Records what the end of an attempt says of the engine of this name.
    pub(super) fn attempt_ended(&mut self, now: f64, name: &str, health: EngineHealth) {
        if let Some(engine) = self.catalog.key(name) {
            let outcome = match health {
                EngineHealth::Healthy => subset::EngineOutcome::Healthy,
                EngineHealth::Failing => subset::EngineOutcome::Failed,
            };
            self.subset.attempt_ended(now, engine, outcome);
        }
    }

    pub(super) fn name(&self, engine: EngineKey) -> Option<&str> {
        self.catalog.id(engine)
    }

    /// How large the subset is, and why.
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
