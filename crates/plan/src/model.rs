//! A plan as values, with names resolved and places kept.
//!
//! Its own evaluation is plain and slow; `garnetwall-routing` compiles a plan for the path of a query. A field is
//! serialized under the word of the plan language, which the printed form of a plan shows.

mod classes;
mod limits;
mod routes;
mod sets;
mod storage;

use serde::Serialize;
use std::net::IpAddr;

pub use classes::{ClassRules, DeduplicationScope, Idempotency, RETRY_FLOOR, RETRY_WINDOW_SECONDS};
pub use limits::{Bucket, Limit, LimitScope, Per, Tenant};
pub use routes::Route;
pub use sets::{fits_pattern, AddressSet, Pool};
pub use storage::{Bodies, Journal};

/// The properties of a query that routes and limits match on.
#[derive(Clone, Copy, Debug)]
pub struct QueryFacts<'a> {
    /// The name of its class.
    pub class: &'a str,
    /// The name of its tenant.
    pub tenant: &'a str,
    /// The address of the client.
    pub client: IpAddr,
    /// Whether it has a key.
    pub has_key: bool,
    /// The number of its data set.
    pub data_set: u32,
    /// When it arrived, in minutes of the day, UTC.
    pub minute_of_day: u32,
}

/// The properties of an engine that pools select by.
#[derive(Clone, Copy, Debug)]
pub struct EngineFacts<'a> {
    /// Its id.
    pub id: &'a str,
    /// The name of its zone.
    pub zone: &'a str,
    /// The name of its kind.
    pub kind: &'a str,
    /// Its address.
    pub address: IpAddr,
}

/// A whole plan. Pools and address sets are referred to by their index.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Plan {
    /// The sets of addresses.
    pub addresses: Vec<AddressSet>,
    /// The sets of engines.
    pub pools: Vec<Pool>,
    /// The rules of query classes.
    #[serde(rename = "groups")]
    pub classes: Vec<ClassRules>,
    /// The limits of tenants.
    pub tenants: Vec<Tenant>,
    /// The routes; the first that matches a query decides.
    pub routes: Vec<Route>,
    /// The limits on admission.
    pub limits: Vec<Limit>,
    /// Where bodies of queries are stored; `None` where the plan has no such block.
    pub bodies: Option<Bodies>,
    /// Where the query journal is stored; `None` where the plan has no such block.
    pub journal: Option<Journal>,
    /// Pools in an order in which each comes after those that it refers to.
    #[serde(skip)]
    pub pool_order: Vec<usize>,
}

impl Plan {
    /// For each pool, by index, whether it has an engine.
    pub fn pools_of(&self, engine: &EngineFacts) -> Vec<bool> {
        let in_set = |set: usize| {
            let set = self.addresses.get(set);
            set.is_some_and(|set| set.contains(engine.address))
        };
        self.pools_matching(|pool| {
            pool.fits(
                |zone| zone == engine.zone,
                |kind| kind == engine.kind,
                |pattern| fits_pattern(pattern, engine.id),
                in_set,
            )
        })
    }

    /// For each pool, by index, whether it has what `fits` selects for a pool itself, with `union` and `except` applied.
    pub fn pools_matching(&self, fits: impl Fn(&Pool) -> bool) -> Vec<bool> {
        let mut matching = vec![false; self.pools.len()];
        for index in &self.pool_order {
            let pool = &self.pools[*index];
            let in_any = |pools: &[usize]| pools.iter().any(|other| matching[*other]);
            matching[*index] = (fits(pool) || in_any(&pool.union)) && !in_any(&pool.except);
        }
        matching
    }

    /// The first route that matches a query.
    pub fn route_of(&self, query: &QueryFacts) -> Option<&Route> {
        let index = self.route_index_of(query)?;
        self.routes.get(index)
    }

    /// The index of the first route that matches a query.
    pub(crate) fn route_index_of(&self, query: &QueryFacts) -> Option<usize> {
        self.routes
            .iter()
            .position(|route| route.first_unmet_entry(query, &self.addresses).is_none())
    }

    /// The rules of a query class.
    pub fn class(&self, name: &str) -> Option<&ClassRules> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The limits of a tenant.
    pub fn tenant(&self, name: &str) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| tenant.name == name)
    }

    /// Whether the rules of some classes let a query run on an engine that is in the pools of `matching`, by index.
    pub fn allows(&self, classes: &[&str], matching: &[bool]) -> bool {
        let rules = classes.iter().filter_map(|class| self.class(class));
        let mut bound = rules.filter(|class| !class.pools.is_empty());
        bound.all(|class| class.pools.iter().any(|pool| matching[*pool]))
    }

    /// For each pool of a query's route, in order of preference, whether the query may run on an engine by way of it.
    /// Where no pool is named, all engines are one level.
    pub fn priority_levels(&self, query: &QueryFacts, engine: &EngineFacts) -> Vec<bool> {
        let matching = self.pools_of(engine);
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
