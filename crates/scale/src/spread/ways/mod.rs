//! The ways to choose, each behind one small trait.

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
    /// For how many holders of an engine each gateway reckons, beside `held`; empty where the way does not tell.
    pub told_holders: Vec<Vec<f64>>,
}

/// Placement classes, one for each kind that is named.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    /// Engines of each in a subset at least.
    pub floor: usize,
    pub kinds: Vec<u32>,
}

/// What was chosen before any change, and after each change by itself.
pub struct Choices {
    pub before: Assignment,
    /// Processor time of the first choice.
    pub choosing: Duration,
    pub after: Vec<Assignment>,
    /// The choice when all changes have been taken back again, where it follows from more than the population.
    pub returned: Option<Assignment>,
}

/// A way to choose subsets.
pub trait Way {
    /// The subsets of all gateways.
    fn choose(&self, population: &Population, size: usize) -> Assignment;

    /// The subsets before and after each change.
    fn choose_in_turn(&self, before: &Population, changed: &[Population], size: usize) -> Choices {
        let started = processor_time();
        let first = self.choose(before, size);
        let choosing = processor_time().saturating_sub(started);
        let after = changed
            .iter()
            .map(|population| self.choose(population, size))
            .collect();
        Choices {
            before: first,
            choosing,
            after,
            returned: None,
        }
    }

    /// Connections that each engine holds, by its number.
    fn connections(&self, population: &Population, assignment: &Assignment) -> Vec<f64> {
        let mut connections = vec![0.0; population.engine_numbers()];
        let held = assignment.held.iter().flat_map(|held| held.iter());
        held.for_each(|&engine| connections[engine as usize] += 1.0);
        connections
    }

    /// Bytes that one gateway keeps for the choice, beside the list itself.
    fn state_bytes(&self, population: &Population, size: usize) -> usize;

    /// The placement classes that it knows.
    fn classes(&self) -> Classes {
        Classes::default()
    }
}

/// The ways by the names that an experiment calls them.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum WayName {
    /// Every gateway holds every engine.
    WholeList,
    /// A few of the whole list for each decision.
    Sampling,
    /// Rounds of shuffled subsets by gapless numbers, which are dealt anew when gateways go.
    IndexCompact,
    /// The same by numbers that stay, with gaps where gateways have gone.
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

impl WayName {
    /// All ways, in the order of the tables.
    pub fn all() -> Vec<WayName> {
        vec![
            WayName::WholeList,
            WayName::Sampling,
            WayName::IndexCompact,
            WayName::IndexKept,
            WayName::Ring,
            WayName::RendezvousEqual,
            WayName::RendezvousCores,
            WayName::RendezvousFloors,
            WayName::Subset,
        ]
    }

    /// Its name in tables and files.
    pub fn label(self) -> &'static str {
        match self {
            WayName::WholeList => "whole-list",
            WayName::Sampling => "sampling",
            WayName::IndexCompact => "index-compact",
            WayName::IndexKept => "index-kept",
            WayName::Ring => "ring",
            WayName::RendezvousEqual => "rendezvous-equal",
            WayName::RendezvousCores => "rendezvous-cores",
            WayName::RendezvousFloors => "rendezvous-floors",
            WayName::Subset => "subset",
        }
    }

    /// Whether a gateway works with all engines, whatever the size of a subset is.
    pub fn holds_whole_list(self) -> bool {
        matches!(self, WayName::WholeList | WayName::Sampling)
    }

    /// What a gateway has to know for it.
    pub fn knowledge(self) -> &'static str {
        match self {
            WayName::WholeList | WayName::Sampling => "list",
            WayName::RendezvousEqual | WayName::RendezvousCores | WayName::Ring => "name, list",
            WayName::RendezvousFloors | WayName::Subset => "name, number of gateways, list",
            WayName::IndexCompact | WayName::IndexKept => "agreed number, number of gateways, list",
        }
    }

    /// The way, as the experiment sets it.
    pub fn build(self, experiment: &Experiment) -> Box<dyn Way> {
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
            WayName::WholeList => Box::new(WholeList),
            WayName::Sampling => Box::new(Sampling {
                settings: experiment.sampling,
                queries_per_second: experiment.traffic.queries_per_second,
            }),
            WayName::IndexCompact => Box::new(IndexRounds {
                numbering: Numbering::Compact,
            }),
            WayName::IndexKept => Box::new(IndexRounds {
                numbering: Numbering::Kept,
            }),
            WayName::Ring => Box::new(VirtualNodeRing {
                points_per_core: experiment.ring.points_per_core,
            }),
            WayName::RendezvousEqual => rendezvous(Weights::Equal, Classes::default()),
            WayName::RendezvousCores => rendezvous(Weights::Cores, Classes::default()),
            WayName::RendezvousFloors => rendezvous(Weights::Equal, classes),
            WayName::Subset => Box::new(SubsetCrate {
                classes,
                threads: experiment.threads,
            }),
        }
    }
}
