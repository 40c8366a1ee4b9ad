//! Starts by chance past the load limit: the probability falls from 1 at the limit to 0 at twice the limit.

use super::MIN_DIVISOR;

/// Load, in units of the limit, from which no query begins.
const ZERO_PROBABILITY_LOAD: f64 = 2.0;
/// Power of the fall for a query of usual work; it is steeper for heavier queries.
const USUAL_WORK_EXPONENT: f64 = 8.0;
/// Times the usual work up to which the fall steepens.
const MAX_RELATIVE_WORK: f64 = 3.0;

/// The probability that a query begins at an engine whose load, with it, is `load` times the limit. `work` and
/// `usual_work` are in seconds on one thread.
pub(super) fn start_probability(load: f64, work: f64, usual_work: f64) -> f64 {
    let relative_work = (work / usual_work.max(MIN_DIVISOR)).min(MAX_RELATIVE_WORK);
    let below_max = (ZERO_PROBABILITY_LOAD - load).clamp(0.0, 1.0);
    below_max.powf(USUAL_WORK_EXPONENT * relative_work)
}
