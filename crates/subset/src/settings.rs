//! What an operator sets, and what is wrong with it.

use thiserror::Error;

/// Where attempts of one service group may go; `None` leaves all open.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementClass {
    pub zones: Option<Vec<u32>>,
    pub kinds: Option<Vec<u32>>,
}

/// Where a query that is idempotent by key may be retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryScope {
    Everywhere,
    /// The zone of the first attempt.
    Zone,
    /// The cell of the first attempt, in its zone.
    Cell,
}

/// How large a gateway's subset is and how it changes.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetSettings {
    /// Engines in the subset while none fails. A floor follows from the numbers of gateways and engines, so that
    /// no engine is left without gateways.
    pub size: usize,
    /// So many engines of each placement class at least, or all of a class that has fewer.
    pub class_floor: usize,
    /// Engines that may be added while members fail, at most.
    pub reserve: usize,
    /// Newcomers a second, while the subset is above its floor.
    pub joins_per_second: f64,
    /// The gateway's own zone, where it is told; its engines come first.
    pub zone: Option<u32>,
    /// How many times its weight an engine of the gateway's own zone counts; 1 or more.
    pub near_weight: f64,
    /// Gateways that serve the same engines, this one included.
    pub gateways: f64,
    /// The placement classes of the service groups, without repeats.
    pub classes: Vec<PlacementClass>,
    /// The narrowest scope in which any service group may be retried.
    pub retry_scope: RetryScope,
}

/// Settings that no subset can be chosen by: where, why, and what to do.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SubsetError {
    #[error("subset.size: 0 engines; name at least 1, or leave the block out to work with the whole list")]
    EmptySize,
    #[error("{place}: {found} is not {expected}; {remedy}")]
    OutOfRange { place: &'static str, found: f64, expected: &'static str, remedy: &'static str },
}
