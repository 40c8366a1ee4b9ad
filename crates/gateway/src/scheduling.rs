//! From an admitted query to its answer: the decision module behind its lock, and one task for each query.

pub mod client_presence;
pub mod plan_routing;
pub mod query_task;
pub mod scheduler;
