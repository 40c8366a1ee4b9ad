//! From an admitted query to its answer: the scheduler around the admission controller, and one task for each query.

pub mod client_presence;
pub mod plan_routing;
pub mod query_task;
pub mod scheduler;

/// Converts seconds to whole milliseconds for the log; a deadline that has passed is negative.
fn log_millis(seconds: f64) -> i64 {
    (seconds * 1000.0).round() as i64
}
