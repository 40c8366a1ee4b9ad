//! Routes queries by a compiled plan: the route that takes a query, the engines that it may use by priority level, and
//! the limits that count it. No I/O; callers hand in events and times. It narrows what the decision module may choose.
//!
//! [`Routing`] decides on routes, [`PoolMembers`] knows the engines of every pool, [`Limits`] counts queries in flight
//! and rates. docs/routing.md weighs the structures and has their figures.

mod engines;
mod limits;
mod sketch;
pub mod zones;

pub use engines::{EngineSet, PoolMembers};
use garnetwall_plan::model::{ClassRules, Plan, QueryFacts, Route};
use garnetwall_plan::quantity::MINUTES_PER_DAY;
use garnetwall_plan::region::ValueClasses;
pub use limits::{LimitExceeded, LimitKind, LimitPermit, Limits};
use std::net::IpAddr;
use std::sync::Arc;

/// A query as routing sees it; classes and tenants are the settings' indices.
#[derive(Clone, Copy, Debug)]
pub struct RoutedQuery {
    /// Index of its query class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Address of its client.
    pub client: IpAddr,
    /// Whether it has an ordering key.
    pub has_key: bool,
    /// The data set that its statement reads or loads; 0 for none.
    pub data_set: u32,
    /// Minute of the day, UTC.
    pub minute: u32,
    /// Length of its statement in bytes.
    pub statement_bytes: u64,
}

/// Names of the settings, by index.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the query classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
}

/// A way that queries may go: pools by preference, within the pools that their classes are bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSubset {
    /// Pools by preference; every engine where it is empty.
    pub pools: Vec<usize>,
    /// For each class with such a rule, the pools that its queries never leave.
    pub required_pools: Vec<Vec<usize>>,
}

impl EndpointSubset {
    /// Whether it leaves every engine open.
    pub fn is_unrestricted(&self) -> bool {
        self.pools.is_empty() && self.required_pools.is_empty()
    }
}

/// What a plan says of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Rejected by this route, whose `reject_reason` says why.
    Rejected {
        /// Index of the route.
        route: usize,
    },
    /// Its statement is over what its class may have, in bytes.
    StatementTooLong {
        /// The longest statement of its class.
        max_bytes: u64,
    },
    /// It may run, limits apart.
    Admitted {
        /// Index of the route that took it, if any.
        route: Option<usize>,
        /// The query class that it is treated as.
        class: usize,
        /// Index into [`Routing::subsets`].
        subset: usize,
    },
}

/// How queries of a class that took a route, or none, go on.
#[derive(Clone, Copy, Debug)]
struct Target {
    class: usize,
    subset: usize,
}

/// A plan, compiled for the names of the settings.
#[derive(Debug)]
pub struct Routing {
    plan: Arc<Plan>,
    names: Names,
    value_classes: ValueClasses,
    /// The value classes of the settings' query classes and tenants, and of the minutes of a day.
    query_class_rows: Vec<usize>,
    tenant_rows: Vec<usize>,
    minute_rows: Vec<u16>,
    /// Words of 64 bits in a row, a bit for each route.
    words_per_row: usize,
    /// For each dimension a row for each class: the routes that let it through.
    matching_routes: [Vec<u64>; garnetwall_plan::region::DIMENSIONS],
    subsets: Vec<EndpointSubset>,
    /// By route (the last is none) and query class.
    targets: Vec<Target>,
}

impl Routing {
    /// Compiles a plan that was checked with the settings of these names.
    pub fn new(plan: Arc<Plan>, names: Names) -> Self {
        let classes = ValueClasses::of(&[&plan], &names.classes, &names.tenants);
        let counts = classes.counts();
        let words = plan.routes.len().div_ceil(64).max(1);
        let mut rows = std::array::from_fn(|d| vec![0; counts[d] * words]);
        for (n, route) in plan.routes.iter().enumerate() {
            for (row, classes) in rows.iter_mut().zip(&classes.region(route, 0)) {
                for class in classes.ones() {
                    row[class * words + n / 64] |= 1 << (n % 64);
                }
            }
        }
        let mut routing = Routing {
            query_class_rows: names
                .classes
                .iter()
                .map(|g| classes.query_class(g))
                .collect(),
            tenant_rows: names.tenants.iter().map(|t| classes.tenant(t)).collect(),
            minute_rows: (0..MINUTES_PER_DAY)
                .map(|minute| classes.minute_of_day(minute) as u16)
                .collect(),
            words_per_row: words,
            matching_routes: rows,
            subsets: Vec::new(),
            targets: Vec::new(),
            value_classes: classes,
            names,
            plan,
        };
        routing.compile_targets();
        routing
    }

