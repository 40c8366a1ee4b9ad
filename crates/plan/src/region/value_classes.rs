//! Groups the values of each dimension into value classes that a set of plans does not distinguish.

use super::{Dimension, Point, Region};
use crate::address::AddressClasses;
use crate::model::{Plan, QueryFacts, Route};
use crate::quantity::MINUTES_PER_DAY;
use fixedbitset::FixedBitSet;
use std::collections::HashMap;

/// Number of classes of the key dimension: with and without an ordering key.
const KEY_CLASSES: usize = 2;
/// Value class of queries with an ordering key; queries without one are in class 0.
pub(super) const WITH_KEY: usize = 1;

/// Value classes of names. Each name that a plan uses has a class of its own; all other names share the last class.
#[derive(Clone, Debug, Default)]
pub(super) struct NameClasses(HashMap<String, usize>);

impl NameClasses {
    fn of<'a>(names: impl Iterator<Item = &'a String>) -> Self {
        let mut classes = HashMap::new();
        for name in names {
            let next = classes.len();
            classes.entry(name.clone()).or_insert(next);
        }
        NameClasses(classes)
    }

    fn class(&self, name: &str) -> usize {
        self.0.get(name).copied().unwrap_or(self.0.len())
    }

    fn count(&self) -> usize {
        self.0.len() + 1
    }

    pub(super) fn name(&self, class: usize) -> Option<&str> {
        let found = self.0.iter().find(|(_, other)| **other == class);
        found.map(|(name, _)| name.as_str())
    }
}

/// The value classes that one or several plans distinguish. The plans treat two queries alike if their value classes
/// are equal in every dimension.
#[derive(Clone, Debug)]
pub struct ValueClasses {
    pub(super) query_classes: NameClasses,
    pub(super) tenants: NameClasses,
    /// Address classes over the address sets of all plans, in the order of the plans.
    pub(super) clients: AddressClasses,
    /// Lowest data set number of each class, ascending from 0.
    pub(super) data_sets: Vec<u32>,
    /// First minute of the day of each class, ascending from 0.
    pub(super) minutes_of_day: Vec<u32>,
}

impl ValueClasses {
    /// Computes the value classes that `plans` distinguish together. The names in `query_classes` and `tenants` get
    /// classes of their own, even if no plan uses them.
    pub fn of(plans: &[&Plan], query_classes: &[String], tenants: &[String]) -> Self {
        let sets = plans.iter().flat_map(|plan| &plan.addresses);
        let address_sets: Vec<_> = sets.map(|set| set.ranges.clone()).collect();
        let routes = || plans.iter().flat_map(|plan| &plan.routes);
        let data_set_bounds = routes()
            .flat_map(|route| &route.data_sets)
            .flat_map(|range| [Some(range.first), range.last.checked_add(1)])
            .flatten();
        let minute_bounds = routes()
            .flat_map(|route| &route.times_of_day)
            .flat_map(|range| [range.from, range.until])
            .filter(|minute| *minute < MINUTES_PER_DAY);
        ValueClasses {
            query_classes: NameClasses::of(class_names(plans).chain(query_classes)),
            tenants: NameClasses::of(tenant_names(plans).chain(tenants)),
            clients: AddressClasses::new(&address_sets),
            data_sets: sorted_from_0(data_set_bounds),
            minutes_of_day: sorted_from_0(minute_bounds),
        }
    }

    /// Returns the number of value classes of each dimension.
    pub fn counts(&self) -> Point {
        [
            self.query_classes.count(),
            self.tenants.count(),
            self.clients.count(),
            KEY_CLASSES,
            self.data_sets.len(),
            self.minutes_of_day.len(),
        ]
    }

    /// Returns the value class of a query class.
    pub fn query_class(&self, name: &str) -> usize {
        self.query_classes.class(name)
    }

    /// Returns the value class of a tenant.
    pub fn tenant(&self, name: &str) -> usize {
        self.tenants.class(name)
    }

    /// Returns the value classes of client addresses.
    pub fn clients(&self) -> &AddressClasses {
        &self.clients
    }

