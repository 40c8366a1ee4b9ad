//! Faults put in on purpose between module and engines: each must be found by the judge.

use serde::Deserialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// One answer in a hundred is given twice.
    AnswerTwice,
    /// One rejection or failure in ten comes a second after the deadline.
    AnswerLate,
    /// A query is sent once more after its answer.
    SendAfterAnswer,
    /// The module is not told that an engine drains or has gone.
    SendToDraining,
    /// The module is told that it works with each engine alone.
    HoldersForgotten,
    /// The module is told of a cold budget a hundred times too small.
    ColdShunned,
    /// The module is not told that queries of a key keep their order.
    OrderForgotten,
    /// The module is not told to which zones and kinds a class is bound.
    PlacementForgotten,
    /// The module is not told of the retry budget.
    BudgetForgotten,
    /// Half of the engines are never joined.
    HalfJoined,
    /// Every engine is connected to by all gateways.
    AllConnected,
    /// One gateway in ten hears nothing of the change log after its start.
    Deaf,
    /// One gateway in ten knows of changes but does not put them in force.
    NeverInForce,
    /// No engine is joined after the settling time.
    NoRefill,
    /// The change log does not tell when engines started.
    StartsUntold,
    /// Half of the answers that engines give are turned into failures.
    AnswersLost,
}