    /// Works out a target for each route, and for none, with each query class.
    fn compile_targets(&mut self) {
        let plan = self.plan.clone();
        for route in plan.routes.iter().map(Some).chain([None]) {
            for own_class in 0..self.names.classes.len() {
                let target = self.target(&plan, route, own_class);
                self.targets.push(target);
            }
        }
    }

    fn target(&mut self, plan: &Plan, route: Option<&Route>, own_class: usize) -> Target {
        let treated_as = route.and_then(|route| route.as_class.as_ref());
        let class = treated_as
            .and_then(|name| self.names.classes.iter().position(|class| class == name))
            .unwrap_or(own_class);
        let pools_of = |class: usize| {
            let rules = plan.class(&self.names.classes[class])?;
            Some(rules.pools.clone()).filter(|pools| !pools.is_empty())
        };
        let mut required_pools: Vec<Vec<usize>> = [own_class, class]
            .into_iter()
            .filter_map(pools_of)
            .collect();
        required_pools.dedup();
        let subset = EndpointSubset {
            pools: route.map_or(Vec::new(), |route| route.pools.clone()),
            required_pools,
        };
        Target {
            class,
            subset: self.subset_index(subset),
        }
    }

    /// The index of an equal subset, or of this one, which is added.
    fn subset_index(&mut self, subset: EndpointSubset) -> usize {
        let known = self.subsets.iter().position(|other| *other == subset);
        known.unwrap_or_else(|| {
            self.subsets.push(subset);
            self.subsets.len() - 1
        })
    }

    /// The plan that was compiled.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// The names of the settings that it was compiled for.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The plan's rules of a query class of the settings.
    pub fn class_rules(&self, class: usize) -> Option<&ClassRules> {
        self.plan.class(self.names.classes.get(class)?)
    }

    /// All endpoint subsets that a query may be confined to.
    pub fn subsets(&self) -> &[EndpointSubset] {
        &self.subsets
    }

    /// The first route that takes a query.
    pub fn route(&self, query: &RoutedQuery) -> Option<usize> {
        let value_class =
            |known: &[usize], index: usize| known.get(index).copied().unwrap_or_default();
        let point = [
            value_class(&self.query_class_rows, query.class),
            value_class(&self.tenant_rows, query.tenant),
            self.value_classes.clients().class(query.client),
            usize::from(query.has_key),
            self.value_classes.data_set(query.data_set),
            usize::from(self.minute_rows[(query.minute % MINUTES_PER_DAY) as usize]),
        ];
        let row = |d: usize| {
            &self.matching_routes[d][point[d] * self.words_per_row..][..self.words_per_row]
        };
        let rows: [&[u64]; garnetwall_plan::region::DIMENSIONS] = std::array::from_fn(row);
        for word in 0..self.words_per_row {
            let all = rows.iter().fold(u64::MAX, |all, row| all & row[word]);
            if all != 0 {
                return Some(word * 64 + all.trailing_zeros() as usize);
            }
        }
        None
    }

    /// What the plan says of a query, limits apart.
    pub fn decide(&self, query: &RoutedQuery) -> RouteDecision {
        let route = self.route(query);
        if let Some(route) = route.filter(|r| self.plan.routes[*r].reject_reason.is_some()) {
            return RouteDecision::Rejected { route };
        }
        if let Some(most) = self
            .class_rules(query.class)
            .and_then(|g| g.max_statement_bytes)
            .filter(|most| query.statement_bytes > *most)
        {
            return RouteDecision::StatementTooLong { max_bytes: most };
        }
        let row = route.unwrap_or(self.plan.routes.len());
        let target = self.targets
            [row * self.names.classes.len() + query.class.min(self.names.classes.len() - 1)];
        RouteDecision::Admitted {
            route,
            class: target.class,
            subset: target.subset,
        }
    }

    /// A query in the words of the plan, for the plain model in tests and for logs.
    pub fn facts(&self, query: &RoutedQuery) -> QueryFacts<'_> {
        QueryFacts {
            class: self
                .names
                .classes
                .get(query.class)
                .map_or("", String::as_str),
            tenant: self
                .names
                .tenants
                .get(query.tenant)
                .map_or("", String::as_str),
            client: query.client,
            has_key: query.has_key,
            data_set: query.data_set,
            minute_of_day: query.minute,
        }
    }
}
