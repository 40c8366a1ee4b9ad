//! Faults that an experiment can inject into gateways and the change log. The judge must detect each of them.

use serde::Deserialize;

/// A fault, selected by the experiment's key `slip`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// One answer in a hundred is given twice.
    AnswerTwice,
    /// One answer in a hundred is given one second after the deadline.
    AnswerLate,
    /// One query in a hundred is sent to an engine once more after its answer.
    SendAfterAnswer,
    /// The decision module is not notified that an engine is draining or was removed.
    SendToDraining,
    /// The decision module assumes that there is only one gateway, and so takes too much of a cold engine's budget.
    HoldersForgotten,
    /// The decision module's slow-start budget is a hundred times too small.
    ColdShunned,
    /// The decision module does not run the queries of an ordering key in order.
    OrderForgotten,
    /// The decision module ignores the zones and kinds that a class is restricted to.
    PlacementForgotten,
    /// The decision module has no retry budget.
    BudgetForgotten,
    /// Engines with odd numbers, half of all, are never joined.
    HalfJoined,
    /// Each gateway connects to all engines when it starts.
    AllConnected,
    /// One gateway in ten reads no entries of the change log after its start.
    Deaf,
    /// One gateway in ten reads entries of the change log but never reports them as in force.
    NeverInForce,
    /// No gateway joins an engine after the settling time.
    NoRefill,
    /// The change log omits the start times of engines.
    StartsUntold,
    /// Gateways treat successful answers to queries with even numbers, half of all, as failures.
    AnswersLost,
}
