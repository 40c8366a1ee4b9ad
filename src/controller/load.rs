//! How loaded engines and whole kinds are.
//!
//! Loads are in units of the load limit: at 1 an engine runs [`LOAD_LIMIT_THREADS_PER_CORE`] threads a core.
//!
//! | question | where |
//! |---|---|
//! | what a load report says | `reports` |
//! | what the end of an attempt, or its absence, says | `inference` |
//! | how loaded an engine is, and would be with a query | `engine_load` |
//! | how loaded a kind is, and would be with a query | `kind_load` |

mod engine_load;
mod inference;
mod kind_load;
mod reports;

pub(super) use engine_load::engine_load;
pub(crate) use reports::InFlightTime;

/// Threads a core that an engine is filled to.
const LOAD_LIMIT_THREADS_PER_CORE: f64 = 1.5;
/// Fraction of memory in use that stands for the load limit.
const MEMORY_FRACTION_AT_LOAD_LIMIT: f64 = 0.7;
/// Latency over bare work that stands for the load limit; threads share cores and wait for disks.
pub(super) const SLOWDOWN_AT_LOAD_LIMIT: f64 = 2.0;
/// Load that one answer, rejection or overdue attempt counts as at most.
pub(super) const MAX_OBSERVED_LOAD: f64 = 2.0;
/// Time constant, in seconds, with which the observed load of a kind decays.
const KIND_LOAD_DECAY_SECONDS: f64 = 2.0;
