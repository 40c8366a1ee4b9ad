//! Limits on what is admitted, of tenants and in general.

use super::routes::{is_client, is_named};
use super::{AddressSet, QueryFacts};
use crate::address::{self, AddressRanges};
use crate::files::Span;
use serde::Serialize;

/// The parameters of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Bucket {
    /// Tokens that are added in a second.
    #[serde(rename = "rate")]
    pub tokens_per_second: f64,
    /// The capacity of the bucket, in tokens.
    #[serde(rename = "burst")]
    pub max_tokens: f64,
}

/// Limits of a tenant; `None` is no limit.
#[derive(Clone, Debug, Serialize)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// The place of the name.
    #[serde(skip)]
    pub span: Span,
    /// The fraction of the gateway's capacity that it may use, 0 to 1.
    pub share: Option<f64>,
    /// Queries in flight.
    #[serde(rename = "in_hand")]
    pub max_in_flight: Option<u64>,
    /// Queries over time.
    pub rate: Option<Bucket>,
    /// Bytes of statements over time.
    pub bytes: Option<Bucket>,
}

/// What a limit is counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Per {
    /// Each query class by itself.
    #[serde(rename = "group")]
    Class,
    /// Each tenant by itself.
    Tenant,
    /// Each client address by itself.
    Client,
}

/// A limit on the queries that fit its conditions; an empty list of conditions fits any query.
#[derive(Clone, Debug, Serialize)]
pub struct Limit {
    /// Its name.
    pub name: String,
    /// The place of the name.
    #[serde(skip)]
    pub span: Span,
    /// What it is counted by; one count for all where it is empty.
    pub per: Vec<Per>,
    /// Counts queries of these classes.
    #[serde(rename = "groups")]
    pub classes: Vec<String>,
    /// Counts queries of these tenants.
    pub tenants: Vec<String>,
    /// Counts queries from an address of these sets, by index.
    pub clients: Vec<usize>,
    /// Queries in flight.
    #[serde(rename = "in_hand")]
    pub max_in_flight: Option<u64>,
    /// Queries over time.
    pub rate: Option<Bucket>,
    /// Bytes of statements over time.
    pub bytes: Option<Bucket>,
}

impl Limit {
    /// Whether the limit counts a query. `sets` are the plan's address sets.
    pub fn applies_to(&self, query: &QueryFacts, sets: &[AddressSet]) -> bool {
        is_named(&self.classes, query.class)
            && is_named(&self.tenants, query.tenant)
            && is_client(&self.clients, query, sets)
    }

    /// Which queries the limit counts, and by what. `sets` are the plan's address sets.
    pub fn scope(&self, sets: &[AddressSet]) -> LimitScope {
        let sets = self.clients.iter().map(|set| &sets[*set]);
        let ranges = sets.flat_map(|set| set.ranges.iter().copied());
        LimitScope {
            per: self.per.clone(),
            classes: sorted(&self.classes),
            tenants: sorted(&self.tenants),
            clients: address::union(ranges.collect()),
        }
    }
}

/// Which queries a limit counts, and by what. It does not depend on the order of names in a plan, nor on the names of
/// address sets, so that limits of two plans can be compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitScope {
    per: Vec<Per>,
    /// In alphabetic order, as often as the plan lists them.
    classes: Vec<String>,
    tenants: Vec<String>,
    clients: AddressRanges,
}

impl LimitScope {
    /// The scope with each name once: a name that a plan repeats does not change which queries are counted.
    pub fn without_repeated_names(mut self) -> LimitScope {
        self.classes.dedup();
        self.tenants.dedup();
        self
    }
}

fn sorted(names: &[String]) -> Vec<String> {
    let mut sorted = names.to_vec();
    sorted.sort_unstable();
    sorted
}
