//! Chooses which engines of the list a gateway works with: its subset.
//!
//! Each gateway chooses for itself, from its name, the number of gateways, and the list of engines; gateways do not talk to
//! each other. The crate has no I/O and no clock: callers pass times, in seconds on a clock of theirs.
//!
//! An engine's score for a gateway is an exponential variate drawn from a hash of both names. A gateway holds the engines
//! with the lowest scores: so many of the whole list, and so many of each placement class. What follows an event:
//!
//! | event | what follows |
//! |---|---|
//! | the first list, or no member left | all engines to hold join at once |
//! | a member drains or leaves the list | it leaves at once; up to `reserve` vacated places are refilled at once, others at the pace |
//! | under the floor (half of the size, or of a class's floor) | engines join at once, without a connection |
//! | an engine with a lower score than a member | it is connected to at the pace and joins; then the member leaves |
//! | an engine is not reached | the next candidate takes its place; it is retried with a backoff |
//! | a member fails by the outcomes of the gateway's own attempts | the subset widens by one, up to `reserve`, and narrows slowly |
//!
//! A [`Catalog`] keeps the whole list once; many subsets may read one catalog. A [`Subset`] keeps only its members and
//! a short reserve, and answers each change with [`Action`]s. A subset narrows what the decision module may choose
//! from and never widens it. docs/subsets.md weighs the options.

mod candidates;
mod catalog;
mod class_shortage;
mod engine;
mod health;
mod holders;
mod join_queue;
mod ready;
mod score;
mod selection;
mod settings;
mod size;
mod subset;

pub use catalog::{Catalog, UpdateScope};
pub use engine::{Change, EngineFacts, EngineKey, ListedEngine, ListedState};
pub use health::EngineOutcome;
pub use join_queue::ConnectOutcome;
pub use score::{GatewayHash, Score};
pub use settings::{
    PlacementClass, RetryScope, SubsetError, SubsetSettings, MAX_CLASSES, MAX_NEAR_WEIGHT,
};
pub use size::{EffectiveSize, SizeReason, MIN_HOLDERS};
pub use subset::{Action, Subset};
