//! Names of the strategies in experiment files and results.

use serde::{Deserialize, Serialize};

/// A strategy to choose subsets.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum StrategyName {
    /// Every gateway holds every engine.
    WholeList,
    /// Each decision draws a few engines of the whole list.
    Sampling,
    /// Gateways have numbers without gaps, reassigned when one leaves; each round of numbers divides a shuffled list.
    IndexCompact,
    /// As `IndexCompact`, but with permanent numbers, which have gaps where gateways have left.
    IndexKept,
    /// A gateway holds the next engines on a ring with virtual nodes.
    Ring,
    /// A gateway holds the engines with the smallest hash scores; all engines have the same weight.
    RendezvousEqual,
    /// As `RendezvousEqual`, with cores as weights.
    RendezvousCores,
    /// As `RendezvousEqual`, with a floor for each kind. Reference implementation for `Subset`.
    RendezvousFloors,
    /// The settled subsets of `garnetwall-subset`.
    Subset,
}

impl StrategyName {
    /// Returns all strategies, in the order of the tables.
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

    /// Name of the strategy in tables and result files.
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

    /// Whether a gateway holds all engines, whatever the subset size is.
    pub fn holds_whole_list(self) -> bool {
        matches!(self, StrategyName::WholeList | StrategyName::Sampling)
    }

    /// Information that a gateway needs for the strategy.
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
