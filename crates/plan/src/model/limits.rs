//! Defines limits on the admission of queries: limits of tenants and general limits.

use super::routes::{is_client, is_named};
use super::{AddressSet, QueryFacts};
use crate::address::{self, AddressRanges};
use crate::files::Span;
use serde::Serialize;

/// Parameters of a token bucket. A token is a query or a byte, depending on the limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Bucket {
    /// Tokens added per second.
    #[serde(rename = "rate")]
    pub tokens_per_second: f64,
    /// Capacity of the bucket in tokens.
    #[serde(rename = "burst")]
    pub max_tokens: f64,
}

/// Limits of a tenant; `None` means no limit.
#[derive(Clone, Debug, Serialize)]
pub struct Tenant {
    /// Name of the tenant, as in the settings.
    pub name: String,
    /// Span of the name in the plan.
    #[serde(skip)]
    pub span: Span,
    /// Maximum fraction of the gateway's capacity for queries that the tenant may use, 0 to 1.
    pub share: Option<f64>,
    /// Maximum number of queries in flight at one gateway.
    #[serde(rename = "in_hand")]
    pub max_in_flight: Option<u64>,
    /// Maximum rate of admitted queries.
    pub rate: Option<Bucket>,
    /// Maximum rate of statement bytes.
    pub bytes: Option<Bucket>,
}

/// Attribute of queries by which a limit counts them separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum LimitDimension {
    /// One count for each query class.
    #[serde(rename = "group")]
    Class,
    /// One count for each tenant.
    Tenant,
    /// One count for each client address.
    Client,
}

/// A limit on the queries that match all its conditions; an empty list of conditions matches any query.
#[derive(Clone, Debug, Serialize)]
pub struct Limit {
    /// Unique name of the limit.
    pub name: String,
    /// Span of the name in the plan.
    #[serde(skip)]
    pub span: Span,
    /// Attributes by which queries are counted separately; empty for one count of all queries.
    pub per: Vec<LimitDimension>,
    /// Matches queries of these classes.
    #[serde(rename = "groups")]
    pub classes: Vec<String>,
    /// Matches queries of these tenants.
    pub tenants: Vec<String>,
    /// Matches queries from clients in these address sets, by index.
    pub clients: Vec<usize>,
    /// Maximum number of queries in flight at one gateway.
    #[serde(rename = "in_hand")]
    pub max_in_flight: Option<u64>,
    /// Maximum rate of admitted queries.
    pub rate: Option<Bucket>,
    /// Maximum rate of statement bytes.
    pub bytes: Option<Bucket>,
}

impl Limit {
    /// Returns whether the limit counts a query. `sets` are the plan's address sets.
    pub fn applies_to(&self, query: &QueryFacts, sets: &[AddressSet]) -> bool {
        is_named(&self.classes, query.class)
            && is_named(&self.tenants, query.tenant)
            && is_client(&self.clients, query, sets)
    }

    /// Returns the queries that the limit counts and the attributes it counts them by. `sets` are the plan's address
    /// sets.
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

/// The queries that a limit counts and the attributes it counts them by.
///
/// The value does not depend on the order of names in a plan or on the names of address sets, so that limits of two
/// plans can be compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitScope {
    per: Vec<LimitDimension>,
    /// Names in alphabetical order, including repetitions.
    classes: Vec<String>,
    tenants: Vec<String>,
    clients: AddressRanges,
}

impl LimitScope {
    /// Removes repeated names from the scope. A repeated name in a plan does not change which queries are counted.
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
