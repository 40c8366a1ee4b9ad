//! From an admitted query to its answer: the scheduler around the admission controller, and one task for each query.

pub mod plan_routing;
pub mod query_task;
pub mod scheduler;

use crate::system::clock::MILLIS_PER_SECOND;

/// Converts seconds to whole milliseconds for the log; a deadline that has passed is negative.
fn log_millis(seconds: f64) -> i64 {
    (seconds * MILLIS_PER_SECOND).round() as i64
}
