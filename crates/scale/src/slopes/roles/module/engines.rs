//! Endpoints for the module: those of the whole list, or those of a subset's members, which have indices of their own.

use crate::slopes::quantities::Quantities;
use crate::slopes::role::RoleError;
use crate::slopes::roles::pool::{self, PoolEngine};
use crate::slopes::roles::subset::{changed, SettledSubset};
use garnetwall::api::{Endpoint, EndpointState, EngineId, ListScope};
use garnetwall_subset::{Action, EngineKey, UpdateScope};
use std::collections::HashMap;

/// Translates the endpoint list into endpoints for the module.
pub struct ListedEngines {
    engines: u64,
    subset: Option<Members>,
}

/// An update of the module's endpoints.
pub struct EndpointUpdates {
    pub endpoints: Vec<Endpoint>,
    pub scope: ListScope,
}

/// A subset and the indices of its members in the module.
struct Members {
    chosen: SettledSubset,
    indices: HashMap<EngineKey, EngineId>,
    /// Indices of members that have left, for reuse.
    free: Vec<EngineId>,
}

impl ListedEngines {
    /// Creates the list. If `subset_size` is not 0, chooses a subset of that size.
    ///
    /// # Errors
    ///
    /// The settings of the subset can't be used.
    pub fn new(quantities: &Quantities) -> Result<Self, RoleError> {
        let Quantities {
            engines,
            gateways,
            subset_size,
            ..
        } = *quantities;
        let subset = match subset_size {
            0 => None,
            size => Some(Members::new(SettledSubset::new(engines, gateways, size)?)),
        };
        Ok(ListedEngines { engines, subset })
    }

    /// Returns all endpoints of the module.
    pub fn all_endpoints(&mut self) -> Vec<Endpoint> {
        match self.subset.as_mut() {
            None => (0..self.engines)
                .map(|number| endpoint(pool::engine(number), EndpointState::Ready))
                .collect(),
            Some(members) => members.endpoints(),
        }
    }

    /// Applies the unchanged whole list again and returns the update for the module.
    pub fn apply_whole_list_again(&mut self) -> EndpointUpdates {
        match self.subset.as_mut() {
            None => EndpointUpdates {
                endpoints: self.all_endpoints(),
                scope: ListScope::Full,
            },
            Some(members) => {
                let actions = members.chosen.apply(
                    &super::super::subset::listed_engines(self.engines),
                    UpdateScope::FullList,
                );
                EndpointUpdates {
                    endpoints: members.carry_out(&actions),
                    scope: ListScope::Delta,
                }
            }
        }
    }

    /// Applies one changed entry and returns the endpoint updates for the module.
    pub fn change(&mut self, repeat: u64) -> Vec<Endpoint> {
        let changed_engine = changed(self.engines, repeat);
        match self.subset.as_mut() {
            None => vec![endpoint_of_listed(&changed_engine)],
            Some(members) => {
                let actions = members
                    .chosen
                    .apply(&[changed_engine], UpdateScope::ChangedEngines);
                members.carry_out(&actions)
            }
        }
    }
}

/// Returns the module's endpoint for a listed engine, whose index is its number in the pool.
fn endpoint_of_listed(changed: &garnetwall_subset::ListedEngine) -> Endpoint {
    let number = changed
        .engine_id
        .trim_start_matches(|c: char| !c.is_ascii_digit())
        .parse()
        .unwrap_or(0);
    let state = match changed.facts.state {
        garnetwall_subset::ListedState::Ready => EndpointState::Ready,
        garnetwall_subset::ListedState::Draining => EndpointState::Draining,
        garnetwall_subset::ListedState::Removed => EndpointState::Removed,
    };
    endpoint(pool::engine(number), state)
}

fn endpoint(engine: PoolEngine, state: EndpointState) -> Endpoint {
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
        state,
        gateways: None,
    }
}

impl Members {
    fn new(chosen: SettledSubset) -> Self {
        let members: Vec<EngineKey> = chosen.subset.members().map(|(engine, _)| engine).collect();
        Members {
            chosen,
            indices: members.into_iter().zip(0..).collect(),
            free: Vec::new(),
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let endpoint = |(engine, holders)| {
            let index = self.indices.get(&engine).copied()?;
            self.endpoint(engine, index, EndpointState::Ready, Some(holders))
        };
        self.chosen.subset.members().filter_map(endpoint).collect()
    }

    /// Carries out the subset's actions and returns the endpoint updates for the module.
    fn carry_out(&mut self, actions: &[Action]) -> Vec<Endpoint> {
        actions
            .iter()
            .filter_map(|action| self.carry_out_action(action))
            .collect()
    }

    fn carry_out_action(&mut self, action: &Action) -> Option<Endpoint> {
        match *action {
            Action::Connect(_) => None,
            Action::Join { engine, holders } | Action::Update { engine, holders } => {
                let index = self.index(engine);
                self.endpoint(engine, index, EndpointState::Ready, Some(holders))
            }
            Action::Leave(engine) => {
                let index = self.indices.remove(&engine)?;
                self.free.push(index);
                let removed = self.endpoint(engine, index, EndpointState::Removed, None);
                removed.or(Some(Endpoint {
                    state: EndpointState::Removed,
                    ..endpoint_of_unknown(index)
                }))
            }
        }
    }

    /// Returns the index of a member, a new one if the engine has none.
    fn index(&mut self, engine: EngineKey) -> EngineId {
        if let Some(index) = self.indices.get(&engine) {
            return *index;
        }
        let index = self.free.pop().unwrap_or(self.indices.len());
        self.indices.insert(engine, index);
        index
    }

    fn endpoint(
        &self,
        engine: EngineKey,
        index: EngineId,
        state: EndpointState,
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
            state,
            gateways: holders,
        })
    }
}

/// Returns the removed endpoint of an engine that is no longer in the catalog.
fn endpoint_of_unknown(index: EngineId) -> Endpoint {
    endpoint(
        PoolEngine {
            number: index as u64,
            zone: 0,
            kind: 0,
            cell: 0,
        },
        EndpointState::Removed,
    )
}