    /// Returns the value class of a data set number.
    pub fn data_set(&self, data_set: u32) -> usize {
        self.data_sets.partition_point(|from| *from <= data_set) - 1
    }

    /// Returns the value class of a minute of the day.
    pub fn minute_of_day(&self, minute: u32) -> usize {
        self.minutes_of_day.partition_point(|from| *from <= minute) - 1
    }

    /// Returns the value classes of a query in all dimensions.
    pub fn point(&self, query: &QueryFacts) -> Point {
        [
            self.query_class(query.class),
            self.tenant(query.tenant),
            self.clients.class(query.client),
            usize::from(query.has_key),
            self.data_set(query.data_set),
            self.minute_of_day(query.minute_of_day),
        ]
    }

    /// Returns the region of queries that match a route. `first_set` is the index of its plan's first address set among
    /// the address sets of all plans.
    pub fn region(&self, route: &Route, first_set: usize) -> Region {
        let counts = self.counts();
        Dimension::ALL.map(|dimension| {
            let count = counts[dimension.index()];
            let matches = |class: &usize| self.matches(route, first_set, dimension, *class);
            let mut classes = FixedBitSet::with_capacity(count);
            classes.extend((0..count).filter(matches));
            classes
        })
    }

    /// Returns whether a route matches the values of one class of a dimension.
    fn matches(&self, route: &Route, first_set: usize, dimension: Dimension, class: usize) -> bool {
        match dimension {
            Dimension::QueryClass => is_listed(&self.query_classes, &route.classes, class),
            Dimension::Tenant => is_listed(&self.tenants, &route.tenants, class),
            Dimension::Client => {
                route.clients.is_empty() || self.is_client(route, first_set, class)
            }
            Dimension::Key => route
                .has_key
                .is_none_or(|has_key| has_key == (class == WITH_KEY)),
            Dimension::DataSet => route.data_sets.is_empty() || self.is_data_set(route, class),
            Dimension::MinuteOfDay => route.matches_minute(self.minutes_of_day[class]),
        }
    }

    fn is_client(&self, route: &Route, first_set: usize, class: usize) -> bool {
        let sets = self.clients.members(class);
        let clients = &route.clients;
        clients.iter().any(|set| sets.contains(first_set + set))
    }

    fn is_data_set(&self, route: &Route, class: usize) -> bool {
        let data_set = self.data_sets[class];
        let mut ranges = route.data_sets.iter();
        ranges.any(|range| range.contains(data_set))
    }
}

/// Returns whether a value class belongs to one of the listed names; an empty list stands for all names.
fn is_listed(names: &NameClasses, listed: &[String], class: usize) -> bool {
    listed.is_empty() || listed.iter().any(|name| names.class(name) == class)
}

/// Returns the query classes that plans name, those in routes first.
fn class_names<'a>(plans: &'a [&Plan]) -> impl Iterator<Item = &'a String> {
    let routes = plans.iter().flat_map(|plan| &plan.routes);
    let limits = plans.iter().flat_map(|plan| &plan.limits);
    let rules = plans.iter().flat_map(|plan| &plan.classes);
    routes
        .flat_map(|route| route.classes.iter().chain(&route.as_class))
        .chain(limits.flat_map(|limit| &limit.classes))
        .chain(rules.map(|class| &class.name))
}

/// Returns the tenants that plans name, those in routes first.
fn tenant_names<'a>(plans: &'a [&Plan]) -> impl Iterator<Item = &'a String> {
    let routes = plans.iter().flat_map(|plan| &plan.routes);
    let limits = plans.iter().flat_map(|plan| &plan.limits);
    let tenants = plans.iter().flat_map(|plan| &plan.tenants);
    routes
        .flat_map(|route| &route.tenants)
        .chain(limits.flat_map(|limit| &limit.tenants))
        .chain(tenants.map(|tenant| &tenant.name))
}

/// Returns 0 and the bounds in ascending order without duplicates.
fn sorted_from_0(bounds: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut sorted: Vec<u32> = std::iter::once(0).chain(bounds).collect();
    sorted.sort_unstable();
    sorted.dedup();
    sorted
}
