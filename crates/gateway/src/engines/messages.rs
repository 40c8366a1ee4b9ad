//! What is sent to an engine and what comes back, as plain values.

use super::client_presence::ClientPresence;
use bytes::Bytes;
use garnetwall::api::{AttemptEnd, LoadReport, Progress};
use garnetwall_bodies::Body;
use http::HeaderValue;
use std::fmt;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// A query as it is forwarded to engines, unchanged.
#[derive(Debug, PartialEq)]
pub struct ForwardedQuery {
    /// The client's key of the query, as it sent it.
    pub query_key: HeaderValue,
    /// The name of the query's class.
    pub class: HeaderValue,
    /// The key by which engines detect a repeated query; set where the query is idempotent by key.
    pub idempotency_key: Option<HeaderValue>,
    /// It must not overlap others: it has a key, in a class that keeps order.
    pub in_order: bool,
    /// The query's text.
    pub statement: Statement,
}

/// A statement that was received completely, or the body that it is still being received as.
#[derive(Clone)]
pub enum Statement {
    /// Received completely.
    Complete(Bytes),
    /// Still being received.
    Streamed(Arc<Body>),
}

impl PartialEq for Statement {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Statement::Complete(a), Statement::Complete(b)) => a == b,
            (Statement::Streamed(a), Statement::Streamed(b)) => Arc::ptr_eq(a, b),
            _ => false,
        }
    }
}

impl fmt::Debug for Statement {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Statement::Complete(bytes) => write!(f, "{} bytes", bytes.len()),
            Statement::Streamed(body) => write!(f, "a body of {:?} bytes", body.length()),
        }
    }
}

/// How an attempt ended, and what its engine reported with it.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub end: AttemptEnd,
    /// The pages of the result that were fetched.
    pub pages: Vec<Bytes>,
    /// Work done, in seconds.
    pub work: Option<f64>,
    /// Memory used, in megabytes.
    pub memory: Option<f64>,
    /// The engine's load report.
    pub report: Option<LoadReport>,
}

impl AttemptResult {
    /// An end without a result or a report.
    pub fn of(end: AttemptEnd) -> Self {
        AttemptResult {
            end,
            pages: Vec::new(),
            work: None,
            memory: None,
            report: None,
        }
    }
}

/// Whether an attempt is to be cancelled, and how far. Only ever moves on in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancellationState {
    /// The response is wanted.
    NotRequested,
    /// The response is wanted if the request has been sent completely, otherwise nothing is sent any more: the client has
    /// left.
    UnlessSent,
    /// The attempt is cancelled unless its response comes first.
    Requested,
    /// The attempt is cancelled: its query has been answered.
    QueryFinished,
}

impl CancellationState {
    /// Whether the attempt may still be polled for its response.
    pub(super) fn allows_polling(self) -> bool {
        match self {
            CancellationState::NotRequested | CancellationState::UnlessSent => true,
            CancellationState::Requested | CancellationState::QueryFinished => false,
        }
    }
}

/// Where an attempt in flight reports to the task that waits for its end.
pub struct AttemptEvents {
    /// How the attempt appears to have ended, once its outcome is unknown.
    pub unknown_outcome: watch::Sender<Option<AttemptEnd>>,
    /// The latest progress event.
    pub progress: watch::Sender<Option<Progress>>,
}

/// How an attempt is started.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// It is not the first attempt of its query.
    pub is_retry: bool,
    /// From when on nobody waits for the response. The engine is told the time that remains until then.
    pub response_deadline: Instant,
    /// By when the request has been sent completely; it is not sent otherwise.
    pub send_deadline: Instant,
    /// Whether a client waits for the query; nothing is sent while none does.
    pub client_presence: ClientPresence,
}
