//! Routes: which queries they match, and where those go.

use super::{AddressSet, QueryFacts};
use crate::files::Span;
use crate::quantity::{MinuteRange, NumberRange, MINUTES_PER_DAY};
use serde::Serialize;

/// A rule on where queries go. An empty list of conditions matches any query.
#[derive(Clone, Debug, Serialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The place of the name.
    #[serde(skip)]
    pub span: Span,
    /// Matches queries of these classes.
    #[serde(rename = "groups")]
    pub classes: Vec<String>,
    /// Matches queries of these tenants.
    pub tenants: Vec<String>,
    /// Matches clients at an address of these sets, by index.
    pub clients: Vec<usize>,
    /// Matches queries with a key, or those without.
    #[serde(rename = "key")]
    pub has_key: Option<bool>,
    /// Matches data sets by their number.
    pub data_sets: Vec<NumberRange>,
    /// Matches queries that arrive at these times of day.
    #[serde(rename = "hours")]
    pub times_of_day: Vec<MinuteRange>,
    /// The pools that the queries go to, by index, in order of preference; all engines where it is empty.
    #[serde(rename = "to")]
    pub pools: Vec<usize>,
    /// The place of the entry that names the pools.
    #[serde(skip)]
    pub pools_span: Option<Span>,
    /// The class that the queries are treated as.
    #[serde(rename = "as_group")]
    pub as_class: Option<String>,
    /// The place of the entry that names this class.
    #[serde(skip)]
    pub as_span: Option<Span>,
    /// The queries are rejected with this reason.
    #[serde(rename = "refuse")]
    pub reject_reason: Option<String>,
}

impl Route {
    /// Whether the route matches queries at a minute of the day.
    pub fn is_open_at(&self, minute: u32) -> bool {
        let mut ranges = self.times_of_day.iter();
        self.times_of_day.is_empty() || ranges.any(|range| range.contains(minute))
    }

    /// Whether the route treats its queries as a class.
    pub(crate) fn treats_as(&self, class: &str) -> bool {
        self.as_class.as_deref() == Some(class)
    }

    /// The name of the first entry that a query does not meet; `None` where the route matches it. `sets` are the
    /// plan's address sets.
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
        } else if !self.is_open_at(query.minute_of_day % MINUTES_PER_DAY) {
            Some("hours")
        } else {
            None
        }
    }
}

/// Whether a name is in a list; an empty list has every name.
pub(super) fn is_named(names: &[String], name: &str) -> bool {
    names.is_empty() || names.iter().any(|other| other == name)
}

/// Whether a query's client is in one of some address sets, given by index; in any where none is given.
pub(super) fn is_client(clients: &[usize], query: &QueryFacts, sets: &[AddressSet]) -> bool {
    let contains = |set: &usize| {
        let set = sets.get(*set);
        set.is_some_and(|set| set.contains(query.client))
    };
    clients.is_empty() || clients.iter().any(contains)
}
