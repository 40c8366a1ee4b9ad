//! Defines a compiled plan as data, with resolved names and the source locations of its blocks.
//!
//! The methods that evaluate a plan are straightforward and slow; for the processing of queries, `garnetwall-routing`
//! compiles a plan into faster structures. Fields are serialized under the words of the plan language, as `plan show`
//! prints them.

mod classes;
mod limits;
mod routes;
mod sets;
mod storage;

use serde::Serialize;
use std::net::IpAddr;

pub use classes::{ClassRules, DeduplicationScope, Idempotency, RETRY_FLOOR, RETRY_WINDOW_SECONDS};
pub use limits::{Bucket, Limit, LimitDimension, LimitScope, Tenant};
pub use routes::Route;
pub use sets::{matches_pattern, AddressSet, Pool};
pub use storage::{Bodies, Journal};

/// The properties of a query that routes and limits match on.
#[derive(Clone, Copy, Debug)]
pub struct QueryFacts<'a> {
    /// Name of the query class.
    pub class: &'a str,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// IP address of the client.
    pub client: IpAddr,
    /// Whether the query has an ordering key.
    pub has_key: bool,
    /// Number of the data set that the query reads or writes.
    pub data_set: u32,
    /// Time of arrival, in minutes since midnight UTC.
    pub minute_of_day: u32,
}

/// The properties of an engine that pools select by.
#[derive(Clone, Copy, Debug)]
pub struct EngineAttributes<'a> {
    /// Unique id of the engine, matched by the patterns of pools.
    pub id: &'a str,
    /// Name of the engine's zone.
    pub zone: &'a str,
    /// Name of the engine's kind.
    pub kind: &'a str,
    /// IP address of the engine.
    pub address: IpAddr,
}

/// A complete plan. Pools and address sets are referred to by their index in [`Plan::pools`] and [`Plan::addresses`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct Plan {
    /// Named sets of client or engine addresses.
    pub addresses: Vec<AddressSet>,
    /// Named sets of engines.
    pub pools: Vec<Pool>,
    /// Rules of query classes, at most one item per class.
    #[serde(rename = "groups")]
    pub classes: Vec<ClassRules>,
    /// Limits of tenants, at most one item per tenant.
    pub tenants: Vec<Tenant>,
    /// Routes in source order; the first one that matches a query decides.
    pub routes: Vec<Route>,
    /// Limits on admission; every limit that applies to a query must allow it.
    pub limits: Vec<Limit>,
    /// Storage of query bodies; `None` if the plan has no `bodies` block.
    pub bodies: Option<Bodies>,
    /// Storage of the query journal; `None` if the plan has no `journal` block.
    pub journal: Option<Journal>,
    /// Indices of the pools in topological order: each pool comes after those it refers to.
    #[serde(skip)]
    pub pool_order: Vec<usize>,
}

impl Plan {
    /// Returns for each pool, by index, whether it contains the engine.
    pub fn pool_membership(&self, engine: &EngineAttributes) -> Vec<bool> {
        let in_set = |set: usize| {
            let set = self.addresses.get(set);
            set.is_some_and(|set| set.contains(engine.address))
        };
        self.pools_matching(|pool| {
            pool.matches(
                |zone| zone == engine.zone,
                |kind| kind == engine.kind,
                |pattern| matches_pattern(pattern, engine.id),
                in_set,
            )
        })
    }

    /// Returns for each pool, by index, whether it contains an engine. `matches` states whether a pool directly selects
    /// the engine; `union` and `except` are then applied.
    pub fn pools_matching(&self, matches: impl Fn(&Pool) -> bool) -> Vec<bool> {
        let mut matching = vec![false; self.pools.len()];
        for index in &self.pool_order {
            let pool = &self.pools[*index];
            let in_any = |pools: &[usize]| pools.iter().any(|other| matching[*other]);
            matching[*index] = (matches(pool) || in_any(&pool.union)) && !in_any(&pool.except);
        }
        matching
    }

    /// Returns the first route that matches a query.
    pub fn route_of(&self, query: &QueryFacts) -> Option<&Route> {
        let index = self.route_index_of(query)?;
        self.routes.get(index)
    }

    /// Returns the index of the first route that matches a query.
    pub(crate) fn route_index_of(&self, query: &QueryFacts) -> Option<usize> {
        self.routes
            .iter()
            .position(|route| route.first_unmet_entry(query, &self.addresses).is_none())
    }

    /// Returns the rules of a query class; `None` if the plan has none.
    pub fn class(&self, name: &str) -> Option<&ClassRules> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the limits of a tenant; `None` if the plan has none.
    pub fn tenant(&self, name: &str) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| tenant.name == name)
    }

    /// Returns whether the rules of all `classes` allow a query to run on an engine. `matching` states for each pool,
    /// by index, whether it contains the engine.
    pub fn allows(&self, classes: &[&str], matching: &[bool]) -> bool {
        let rules = classes.iter().filter_map(|class| self.class(class));
        let mut bound = rules.filter(|class| !class.pools.is_empty());
        bound.all(|class| class.pools.iter().any(|pool| matching[*pool]))
    }

    /// Returns for each pool of the query's route, in order of preference, whether the query may run on the engine as a
    /// member of that pool. Without a route, or if the route names no pool, there is a single level with all engines.
    pub fn priority_levels(&self, query: &QueryFacts, engine: &EngineAttributes) -> Vec<bool> {
        let matching = self.pool_membership(engine);
        let route = self.route_of(query);
        let mut classes = vec![query.class];
        classes.extend(route.and_then(|route| route.as_class.as_deref()));
        let allowed = self.allows(&classes, &matching);
        let pools = route.map_or(&[][..], |route| &route.pools);
        if pools.is_empty() {
            return vec![allowed];
        }
        let level = |pool: &usize| allowed && matching[*pool];
        pools.iter().map(level).collect()
    }
}
