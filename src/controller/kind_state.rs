//! Holds the state of all engines of one kind.

use super::averages::DecayingAverage;
use super::endpoint_list::PoolCapacity;

/// State of a kind of engine: its reported and inferred load, and the work that this gateway has sent to it.
#[derive(Default)]
pub(crate) struct KindState {
    /// Load according to load reports, in units of the load limit.
    pub(crate) reported_load: DecayingAverage,
    /// Load inferred from ended and overdue attempts, in units of the load limit.
    pub(crate) inferred_load: DecayingAverage,
    /// Expected work of this gateway's queries for the kind, in seconds on one thread. Queries restricted to kinds
    /// count at admission, others at the start of an attempt.
    pub(crate) recent_work: DecayingAverage,
    /// Capacity of the ready engines of the kind.
    pub(crate) ready: PoolCapacity,
    /// Threads of this gateway's attempts in flight.
    pub(crate) threads_in_flight: f64,
    /// Expected memory of this gateway's attempts in flight, in megabytes.
    pub(crate) memory_in_flight: f64,
}
