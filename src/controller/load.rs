//! Determines the load of engines and of whole kinds.
//!
//! Loads are in units of the load limit: a load of 1 corresponds to [`LOAD_LIMIT_THREADS_PER_CORE`] threads per core.
//!
//! | quantity | module |
//! |---|---|
//! | load according to load reports | `reports` |
//! | load inferred from ended and overdue attempts | `inference` |
//! | load of an engine, without and with a query | `engine_load` |
//! | load of a kind, without and with a query | `kind_load` |

mod engine_load;
mod inference;
mod kind_load;
mod reports;

pub(super) use engine_load::engine_load;
pub(crate) use reports::InFlightTime;

/// Number of threads per core that corresponds to the load limit.
const LOAD_LIMIT_THREADS_PER_CORE: f64 = 1.5;
/// Fraction of an engine's memory in use that corresponds to the load limit.
const MEMORY_FRACTION_AT_LOAD_LIMIT: f64 = 0.7;
/// Slowdown (ratio of latency to uncontended run time) that corresponds to the load limit. Greater than 1, because
/// threads share cores and wait for disks.
pub(super) const SLOWDOWN_AT_LOAD_LIMIT: f64 = 2.0;
/// Upper limit of the load that is inferred from one answer, rejection or overdue attempt, in units of the load limit.
pub(super) const MAX_OBSERVED_LOAD: f64 = 2.0;
/// Decay time constant of the observed load of a kind, in seconds.
const KIND_LOAD_DECAY_SECONDS: f64 = 2.0;
