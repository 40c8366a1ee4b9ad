//! The strategies to choose subsets, behind one trait.

mod index_rounds;
mod rendezvous;
mod ring;
mod sampling;
mod subset_crate;
mod whole_list;

use super::experiment::Experiment;
use super::population::Population;
use crate::process::processor_time;
use index_rounds::{IndexRounds, Numbering};
use rendezvous::{Rendezvous, Weights};
use ring::VirtualNodeRing;
use sampling::Sampling;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use subset_crate::SubsetCrate;
use whole_list::WholeList;

/// The engines that each gateway holds: ascending numbers, in the order of the population's gateways.
#[derive(Clone, Debug)]
pub struct Assignment {
    pub held: Vec<Arc<[u32]>>,
    /// The number of holders that each gateway assumes for each engine of `held`; empty where the strategy has none.
    pub holder_counts: Vec<Vec<f64>>,
}

/// Placement classes, one for each kind that is named.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    /// Engines of each in a subset at least.
    pub floor: usize,
    pub kinds: Vec<u32>,
}

/// The choices before any change, and after each change by itself.
pub struct Choices {
    pub before: Assignment,
    /// Processor time of the first choice.
    pub choice_time: Duration,
    pub after: Vec<Assignment>,
    /// The choice when all changes are undone, where it depends on more than the population.
    pub restored: Option<Assignment>,
}

/// A strategy to choose subsets.
pub trait Strategy {
    /// The subsets of all gateways.
    fn choose(&self, population: &Population, size: usize) -> Assignment;

    /// The subsets before and after each change.
    fn choose_sequentially(
        &self,
        before: &Population,
        changed: &[Population],
        size: usize,
    ) -> Choices {
        let started = processor_time();
        let first = self.choose(before, size);
        let choice_time = processor_time().saturating_sub(started);
        let after = changed
            .iter()
            .map(|population| self.choose(population, size))
            .collect();
        Choices {
            before: first,
            choice_time,
            after,
            restored: None,
        }
    }

    /// Connections that each engine holds, by its number.
    fn connections(&self, population: &Population, assignment: &Assignment) -> Vec<f64> {
        let mut connections = vec![0.0; population.engine_numbers()];
        let held = assignment.held.iter().flat_map(|held| held.iter());
        held.for_each(|&engine| connections[engine as usize] += 1.0);
        connections
    }

    /// Bytes that one gateway stores for the choice, beside the list itself.
    fn state_bytes(&self, population: &Population, size: usize) -> usize;

    /// The placement classes that it knows.
    fn classes(&self) -> Classes {
        Classes::default()
    }
}

/// The strategies by their names in an experiment.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum StrategyName {
    /// Every gateway holds every engine.
    WholeList,
    /// A few of the whole list for each decision.
    Sampling,
    /// Rounds of shuffled subsets by gapless numbers, which are assigned again when gateways leave.
    IndexCompact,
    /// The same by permanent numbers, with gaps where gateways have left.
    IndexKept,
    /// The next engines on a ring with virtual nodes.
    Ring,
    /// Smallest scores by a hash of gateway and engine, each engine with the same weight.
    RendezvousEqual,
    /// The same with cores as weights.
    RendezvousCores,
    /// `RendezvousEqual` with a floor for each kind: the plain form of `Subset`.
    RendezvousFloors,
    /// `garnetwall-subset` itself, settled.
    Subset,
}

impl StrategyName {
    /// All strategies, in the order of the tables.
    pub fn all() -> Vec<StrategyName> {
        vec![
            StrategyName::WholeList,
            StrategyName::Sampling,
            StrategyName::IndexCompact,
            StrategyName::IndexKept,
            StrategyName::Ring,
            StrategyName::RendezvousEqual,
            StrategyName::RendezvousCores,
            StrategyName::RendezvousFloors,
            StrategyName::Subset,
        ]
    }

    /// Its name in tables and files.
    pub fn label(self) -> &'static str {
        match self {
            StrategyName::WholeList => "whole-list",
            StrategyName::Sampling => "sampling",
            StrategyName::IndexCompact => "index-compact",
            StrategyName::IndexKept => "index-kept",
            StrategyName::Ring => "ring",
            StrategyName::RendezvousEqual => "rendezvous-equal",
            StrategyName::RendezvousCores => "rendezvous-cores",
            StrategyName::RendezvousFloors => "rendezvous-floors",
            StrategyName::Subset => "subset",
        }
    }

    /// Whether a gateway works with all engines, whatever the size of a subset is.
    pub fn holds_whole_list(self) -> bool {
        matches!(self, StrategyName::WholeList | StrategyName::Sampling)
    }

    /// What a gateway has to know to use it.
    pub fn knowledge(self) -> &'static str {
        match self {
            StrategyName::WholeList | StrategyName::Sampling => "list",
            StrategyName::RendezvousEqual | StrategyName::RendezvousCores | StrategyName::Ring => {
                "name, list"
            }
            StrategyName::RendezvousFloors | StrategyName::Subset => {
                "name, number of gateways, list"
            }
            StrategyName::IndexCompact | StrategyName::IndexKept => {
                "agreed number, number of gateways, list"
            }
        }
    }

    /// The strategy, with the experiment's settings.
    pub fn build(self, experiment: &Experiment) -> Box<dyn Strategy> {
        let rendezvous = |weights, classes| {
            let threads = experiment.threads;
            Box::new(Rendezvous {
                weights,
                classes,
                threads,
            })
        };
        let classes = Classes {
            floor: experiment.class_floor,
            kinds: experiment.named_kinds(),
        };
        match self {
            StrategyName::WholeList => Box::new(WholeList),
            StrategyName::Sampling => Box::new(Sampling {
                settings: experiment.sampling,
                queries_per_second: experiment.traffic.queries_per_second,
            }),
            StrategyName::IndexCompact => Box::new(IndexRounds {
                numbering: Numbering::Compact,
            }),
            StrategyName::IndexKept => Box::new(IndexRounds {
                numbering: Numbering::Kept,
            }),
            StrategyName::Ring => Box::new(VirtualNodeRing {
                points_per_core: experiment.ring.points_per_core,
            }),
            StrategyName::RendezvousEqual => rendezvous(Weights::Equal, Classes::default()),
            StrategyName::RendezvousCores => rendezvous(Weights::Cores, Classes::default()),
            StrategyName::RendezvousFloors => rendezvous(Weights::Equal, classes),
            StrategyName::Subset => Box::new(SubsetCrate {
                classes,
                threads: experiment.threads,
            }),
        }
    }
}
