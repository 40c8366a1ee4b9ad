//! The engines that this gateway works with, chosen from the whole list by `garnetwall_subset`. Of the rest only the
//! catalog is kept.

use super::event::EngineLine;
use garnetwall::api::EndpointState;
use garnetwall_subset as subset;
use garnetwall_subset::{
    Action, Catalog, EffectiveSize, EngineFacts, EngineKey, SizeReason, Subset, SubsetError,
    SubsetSettings,
};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

/// Cores of a kind whose cores the settings do not tell.
const UNKNOWN_CORES: f64 = 1.0;

/// A line of a member, or of an engine that was one.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Selected {
    pub(super) line: EngineLine,
    /// About how many gateways work with it.
    pub(super) holders: f64,
}

/// An engine that a connection is to be brought up to before it may become a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) engine: EngineKey,
    pub(super) address: SocketAddr,
}

/// What the choice does not depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Details {
    address: SocketAddr,
    came_up: Option<f64>,
}

/// How large the subset is, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Status {
    /// Engines in the whole list.
    pub(super) known: usize,
    pub(super) members: usize,
    /// The members that it is to have while none fails.
    pub(super) size: usize,
    pub(super) reason: SizeReason,
    /// Members of the reserve, in place of those that fail.
    pub(super) widened_by: usize,
    pub(super) failing: usize,
    /// Engines that could not be reached and are tried again.
    pub(super) unreached: usize,
    /// Placement classes that no engine of the list serves.
    pub(super) unserved_classes: usize,
}

/// The whole list and the subset of this gateway.
pub struct Selection {
    catalog: Catalog,
    details: HashMap<EngineKey, Details>,
    subset: Subset,
    /// Members as they were selected last.
    members: HashMap<EngineKey, Selected>,
    /// Engines that wait for their connection to be begun, each once.
    candidates: VecDeque<EngineKey>,
    /// These, and those whose connection was begun.
    warming: HashSet<EngineKey>,
    kind_cores: Vec<Option<f64>>,
}

