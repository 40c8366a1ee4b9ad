//! From an admitted query to its answer: the scheduler around the admission controller, and one task for each query.

pub mod client_presence;
pub mod plan_routing;
pub mod query_task;
pub mod scheduler;
