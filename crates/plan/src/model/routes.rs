//! Defines routes, which select queries by conditions and send them to pools.

use super::{AddressSet, QueryFacts};
use crate::files::Span;
use crate::quantity::{MinuteRange, NumberRange, MINUTES_PER_DAY};
use serde::Serialize;

/// A rule that sends the queries matching all its conditions to pools, or rejects them. An empty list of conditions
/// matches any query.
#[derive(Clone, Debug, Serialize)]
pub struct Route {
    /// Unique name of the route.
    pub name: String,
    /// Span of the name in the plan.
    #[serde(skip)]
    pub span: Span,
    /// Matches queries of these classes.
    #[serde(rename = "groups")]
    pub classes: Vec<String>,
    /// Matches queries of these tenants.
    pub tenants: Vec<String>,
    /// Matches queries from clients in these address sets, by index.
    pub clients: Vec<usize>,
    /// Matches queries with an ordering key (`true`) or without one (`false`); `None` matches both.
    #[serde(rename = "key")]
    pub has_key: Option<bool>,
    /// Matches queries on data sets with these numbers.
    pub data_sets: Vec<NumberRange>,
    /// Matches queries that arrive at these times of day, UTC.
    #[serde(rename = "hours")]
    pub times_of_day: Vec<MinuteRange>,
    /// Indices of the pools that the queries are sent to, in order of preference; empty for all engines.
    #[serde(rename = "to")]
    pub pools: Vec<usize>,
    /// Span of the entry that names the pools.
    #[serde(skip)]
    pub pools_span: Option<Span>,
    /// Query class that the queries are treated as; `None` for their own class.
    #[serde(rename = "as_group")]
    pub as_class: Option<String>,
    /// Span of the entry that names this class.
    #[serde(skip)]
    pub as_span: Option<Span>,
    /// Reason with which the queries are rejected; `None` if they are not rejected.
    #[serde(rename = "refuse")]
    pub reject_reason: Option<String>,
}

impl Route {
    /// Returns whether the route matches queries that arrive at this minute of the day, UTC.
    pub fn matches_minute(&self, minute: u32) -> bool {
        let mut ranges = self.times_of_day.iter();
        self.times_of_day.is_empty() || ranges.any(|range| range.contains(minute))
    }

    /// Returns whether the route treats its queries as the given class.
    pub(crate) fn treats_as(&self, class: &str) -> bool {
        self.as_class.as_deref() == Some(class)
    }

    /// Returns the name of the first entry that a query does not match; `None` if the route matches the query. `sets`
    /// are the plan's address sets.
    pub fn first_unmet_entry(
        &self,
        query: &QueryFacts,
        sets: &[AddressSet],
    ) -> Option<&'static str> {
        let has_data_set = |range: &NumberRange| range.contains(query.data_set);
        if !is_named(&self.classes, query.class) {
            Some("group")
        } else if !is_named(&self.tenants, query.tenant) {
            Some("tenant")
        } else if !is_client(&self.clients, query, sets) {
            Some("client")
        } else if self.has_key.is_some_and(|has_key| has_key != query.has_key) {
            Some("key")
        } else if !self.data_sets.is_empty() && !self.data_sets.iter().any(has_data_set) {
            Some("data-set")
        } else if !self.matches_minute(query.minute_of_day % MINUTES_PER_DAY) {
            Some("hours")
        } else {
            None
        }
    }
}

/// Returns whether a list contains a name; an empty list stands for all names.
pub(super) fn is_named(names: &[String], name: &str) -> bool {
    names.is_empty() || names.iter().any(|other| other == name)
}

/// Returns whether the client of a query is in one of the address sets with the indices `clients`; an empty list stands
/// for all clients.
pub(super) fn is_client(clients: &[usize], query: &QueryFacts, sets: &[AddressSet]) -> bool {
    let contains = |set: &usize| {
        let set = sets.get(*set);
        set.is_some_and(|set| set.contains(query.client))
    };
    clients.is_empty() || clients.iter().any(contains)
}
