//! Chooses the subset of the listed engines that a gateway uses.
//!
//! Each gateway chooses independently, from its name, the number of gateways and the list of engines; gateways do not
//! communicate with each other. The crate does no I/O and reads no clock: callers pass times, in seconds on their own
//! clock.
//!
//! The score of an engine for a gateway is an exponential variate drawn from a hash of both names. A gateway holds the
//! engines with the lowest scores: a number of engines of the whole list, and a number of engines of each placement
//! class. `joins_per_second` limits the pace at which new engines join. The members change as follows:
//!
//! | event | effect |
//! |---|---|
//! | the first list arrives, or no member is left | all engines to hold join immediately |
//! | a member drains or leaves the list | it leaves; up to `reserve` vacated places do not wait for the pace |
//! | the members fall below the floor | engines join immediately, without a connection test |
//! | an engine has a lower score than a member | it is connected to at the pace and joins; then the member leaves |
//! | an engine cannot be reached | the next candidate takes its place; the engine is retried with a backoff |
//! | attempts at a member fail repeatedly | the subset widens by one, up to `reserve`, and narrows slowly |
//!
//! The floor is half of the effective size for the whole subset, and half of `class_floor` for each placement class.
//!
//! A [`Catalog`] stores the whole list; many subsets may share one catalog. A [`Subset`] stores only its members and a
//! limited number of candidates, and returns [`Action`]s for its caller. The decision module chooses only among the
//! members. docs/subsets.md compares the design options.

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