impl Selection {
    /// An empty selection of the gateway of this name. `kind_cores` has the cores of each kind where they are known.
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
            warming: HashSet::new(),
            kind_cores,
        })
    }

    /// Takes in lines, the whole list or only what has changed, and tells what that changes for the members.
    pub(super) fn apply(&mut self, now: f64, lines: Vec<EngineLine>, whole: bool) -> Vec<Selected> {
        let known = lines.iter().map(|line| subset::EngineLine {
            id: line.id.clone(),
            facts: self.facts(line),
        });
        let known: Vec<subset::EngineLine> = known.collect();
        let changes = self.catalog.apply(&known, whole);
        for change in changes.iter().filter(|change| change.after.is_none()) {
            self.details.remove(&change.engine);
        }
        let mut named = Vec::with_capacity(lines.len());
        for line in &lines {
            if let Some(engine) = self.catalog.key(&line.id) {
                self.details.insert(
                    engine,
                    Details {
                        address: line.address,
                        came_up: line.came_up,
                    },
                );
                named.push(engine);
            }
        }
        self.subset.changed(now, &self.catalog, &changes);
        let mut selected = self.poll(now);
        selected.extend(
            named
                .into_iter()
                .filter_map(|engine| self.reported_anew(engine)),
        );
        selected
    }

    fn facts(&self, line: &EngineLine) -> EngineFacts {
        let cores = self.kind_cores.get(line.kind).copied().flatten();
        let condition = match line.condition {
            EndpointState::Ready => subset::Condition::Ready,
            EndpointState::Draining => subset::Condition::Draining,
            EndpointState::Removed => subset::Condition::Gone,
        };
        let cores = cores
            .filter(|cores| cores.is_finite() && *cores > 0.0)
            .unwrap_or(UNKNOWN_CORES);
        EngineFacts {
            zone: line.zone,
            kind: line.kind as u32,
            cell: line.cell,
            cores,
            condition,
        }
    }

    /// A member of which the list tells what the choice does not depend on.
    fn reported_anew(&mut self, engine: EngineKey) -> Option<Selected> {
        let holders = self.members.get(&engine)?.holders;
        self.select(engine, holders)
    }

    /// A member as the list has it now, where that is news.
    fn select(&mut self, engine: EngineKey, holders: f64) -> Option<Selected> {
        let selected = Selected {
            line: self.line(engine)?,
            holders,
        };
        let before = self.members.insert(engine, selected.clone());
        (before.as_ref() != Some(&selected)).then_some(selected)
    }

    /// An engine's line, put together again.
    fn line(&self, engine: EngineKey) -> Option<EngineLine> {
        let (id, facts) = (self.catalog.id(engine)?, self.catalog.facts(engine)?);
        let Details { address, came_up } = *self.details.get(&engine)?;
        let condition = match facts.condition {
            subset::Condition::Ready => EndpointState::Ready,
            subset::Condition::Draining => EndpointState::Draining,
            subset::Condition::Gone => EndpointState::Removed,
        };
        let EngineFacts {
            zone, kind, cell, ..
        } = facts;
        let kind = kind as usize;
        Some(EngineLine {
            id: id.into(),
            address,
            zone,
            kind,
            cell,
            came_up,
            condition,
        })
    }

    /// What is due by now: members that join, change or leave. One that leaves is told gone.
    pub(super) fn poll(&mut self, now: f64) -> Vec<Selected> {
        let mut selected = Vec::new();
        for action in self.subset.poll(now, &self.catalog) {
            match action {
                Action::Warm(engine) => {
                    if self.warming.insert(engine) {
                        self.candidates.push_back(engine);
                    }
                }
                Action::Join { engine, holders } => selected.extend(self.select(engine, holders)),
                Action::Update { engine, holders } if self.members.contains_key(&engine) => {
                    selected.extend(self.select(engine, holders));
                }
                Action::Update { .. } => {}
                Action::Leave(engine) => selected.extend(self.members.remove(&engine).map(gone)),
            }
        }
        selected
    }

    /// When to poll next, if nothing changes until then.
    pub(super) fn wake(&self) -> Option<f64> {
        self.subset.wake()
    }

    /// The next engine to bring a connection up to. One that the list does not have any more can't be reached.
    pub(super) fn next_candidate(&mut self, now: f64) -> Option<Candidate> {
        while let Some(engine) = self.candidates.pop_front() {
            match self.details.get(&engine) {
                Some(details) => {
                    return Some(Candidate {
                        engine,
                        address: details.address,
                    })
                }
                None => self.warmed(now, engine, false),
            }
        }
        None
    }

    /// Whether the connection to a candidate came up.
    pub(super) fn warmed(&mut self, now: f64, engine: EngineKey, reached: bool) {
        self.warming.remove(&engine);
        self.subset.warmed(now, engine, reached);
    }

    /// How an attempt at the engine of this id ended.
    pub(super) fn attempted(&mut self, now: f64, id: &str, failed: bool) {
        if let Some(engine) = self.catalog.key(id) {
            self.subset.attempted(now, engine, failed);
        }
    }

    pub(super) fn id(&self, engine: EngineKey) -> Option<&str> {
        self.catalog.id(engine)
    }

    /// How large the subset is, and why.
    pub(super) fn status(&self) -> Status {
        let EffectiveSize { size, reason } = self.subset.effective_size(&self.catalog);
        Status {
            known: self.catalog.len(),
            members: self.members.len(),
            size,
            reason,
            widened_by: self.subset.widened_by(),
            failing: self.subset.failing(),
            unreached: self.subset.unreached(),
            unserved_classes: self.subset.unserved_classes(&self.catalog).count(),
        }
    }
}

fn gone(selected: Selected) -> Selected {
    Selected {
        line: EngineLine {
            condition: EndpointState::Removed,
            ..selected.line
        },
        ..selected
    }
}

#[cfg(test)]
mod tests;
