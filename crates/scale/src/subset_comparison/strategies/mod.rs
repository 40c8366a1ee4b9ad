//! The strategies to choose subsets, one file for each.

mod index_rounds;
mod rendezvous;
mod ring;
mod sampling;
mod subset_crate;
mod whole_list;

use super::experiment::Experiment;
use super::strategy::{Classes, Strategy};
use super::strategy_name::StrategyName;
use index_rounds::{IndexRounds, Numbering};
use rendezvous::{Rendezvous, Weights};
use ring::VirtualNodeRing;
use sampling::Sampling;
use subset_crate::SubsetCrate;
use whole_list::WholeList;

/// Creates the strategy with a name, with the experiment's settings.
pub fn build(name: StrategyName, experiment: &Experiment) -> Box<dyn Strategy> {
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
    match name {
        StrategyName::WholeList => Box::new(WholeList),
        StrategyName::Sampling => Box::new(Sampling {
            settings: experiment.sampling,
            queries_per_second: experiment.traffic.queries_per_second,
        }),
        StrategyName::IndexCompact => Box::new(IndexRounds {
            numbering: Numbering::Compact,
        }),
        StrategyName::IndexKept => Box::new(IndexRounds {
            numbering: Numbering::Permanent,
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
