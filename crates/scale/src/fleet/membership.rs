//! Selects the engines that a gateway uses: its subset, or the whole endpoint list if subsets are off.

use super::experiment::Experiment;
use garnetwall_subset::{
    Action, Catalog, Change, ConnectOutcome, EngineKey, EngineOutcome, ListedState, PlacementClass,
    RetryScope, Subset, SubsetError, SubsetSettings,
};
use std::collections::BTreeSet;

/// The selection of a gateway's engines.
pub enum Membership {
    /// The real subset selection.
    Subset(Box<Subset>),
    /// All ready engines, for experiments without subset settings.
    Whole(WholeList),
}

impl Membership {
    /// Creates the selection for a gateway in a zone.
    ///
    /// # Errors
    ///
    /// Returns an error if the experiment's subset settings cannot be used.
    pub fn new(
        experiment: &Experiment,
        gateway: usize,
        zone: usize,
    ) -> Result<Membership, SubsetError> {
        let gateways = experiment.gateways.count as f64;
        let Some(table) = &experiment.subset else {
            return Ok(Membership::Whole(WholeList {
                gateways,
                ..WholeList::default()
            }));
        };
        let settings = SubsetSettings {
            size: table.size,
            class_floor: table.class_floor,
            reserve: table.reserve,
            joins_per_second: table.joins_per_second,
            zone: Some(zone as u32),
            near_weight: table.near_weight,
            gateways,
            classes: placement_classes(experiment),
            retry_scope: RetryScope::Everywhere,
        };
        let subset = Subset::new(&format!("gateway-{gateway:05}"), settings)?;
        Ok(Membership::Subset(Box::new(subset)))
    }

    /// Applies changes that the catalog already contains.
    pub fn changed(&mut self, now: f64, catalog: &Catalog, changes: &[Change]) {
        match self {
            Membership::Subset(subset) => subset.changed(now, catalog, changes),
            Membership::Whole(list) => list.changed(changes),
        }
    }

    /// Reports whether the connection requested by [`Action::Connect`] was made.
    pub fn connect_ended(&mut self, now: f64, engine: EngineKey, reached: bool) {
        if let Membership::Subset(subset) = self {
            let outcome = if reached {
                ConnectOutcome::Reached
            } else {
                ConnectOutcome::NotReached
            };
            subset.connect_ended(now, engine, outcome);
        }
    }

    /// Reports whether an attempt at an engine failed.
    pub fn attempt_ended(&mut self, now: f64, engine: EngineKey, failed: bool) {
        if let Membership::Subset(subset) = self {
            let outcome = if failed {
                EngineOutcome::Failed
            } else {
                EngineOutcome::Healthy
            };
            subset.attempt_ended(now, engine, outcome);
        }
    }

    /// Returns the actions that are due.
    pub fn poll(&mut self, now: f64, catalog: &Catalog) -> Vec<Action> {
        match self {
            Membership::Subset(subset) => subset.poll(now, catalog),
            Membership::Whole(list) => std::mem::take(&mut list.pending),
        }
    }

    /// Returns the time in seconds of the next poll, if nothing changes before.
    pub fn wake(&self) -> Option<f64> {
        match self {
            Membership::Subset(subset) => subset.wake(),
            Membership::Whole(_) => None,
        }
    }
}

/// Returns the distinct placement constraints of the experiment's query classes.
fn placement_classes(experiment: &Experiment) -> Vec<PlacementClass> {
    let class = |class: &super::experiment::QueryClass| PlacementClass {
        zones: class.zones.clone(),
        kinds: class.kinds.clone(),
    };
    let distinct: BTreeSet<PlacementClass> = experiment.classes.iter().map(class).collect();
    distinct.into_iter().collect()
}

/// Selects every ready engine of the endpoint list.
#[derive(Default)]
pub struct WholeList {
    /// Number of gateways, all of which hold each engine.
    gateways: f64,
    members: BTreeSet<EngineKey>,
    /// Actions for the next poll.
    pending: Vec<Action>,
}

impl WholeList {
    fn changed(&mut self, changes: &[Change]) {
        for change in changes {
            let ready = change
                .after
                .is_some_and(|facts| facts.state == ListedState::Ready);
            let (engine, holders) = (change.engine, self.gateways);
            if ready {
                let new = self.members.insert(engine);
                let action = if new {
                    Action::Join { engine, holders }
                } else {
                    Action::Update { engine, holders }
                };
                self.pending.push(action);
            } else if self.members.remove(&engine) {
                self.pending.push(Action::Leave(engine));
            }
        }
    }
}
