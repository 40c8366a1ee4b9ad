//! Routes queries by a compiled plan: finds the route that matches a query, the engines that the query may use at each
//! priority level, and the limits that apply to it. The decision module then chooses only among these engines.
//!
//! The crate does no I/O and reads no clock; callers pass in events and times. [`Routing`] finds routes,
//! [`PoolMembers`] tracks the engines of every pool, and [`Limits`] counts queries in flight and enforces rates.
//! docs/routing.md compares the data structures and has measurements of them.
//!
//! An [`EndpointSubset`] holds the engines that the plan allows for one query. The engine subset of `garnetwall-subset`
//! is a different set: the engines that this gateway uses for all queries.

mod endpoint_subset;
mod engine_set;
mod limits;
mod pool_members;
mod query;
mod routing;
pub mod zones;

pub use endpoint_subset::EndpointSubset;
pub use engine_set::EngineBitmap;
pub use limits::{LimitExceeded, LimitKind, LimitPermit, Limits};
pub use pool_members::PoolMembers;
pub use query::RoutedQuery;
pub use routing::{Names, RouteDecision, Routing};
