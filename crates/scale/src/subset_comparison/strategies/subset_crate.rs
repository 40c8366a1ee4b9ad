//! Strategy of `garnetwall-subset`: passes the list to the crate as a gateway does, and simulates until the subsets
//! have settled.

use crate::process::processor_time;
use crate::subset_comparison::population::{Engine, Gateway, Population};
use crate::subset_comparison::strategy::{Assignment, Choices, Classes, Strategy};
use garnetwall_subset::{
    Action, Catalog, Change, ConnectOutcome, EngineFacts, EngineKey, ListedEngine, ListedState,
    PlacementClass, RetryScope, Subset, SubsetSettings, UpdateScope,
};
use std::collections::{HashMap, HashSet};

/// Simulated time within which a subset has to settle.
const SETTLE_SECONDS: f64 = 3_600.0;
/// Maximum number of polls, after which a subset is used as it is.
const MAX_POLLS: usize = 100_000;
/// Engines in the reserve, and joins per second. They decide how fast a subset settles, and not which engines it holds.
const RESERVE: usize = 16;
const JOINS_PER_SECOND: f64 = 10.0;

/// Chooses subsets with the crate `garnetwall-subset`.
pub struct SubsetCrate {
    pub classes: Classes,
    /// Number of threads among which the gateways are divided.
    pub threads: usize,
}

impl SubsetCrate {
    fn settings(&self, gateways: usize, size: usize) -> SubsetSettings {
        let class = |kind: &u32| PlacementClass {
            zones: None,
            kinds: Some(vec![*kind]),
        };
        SubsetSettings {
            size,
            class_floor: self.classes.floor.min(size),
            reserve: RESERVE,
            joins_per_second: JOINS_PER_SECOND,
            zone: None,
            near_weight: 1.0,
            gateways: gateways as f64,
            classes: self.classes.kinds.iter().map(class).collect(),
            retry_scope: RetryScope::Everywhere,
        }
    }

    /// Creates a fleet whose gateways have no list yet.
    fn start(&self, population: &Population, size: usize) -> SimulatedFleet {
        let settings = self.settings(population.gateways.len(), size);
        let start = |gateway: &Gateway| {
            let subset =
                Subset::new(&gateway.name, settings.clone()).expect("the settings are in range");
            HollowGateway {
                number: gateway.number,
                subset,
                now: 0.0,
            }
        };
        let gateways = population.gateways.iter().map(start).collect();
        SimulatedFleet {
            catalog: Catalog::default(),
            numbers: HashMap::new(),
            gateways,
            threads: self.threads,
        }
    }
}

/// A fleet of hollow gateways.
struct SimulatedFleet {
    catalog: Catalog,
    /// Numbers of all engines that have been in the catalog.
    numbers: HashMap<EngineKey, u32>,
    gateways: Vec<HollowGateway>,
    threads: usize,
}

/// The subset of one gateway in the simulation.
struct HollowGateway {
    number: u32,
    subset: Subset,
    /// Simulated time, in seconds.
    now: f64,
}

impl SimulatedFleet {
    /// Applies a whole list at all gateways, which then settle. Returns the engines that the gateways of the population
    /// hold.
    fn apply_list(&mut self, population: &Population) -> Assignment {
        let changes = self
            .catalog
            .apply(&listed_engines(population), UpdateScope::FullList);
        for engine in &population.engines {
            self.numbers
                .extend(self.catalog.key(&engine.id).map(|key| (key, engine.number)));
        }
        let part = self.gateways.len().div_ceil(self.threads).max(1);
        let catalog = &self.catalog;
        std::thread::scope(|scope| {
            for gateways in self.gateways.chunks_mut(part) {
                let changes = &changes;
                scope.spawn(move || {
                    gateways
                        .iter_mut()
                        .for_each(|gateway| gateway.apply_list(catalog, changes))
                });
            }
        });
        self.assignment(population)
    }

    fn assignment(&self, population: &Population) -> Assignment {
        let present: HashSet<u32> = population
            .gateways
            .iter()
            .map(|gateway| gateway.number)
            .collect();
        let mut assignment = Assignment {
            held: Vec::new(),
            holder_counts: Vec::new(),
        };
        for gateway in self
            .gateways
            .iter()
            .filter(|gateway| present.contains(&gateway.number))
        {
            let number = |(key, holders)| (self.numbers[&key], holders);
            let mut members: Vec<(u32, f64)> = gateway.subset.members().map(number).collect();
            members.sort_unstable_by_key(|member| member.0);
            assignment
                .held
                .push(members.iter().map(|member| member.0).collect());
            assignment
                .holder_counts
                .push(members.iter().map(|member| member.1).collect());
        }
        assignment
    }
}

impl HollowGateway {
    fn apply_list(&mut self, catalog: &Catalog, changes: &[Change]) {
        self.subset.changed(self.now, catalog, changes);
        self.settle(catalog);
    }

    /// Carries out the subset's actions until there are none. Every connection succeeds.
    fn settle(&mut self, catalog: &Catalog) {
        let end = self.now + SETTLE_SECONDS;
        for _ in 0..MAX_POLLS {
            let actions = self.subset.poll(self.now, catalog);
            for action in &actions {
                if let Action::Connect(engine) = action {
                    self.subset
                        .connect_ended(self.now, *engine, ConnectOutcome::Reached);
                }
            }
            match self.subset.wake() {
                Some(wake) if wake <= end => self.now = self.now.max(wake),
                _ if !actions.is_empty() => {}
                _ => break,
            }
        }
    }
}

impl Strategy for SubsetCrate {
    fn choose(&self, population: &Population, size: usize) -> Assignment {
        self.start(population, size).apply_list(population)
    }

    /// Applies each change to the settled gateways and undoes the change before the next one.
    fn choose_sequentially(
        &self,
        before: &Population,
        changed: &[Population],
        size: usize,
    ) -> Choices {
        let started = processor_time();
        let mut fleet = self.start(before, size);
        let first = fleet.apply_list(before);
        let choice_time = processor_time().saturating_sub(started);
        let mut after = Vec::new();
        let mut restored = None;
        for population in changed {
            after.push(fleet.apply_list(population));
            restored = Some(fleet.apply_list(before));
        }
        Choices {
            before: first,
            choice_time,
            after,
            restored,
        }
    }

    fn state_bytes(&self, _population: &Population, size: usize) -> usize {
        (size + RESERVE) * std::mem::size_of::<(f64, u64)>()
    }

    fn classes(&self) -> Classes {
        self.classes.clone()
    }
}

fn listed_engines(population: &Population) -> Vec<ListedEngine> {
    population.engines.iter().map(listed_engine).collect()
}

fn listed_engine(engine: &Engine) -> ListedEngine {
    let facts = EngineFacts {
        zone: engine.zone,
        kind: engine.kind,
        cell: 0,
        cores: engine.cores,
        state: ListedState::Ready,
    };
    ListedEngine {
        engine_id: engine.id.clone(),
        facts,
    }
}
