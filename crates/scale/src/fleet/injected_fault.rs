//! Faults injected between module and engines: the judge must find each of them.

use serde::Deserialize;

/// A fault that an experiment names under `slip`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// One answer in a hundred is given twice.
    AnswerTwice,
    /// One answer in a hundred is given a second after the deadline.
    AnswerLate,
    /// A query is sent once more after its answer.
    SendAfterAnswer,
    /// The module is not notified that an engine drains or was removed.
    SendToDraining,
    /// The module takes its gateway for the only one that holds each engine.
    HoldersForgotten,
    /// The module's slow-start budget is a hundred times too small.
    ColdShunned,
    /// The module does not know that queries of a key keep their order.
    OrderForgotten,
    /// The module does not know to which zones and kinds a class is bound.
    PlacementForgotten,
    /// The module does not know of the retry budget.
    BudgetForgotten,
    /// Half of the engines are never joined.
    HalfJoined,
    /// Every engine is connected to by all gateways.
    AllConnected,
    /// One gateway in ten reads nothing of the change log after its start.
    Deaf,
    /// One gateway in ten knows of changes but does not put them in force.
    NeverInForce,
    /// No engine is joined after the settling time.
    NoRefill,
    /// The change log does not report when engines started.
    StartsUntold,
    /// Half of the answers that engines give are turned into failures.
    AnswersLost,
}
