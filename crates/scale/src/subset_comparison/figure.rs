//! The figures of a comparison and their names.

use super::population::Change;

/// A measured or derived value. Work is per core and relative to the mean. Moves are pairs of a gateway and an engine
/// that a change adds or removes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Figure {
    /// Mean number of engines that a gateway holds.
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
    /// Number of engines that no gateway holds.
    EnginesWithoutGateway,
    Moved(Change),
    /// Share of all pairs that moved.
    MovedShare(Change),
    /// Moves, relative to the minimum for any strategy that holds as many members after the change.
    MovedOverLeast(Change),
    /// Moves, relative to the minimum that restores the size and the class floors.
    MovedOverFloor(Change),
    /// Bytes that a gateway stores for the choice, in addition to the list.
    StateBytes,
    /// Processor time of the first choice per gateway, in microseconds.
    ChooseMicroseconds,
    /// Number of gateways whose settled subset differs from that of the reference implementation, summed over the
    /// choices before and after each change.
    DifferingGateways,
    /// Number of gateways whose subset differs from the first one after all lost engines and gateways are restored.
    NotRestored,
    /// Largest sum over the holders of an engine of one divided by the number of holders that each of them assumes.
    SumOfShares,
}

impl Figure {
    /// Name of the figure in result files.
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
