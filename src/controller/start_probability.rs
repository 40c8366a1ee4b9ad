//! Computes the probability that a query starts above the load limit. It falls from 1 at the limit to 0 at twice the
//! limit.

use super::MIN_DIVISOR;

/// Load, in units of the load limit, at and above which no query starts.
const ZERO_PROBABILITY_LOAD: f64 = 2.0;
/// Exponent of the probability curve for a query of mean work; heavier queries get a larger exponent.
const MEAN_WORK_EXPONENT: f64 = 8.0;
/// Upper limit of a query's work relative to the mean; the exponent grows no further above it.
const MAX_RELATIVE_WORK: f64 = 3.0;

/// Returns the probability that a query starts at an engine whose load including the query is `load`, in units of the
/// load limit. `work` and `mean_query_work` are in seconds on one thread.
pub(super) fn start_probability(load: f64, work: f64, mean_query_work: f64) -> f64 {
    let relative_work = (work / mean_query_work.max(MIN_DIVISOR)).min(MAX_RELATIVE_WORK);
    let distance_to_zero = (ZERO_PROBABILITY_LOAD - load).clamp(0.0, 1.0);
    distance_to_zero.powf(MEAN_WORK_EXPONENT * relative_work)
}
