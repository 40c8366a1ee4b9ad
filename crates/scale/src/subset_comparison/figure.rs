//! The figures of a comparison.

use super::population::Change;

/// What was measured. Work is per core over the mean; moves are pairs of a gateway and an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Figure {
    Members,
    EvenP50,
    EvenP99,
    EvenMax,
    UnevenP50,
    UnevenP99,
    UnevenMax,
    ConnectionsP50,
    ConnectionsP99,
    ConnectionsMax,
    /// Engines that no gateway holds.
    EnginesWithoutGateway,
    Moved(Change),
    /// Part of all pairs that moved.
    MovedShare(Change),
    /// Moves over what any strategy needs that holds as many members afterwards.
    MovedOverLeast(Change),
    /// Moves over what any strategy needs to restore the size and the floors, and no more.
    MovedOverFloor(Change),
    /// Bytes that a gateway stores for the choice, beside the list.
    StateBytes,
    /// Processor time of the first choice, for each gateway.
    ChooseMicroseconds,
    /// Gateways whose settled subset differs from the reference implementation's, before a change or after one, summed.
    DifferingGateways,
    /// Gateways whose subset differs from the first one when all that was lost is restored.
    NotRestored,
    /// The largest sum of the holders' shares of an engine, by the holder counts that they know.
    SumOfShares,
}

impl Figure {
    /// Its name in files.
    pub fn label(self) -> String {
        let of_change = |what: &str, change: Change| {
            let change = match change {
                Change::OneEngine => "one-engine",
                Change::Rack => "rack",
                Change::Zone => "zone",
                Change::Gateways => "gateways",
            };
            format!("{what}-{change}")
        };
        match self {
            Figure::Members => "members".into(),
            Figure::EvenP50 => "work-even-p50".into(),
            Figure::EvenP99 => "work-even-p99".into(),
            Figure::EvenMax => "work-even-max".into(),
            Figure::UnevenP50 => "work-uneven-p50".into(),
            Figure::UnevenP99 => "work-uneven-p99".into(),
            Figure::UnevenMax => "work-uneven-max".into(),
            Figure::ConnectionsP50 => "connections-p50".into(),
            Figure::ConnectionsP99 => "connections-p99".into(),
            Figure::ConnectionsMax => "connections-max".into(),
            Figure::EnginesWithoutGateway => "unheld".into(),
            Figure::Moved(change) => of_change("moved", change),
            Figure::MovedShare(change) => of_change("moved-share", change),
            Figure::MovedOverLeast(change) => of_change("moved-over-least", change),
            Figure::MovedOverFloor(change) => of_change("moved-over-floor", change),
            Figure::StateBytes => "state-bytes".into(),
            Figure::ChooseMicroseconds => "choose-us".into(),
            Figure::DifferingGateways => "disagreeing".into(),
            Figure::NotRestored => "not-back".into(),
            Figure::SumOfShares => "sum-of-parts".into(),
        }
    }
}
