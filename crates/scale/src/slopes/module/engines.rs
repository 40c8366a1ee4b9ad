//! The engines that the module is told of: the whole list, or the members of a subset under indices of their own.

use crate::slopes::measurement::RoleError;
use crate::slopes::pool::{self, PoolEngine};
use crate::slopes::settings::Fixed;
use crate::slopes::subset::{changed, Chosen};
use garnetwall::api::{Endpoint, EndpointState, EngineId};
use garnetwall_subset::{Action, EngineKey};
use std::collections::HashMap;

/// Lines of the list on their way to the module.
pub struct ListedEngines {
    engines: u64,
    subset: Option<Members>,
}

/// A subset, and the module's indices of its members.
struct Members {
    chosen: Chosen,
    indices: HashMap<EngineKey, EngineId>,
    /// Indices of engines that have left.
    free: Vec<EngineId>,
}

impl ListedEngines {
    /// # Errors
    ///
    /// Where the settings of the subset can't be used.
    pub fn new(quantities: &Fixed) -> Result<Self, RoleError> {
        let Fixed {
            engines,
            gateways,
            subset_size,
            ..
        } = *quantities;
        let subset = match subset_size {
            0 => None,
            size => Some(Members::new(Chosen::new(engines, gateways, size)?)),
        };
        Ok(ListedEngines { engines, subset })
    }

    /// All lines that the module is told.
    pub fn whole(&mut self) -> Vec<Endpoint> {
        match self.subset.as_mut() {
            None => (0..self.engines)
                .map(|number| line(pool::engine(number), EndpointState::Ready))
                .collect(),
            Some(members) => members.lines(),
        }
    }

    /// Takes the whole list in again; the lines that the module is told, and whether these are all.
    pub fn again(&mut self) -> (Vec<Endpoint>, bool) {
        match self.subset.as_mut() {
            None => (self.whole(), true),
            Some(members) => {
                let actions = members
                    .chosen
                    .apply(&super::super::subset::catalog_lines(self.engines), true);
                (members.carry_out(&actions), false)
            }
        }
    }

    /// Takes one changed line in; the lines that the module is told.
    pub fn change(&mut self, repeat: u64) -> Vec<Endpoint> {
        let line_changed = changed(self.engines, repeat);
        match self.subset.as_mut() {
            None => vec![whole_list_line(&line_changed)],
            Some(members) => {
                let actions = members.chosen.apply(&[line_changed], false);
                members.carry_out(&actions)
            }
        }
    }
}

/// The module's line of a line of the catalog, where engines are indexed as they are numbered.
fn whole_list_line(changed: &garnetwall_subset::ListedEngine) -> Endpoint {
    let number = changed
        .id
        .trim_start_matches(|c: char| !c.is_ascii_digit())
        .parse()
        .unwrap_or(0);
    let condition = match changed.facts.state {
        garnetwall_subset::ListedState::Ready => EndpointState::Ready,
        garnetwall_subset::ListedState::Draining => EndpointState::Draining,
        garnetwall_subset::ListedState::Removed => EndpointState::Removed,
    };
    line(pool::engine(number), condition)
}

fn line(engine: PoolEngine, condition: EndpointState) -> Endpoint {
    let PoolEngine {
        number,
        zone,
        kind,
        cell,
    } = engine;
    Endpoint {
        engine: number as EngineId,
        zone,
        kind,
        cell,
        started_at: None,
        state: condition,
        gateways: None,
    }
}

impl Members {
    fn new(chosen: Chosen) -> Self {
        let members: Vec<EngineKey> = chosen.subset.members().map(|(engine, _)| engine).collect();
        Members {
            chosen,
            indices: members.into_iter().zip(0..).collect(),
            free: Vec::new(),
        }
    }

    fn lines(&self) -> Vec<Endpoint> {
        let line = |(engine, holders)| {
            let index = self.indices.get(&engine).copied()?;
            self.line(engine, index, EndpointState::Ready, Some(holders))
        };
        self.chosen.subset.members().filter_map(line).collect()
    }

    /// What the module is told of actions.
    fn carry_out(&mut self, actions: &[Action]) -> Vec<Endpoint> {
        actions
            .iter()
            .filter_map(|action| self.carry_out_one(action))
            .collect()
    }

    fn carry_out_one(&mut self, action: &Action) -> Option<Endpoint> {
        match *action {
            Action::Warm(_) => None,
            Action::Join { engine, holders } | Action::Update { engine, holders } => {
                let index = self.index(engine);
                self.line(engine, index, EndpointState::Ready, Some(holders))
            }
            Action::Leave(engine) => {
                let index = self.indices.remove(&engine)?;
                self.free.push(index);
                let gone = self.line(engine, index, EndpointState::Removed, None);
                gone.or(Some(Endpoint {
                    state: EndpointState::Removed,
                    ..line_of_unknown(index)
                }))
            }
        }
    }

    fn index(&mut self, engine: EngineKey) -> EngineId {
        if let Some(index) = self.indices.get(&engine) {
            return *index;
        }
        let index = self.free.pop().unwrap_or(self.indices.len());
        self.indices.insert(engine, index);
        index
    }

    fn line(
        &self,
        engine: EngineKey,
        index: EngineId,
        condition: EndpointState,
        holders: Option<f64>,
    ) -> Option<Endpoint> {
        let facts = self.chosen.catalog.facts(engine)?;
        let (zone, kind, cell) = (facts.zone, facts.kind as usize, facts.cell);
        Some(Endpoint {
            engine: index,
            zone,
            kind,
            cell,
            started_at: None,
            state: condition,
            gateways: holders,
        })
    }
}

/// A line of an engine that is in the catalog no more.
fn line_of_unknown(index: EngineId) -> Endpoint {
    line(
        PoolEngine {
            number: index as u64,
            zone: 0,
            kind: 0,
            cell: 0,
        },
        EndpointState::Removed,
    )
}
