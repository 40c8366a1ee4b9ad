//! Faults that an experiment can inject. The judge has to find each of them.

use serde::Deserialize;

/// A fault in the subsets that `garnetwall-subset` chose.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// No gateway holds the first engine.
    UnheldEngine,
    /// After a change of engines, each gateway has the subset of its neighbour.
    NeedlessMoves,
    /// After a change of gateways, each gateway has the subset of its neighbour.
    MovesWithGateways,
    /// One gateway holds one engine too few.
    OneMemberLacks,
    /// Each gateway counts only itself as a holder of its engines.
    HoldersUntold,
    /// After all lost engines and gateways are restored, each gateway has the subset of its neighbour.
    NoReturn,
}
