//! Routes queries by a compiled plan: the route that matches a query, the engines that it may use by priority level, and
//! the limits that count it. No I/O; callers hand in events and times. It narrows what the decision module may choose.
//!
//! [`Routing`] decides on routes, [`PoolMembers`] knows the engines of every pool, [`Limits`] counts queries in flight
//! and rates. docs/routing.md weighs the structures and has their figures.
//!
//! An [`EndpointSubset`] is what the plan leaves to a query. It is not the engine subset of `garnetwall-subset`, which is
//! what this gateway works with for all queries.

mod endpoint_subset;
mod engine_set;
mod limits;
mod pool_members;
mod query;
mod routing;
pub mod zones;

pub use endpoint_subset::EndpointSubset;
pub use engine_set::EngineSet;
pub use limits::{LimitExceeded, LimitKind, LimitPermit, Limits};
pub use pool_members::PoolMembers;
pub use query::RoutedQuery;
pub use routing::{Names, RouteDecision, Routing};
