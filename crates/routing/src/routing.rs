//! Compiles a plan into bitmaps, and finds the route and the endpoint subset of a query with them.
//!
//! Each dimension of a route's conditions is divided into value classes. Each value class has a bitmap row with one bit
//! for each route, which is set if the route matches the value class. The route of a query is the lowest bit that is
//! set in the query's rows of all dimensions.

use crate::endpoint_subset::EndpointSubset;
use crate::query::RoutedQuery;
use garnetwall_plan::model::{ClassRules, Plan, QueryFacts, Route};
use garnetwall_plan::quantity::MINUTES_PER_DAY;
use garnetwall_plan::region::{ValueClasses, DIMENSION_COUNT};
use std::sync::Arc;

/// Number of routes that one word of a row covers.
const WORD_BITS: usize = u64::BITS as usize;

/// The names that the settings give to query classes and tenants, by index.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Query class names, indexed as [`RoutedQuery::class`].
    pub classes: Vec<String>,
    /// Tenant names, indexed as [`RoutedQuery::tenant`].
    pub tenants: Vec<String>,
}

/// The decision of a plan on a query, before limits are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// The matching route rejects the query.
    Rejected {
        /// Index of the route in the plan; its `reject_reason` is set.
        route: usize,
    },
    /// The statement is longer than the rules of the query's own class allow.
    StatementTooLong {
        /// The maximum length of a statement of that class, in bytes.
        max_bytes: u64,
    },
    /// The query may run, unless a limit rejects it.
    Admitted {
        /// Index of the matching route in the plan, or `None` if no route matches.
        route: Option<usize>,
        /// The query class whose rules apply; differs from the query's own if the route names another.
        class: usize,
        /// Index into [`Routing::endpoint_subsets`].
        endpoint_subset: usize,
    },
}

/// The result of routing for queries of one class that match one route, or no route.
#[derive(Clone, Copy, Debug)]
struct RouteResult {
    /// The query class whose rules apply.
    class: usize,
    endpoint_subset: usize,
}

/// A plan, compiled for the query classes and tenants of the settings.
#[derive(Debug)]
pub struct Routing {
    plan: Arc<Plan>,
    names: Names,
    pub(crate) value_classes: ValueClasses,
    /// Indexed by query class of the settings.
    value_class_of_query_class: Vec<usize>,
    /// Indexed by tenant of the settings.
    value_class_of_tenant: Vec<usize>,
    /// Indexed by minute of the day.
    value_class_of_minute: Vec<u16>,
    /// A row has one bit for each route.
    words_per_row: usize,
    /// For each dimension, the rows of its value classes one after another.
    matching_routes: [Vec<u64>; DIMENSION_COUNT],
    /// The distinct endpoint subsets that `results` refers to.
    endpoint_subsets: Vec<EndpointSubset>,
    /// For each route, one entry for each query class. The last group of entries, also one for each query class, is for
    /// queries that match no route.
    results: Vec<RouteResult>,
}

impl Routing {
    /// Compiles a plan. `names` are the names of the settings that the plan was checked against.
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

    /// Computes the results of each route, and of no route, for each query class.
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

    /// Returns the index of an equal subset, after adding this one if there is none.
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

    /// Returns the plan that was compiled.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// Returns the names of the settings that the plan was compiled for.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Returns the plan's rules for a query class, given by its index in the settings. `None` if the index is out of
    /// range or the plan has no rules for the class.
    pub fn class_rules(&self, class: usize) -> Option<&ClassRules> {
        self.plan.class(self.names.classes.get(class)?)
    }

    /// Returns the distinct endpoint subsets that queries may be restricted to.
    pub fn endpoint_subsets(&self) -> &[EndpointSubset] {
        &self.endpoint_subsets
    }

    /// Returns the index of the first route that matches a query, or `None` if no route matches.
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

    /// Returns the decision of the plan on a query, before limits are applied.
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

    /// Converts a query to the names that the plan uses, for logs and for the plan's own evaluation, which tests
    /// compare with.
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

/// Computes, for each dimension, one row for each value class with the bits of the routes that match it.
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
