//! Scheduling of queries from arrival to final answer: the scheduler, which drives the admission controller, one task
//! per open query, and routing by the plan.

pub mod plan_routing;
pub mod query_task;
pub mod scheduler;

use crate::system::clock::MILLIS_PER_SECOND;

/// Converts seconds to whole milliseconds for log fields, rounded to nearest. A time until a deadline that has passed
/// is negative.
fn log_millis(seconds: f64) -> i64 {
    (seconds * MILLIS_PER_SECOND).round() as i64
}
