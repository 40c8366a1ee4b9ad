//! Defines the rules of query classes.

use crate::files::Span;
use serde::{Serialize, Serializer};
use std::time::Duration;

/// Length in seconds of the window over which the retries of a class are counted.
pub const RETRY_WINDOW_SECONDS: f64 = 60.0;
/// Number of retries that a class may always make within the window, regardless of its number of queries.
pub const RETRY_FLOOR: f64 = 1.0;

/// Rules of a query class. For a rule that is `None`, the settings apply.
#[derive(Clone, Debug, Serialize)]
pub struct ClassRules {
    /// Name of the query class, as in the settings.
    pub name: String,
    /// Span of the name in the plan.
    #[serde(skip)]
    pub span: Span,
    /// Target response time.
    #[serde(rename = "goal", serialize_with = "maybe_seconds")]
    pub latency_objective: Option<Duration>,
    /// Time after which the response to a query is no longer useful.
    #[serde(rename = "limit", serialize_with = "maybe_seconds")]
    pub deadline: Option<Duration>,
    /// Indices of the pools that queries of the class are restricted to; empty for no restriction.
    pub pools: Vec<usize>,
    /// Span of the entry that names the pools.
    #[serde(skip)]
    pub pools_span: Option<Span>,
    /// Whether queries with the same ordering key run one at a time, in order.
    pub in_order: Option<bool>,
    /// Whether a query that may already have run may run again.
    #[serde(rename = "effect")]
    pub idempotency: Option<Idempotency>,
    /// Retries allowed within [`RETRY_WINDOW_SECONDS`], as a fraction of the queries in it, 0 to 1.
    #[serde(rename = "further")]
    pub retries_per_query: Option<f64>,
    /// Maximum length of a statement in bytes.
    #[serde(rename = "statement")]
    pub max_statement_bytes: Option<u64>,
}

/// Whether a query that may already have run may run again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Idempotency {
    /// Repeating the query has no further effect, so it may always run again.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// The query may run again on engines that recognize the repetition by its idempotency key.
    #[serde(rename = "referenced")]
    IdempotentByKey {
        /// Engines among which a repetition is recognized.
        scope: DeduplicationScope,
        /// Deduplication window: time for which a repetition is recognized.
        #[serde(serialize_with = "seconds")]
        window: Duration,
    },
    /// The query must not run again.
    #[serde(rename = "once-only")]
    NonIdempotent,
}

/// Engines among which a repeated query is recognized by its idempotency key, from the widest to the narrowest scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// Any two engines.
    Everywhere,
    /// Engines of the same zone.
    Zone,
    /// Engines of the same cell.
    Cell,
}

impl Idempotency {
    /// Returns whether `other` allows every repetition that `self` allows.
    pub fn narrows(&self, other: &Idempotency) -> bool {
        use Idempotency::{Idempotent, IdempotentByKey, NonIdempotent};
        match (self, other) {
            (NonIdempotent, _) | (_, Idempotent) => true,
            (Idempotent, _) | (_, NonIdempotent) => false,
            (
                IdempotentByKey { scope, window },
                IdempotentByKey {
                    scope: other_scope,
                    window: other_window,
                },
            ) => scope >= other_scope && window <= other_window,
        }
    }
}

fn seconds<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(time.as_secs_f64())
}

fn maybe_seconds<S: Serializer>(time: &Option<Duration>, serializer: S) -> Result<S::Ok, S::Error> {
    match time {
        Some(time) => seconds(time, serializer),
        None => serializer.serialize_none(),
    }
}
