//! A plan compiled for the names of the settings: which route matches a query, and what follows from it.
//!
//! Each dimension of a route's conditions is divided into value classes. For each value class of each dimension a row of bits
//! says which routes match it; the first bit that is set in all of a query's rows is its route.

use crate::endpoint_subset::EndpointSubset;
use crate::query::RoutedQuery;
use garnetwall_plan::model::{ClassRules, Plan, QueryFacts, Route};
use garnetwall_plan::quantity::MINUTES_PER_DAY;
use garnetwall_plan::region::{ValueClasses, DIMENSION_COUNT};
use std::sync::Arc;

/// Routes in one word of a row.
const WORD_BITS: usize = u64::BITS as usize;

/// Names of the settings, by index.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the query classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
}

/// What a plan decides on a query, before limits are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Rejected by this route, whose `reject_reason` says why.
    Rejected {
        /// Index of the route.
        route: usize,
    },
    /// Its statement is longer than the rules of its class allow.
    StatementTooLong {
        /// The longest statement of its class, in bytes.
        max_bytes: u64,
    },
    /// It may run, unless a limit rejects it.
    Admitted {
        /// Index of the route that matches it, if any.
        route: Option<usize>,
        /// The query class that it is treated as.
        class: usize,
        /// Index into [`Routing::endpoint_subsets`].
        endpoint_subset: usize,
    },
}

/// What follows for queries of one class that one route matches, or none.
#[derive(Clone, Copy, Debug)]
struct RouteResult {
    /// The class that they are treated as.
    class: usize,
    endpoint_subset: usize,
}

/// A plan, compiled for the names of the settings.
#[derive(Debug)]
pub struct Routing {
    plan: Arc<Plan>,
    names: Names,
    pub(crate) value_classes: ValueClasses,
    /// The value classes of the settings' query classes and tenants, and of the minutes of a day.
    value_class_of_query_class: Vec<usize>,
    value_class_of_tenant: Vec<usize>,
    value_class_of_minute: Vec<u16>,
    /// Words in a row, which has a bit for each route.
    words_per_row: usize,
    /// For each dimension a row for each value class: the routes that match it.
    matching_routes: [Vec<u64>; DIMENSION_COUNT],
    endpoint_subsets: Vec<EndpointSubset>,
    /// By route (the last row is for queries that no route matches) and query class.
    results: Vec<RouteResult>,
}

impl Routing {
    /// Compiles a plan that was checked with the settings of these names.
    pub fn new(plan: Arc<Plan>, names: Names) -> Self {
        let value_classes = ValueClasses::of(&[&plan], &names.classes, &names.tenants);
        let words_per_row = plan.routes.len().div_ceil(WORD_BITS).max(1);
        let matching_routes = matching_routes(&plan, &value_classes, words_per_row);
        let mut routing = Routing {
            value_class_of_query_class: names
                .classes
                .iter()
                .map(|name| value_classes.query_class(name))
                .collect(),
            value_class_of_tenant: names
                .tenants
                .iter()
                .map(|name| value_classes.tenant(name))
                .collect(),
            value_class_of_minute: (0..MINUTES_PER_DAY)
                .map(|minute| value_classes.minute_of_day(minute) as u16)
                .collect(),
            words_per_row,
            matching_routes,
            endpoint_subsets: Vec::new(),
            results: Vec::new(),
            value_classes,
            names,
            plan,
        };
        routing.compile_results();
        routing
    }

    /// Precomputes the result of each route, and of no route, for each query class.
    fn compile_results(&mut self) {
        let plan = self.plan.clone();
        for route in plan.routes.iter().map(Some).chain([None]) {
            for own_class in 0..self.names.classes.len() {
                let result = self.result(&plan, route, own_class);
                self.results.push(result);
            }
        }
    }

    fn result(&mut self, plan: &Plan, route: Option<&Route>, own_class: usize) -> RouteResult {
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
        RouteResult {
            class,
            endpoint_subset: self.endpoint_subset_index(subset),
        }
    }

    /// The index of an equal subset, or of this one, which is added.
    fn endpoint_subset_index(&mut self, subset: EndpointSubset) -> usize {
        let known = self
            .endpoint_subsets
            .iter()
            .position(|other| *other == subset);
        known.unwrap_or_else(|| {
            self.endpoint_subsets.push(subset);
            self.endpoint_subsets.len() - 1
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
    pub fn endpoint_subsets(&self) -> &[EndpointSubset] {
        &self.endpoint_subsets
    }

    /// The index of the first route that matches a query.
    pub fn route(&self, query: &RoutedQuery) -> Option<usize> {
        let value_class =
            |known: &[usize], index: usize| known.get(index).copied().unwrap_or_default();
        let point = [
            value_class(&self.value_class_of_query_class, query.class),
            value_class(&self.value_class_of_tenant, query.tenant),
            self.value_classes.clients().class(query.client),
            usize::from(query.has_key),
            self.value_classes.data_set(query.data_set),
            usize::from(self.value_class_of_minute[(query.minute % MINUTES_PER_DAY) as usize]),
        ];
        let row = |dimension: usize| {
            let start = point[dimension] * self.words_per_row;
            &self.matching_routes[dimension][start..][..self.words_per_row]
        };
        let rows: [&[u64]; DIMENSION_COUNT] = std::array::from_fn(row);
        for word in 0..self.words_per_row {
            let all = rows.iter().fold(u64::MAX, |all, row| all & row[word]);
            if all != 0 {
                return Some(word * WORD_BITS + all.trailing_zeros() as usize);
            }
        }
        None
    }

    /// What the plan decides on a query, before limits are applied.
    pub fn decide(&self, query: &RoutedQuery) -> RouteDecision {
        let route = self.route(query);
        if let Some(route) = route.filter(|route| self.plan.routes[*route].reject_reason.is_some())
        {
            return RouteDecision::Rejected { route };
        }
        if let Some(max_bytes) = self
            .class_rules(query.class)
            .and_then(|rules| rules.max_statement_bytes)
            .filter(|max_bytes| query.statement_bytes > *max_bytes)
        {
            return RouteDecision::StatementTooLong { max_bytes };
        }
        let result = self.result_of(route, query.class);
        RouteDecision::Admitted {
            route,
            class: result.class,
            endpoint_subset: result.endpoint_subset,
        }
    }

    fn result_of(&self, route: Option<usize>, class: usize) -> RouteResult {
        let row = route.unwrap_or(self.plan.routes.len());
        let class_count = self.names.classes.len();
        self.results[row * class_count + class.min(class_count - 1)]
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

/// For each dimension a row for each value class, with the bits of the routes that match it.
fn matching_routes(
    plan: &Plan,
    value_classes: &ValueClasses,
    words_per_row: usize,
) -> [Vec<u64>; DIMENSION_COUNT] {
    let counts = value_classes.counts();
    let mut rows = std::array::from_fn(|dimension| vec![0; counts[dimension] * words_per_row]);
    for (index, route) in plan.routes.iter().enumerate() {
        for (row, matching) in rows.iter_mut().zip(&value_classes.region(route, 0)) {
            for value_class in matching.ones() {
                row[value_class * words_per_row + index / WORD_BITS] |= 1 << (index % WORD_BITS);
            }
        }
    }
    rows
}
