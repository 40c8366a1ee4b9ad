//! Rules of query classes.

use crate::files::Span;
use serde::{Serialize, Serializer};
use std::time::Duration;

/// The window over which the retries of a class are counted, in seconds.
pub const RETRY_WINDOW_SECONDS: f64 = 60.0;
/// Retries that a class may always make within the window.
pub const RETRY_FLOOR: f64 = 1.0;

/// Rules of a query class; what is not given stays as the settings have it.
#[derive(Clone, Debug, Serialize)]
pub struct ClassRules {
    /// The name of the class.
    pub name: String,
    /// The place of the name.
    #[serde(skip)]
    pub span: Span,
    /// The response time to aim for.
    #[serde(rename = "goal", serialize_with = "maybe_seconds")]
    pub latency_objective: Option<Duration>,
    /// The time after which a query is of no use.
    #[serde(rename = "limit", serialize_with = "maybe_seconds")]
    pub deadline: Option<Duration>,
    /// The only pools that its queries may run in; any where it is empty.
    pub pools: Vec<usize>,
    /// The place of the entry that names the pools.
    #[serde(skip)]
    pub pools_span: Option<Span>,
    /// Whether queries of one key run one at a time, in order.
    pub in_order: Option<bool>,
    /// Whether a query that may have run may run again.
    #[serde(rename = "effect")]
    pub idempotency: Option<Idempotency>,
    /// Retries within the window, as a fraction of the queries.
    #[serde(rename = "further")]
    pub retries_per_query: Option<f64>,
    /// The longest statement, in bytes.
    #[serde(rename = "statement")]
    pub max_statement_bytes: Option<u64>,
}

/// Whether a query that may have run may run again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Idempotency {
    /// It may.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// It may where its repetition is recognized by its key.
    #[serde(rename = "referenced")]
    IdempotentByKey {
        /// Which engines recognize it.
        scope: DeduplicationScope,
        /// For how long they do.
        #[serde(serialize_with = "seconds")]
        window: Duration,
    },
    /// It may not.
    #[serde(rename = "once-only")]
    NonIdempotent,
}

/// The engines among which a repeated query is recognized by its key, widest scope first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All engines.
    Everywhere,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

impl Idempotency {
    /// Whether the other one allows every repetition that this one allows.
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
