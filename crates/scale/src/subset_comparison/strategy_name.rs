//! The strategies by their names in an experiment.

use serde::{Deserialize, Serialize};

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
    /// `RendezvousEqual` with a floor for each kind: the reference implementation of `Subset`.
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
}
