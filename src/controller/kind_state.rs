//! What is known of a whole kind of engine.

use super::averages::DecayingAverage;
use super::endpoint_list::PoolCapacity;

/// A kind of engine: its load by reports and by answers, and what this gateway sent there.
#[derive(Default)]
pub(crate) struct KindState {
    /// Load by reports, in units of the load limit.
    pub(crate) reported_load: DecayingAverage,
    /// Load inferred from how answers came, in units of the load limit.
    pub(crate) inferred_load: DecayingAverage,
    /// Work sent by this gateway.
    pub(crate) recent_work: DecayingAverage,
    /// The engines that are ready.
    pub(crate) ready: PoolCapacity,
    /// Threads of this gateway's attempts in flight.
    pub(crate) threads_in_flight: f64,
    /// Expected memory of these attempts, in megabytes.
    pub(crate) memory_in_flight: f64,
}
