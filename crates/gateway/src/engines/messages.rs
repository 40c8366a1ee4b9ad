//! Values that are sent to an engine and that come back from it.

use super::client_presence::ClientPresence;
use crate::system::result_memory::ResultReservation;
use bytes::Bytes;
use garnetwall::api::{AttemptEnd, LoadReport, Progress};
use garnetwall_bodies::Body;
use http::HeaderValue;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A query as it is forwarded to engines, unchanged.
#[derive(Debug, PartialEq)]
pub struct ForwardedQuery {
    /// The query key, as the client sent it.
    pub query_key: HeaderValue,
    /// The name of the query's class.
    pub class: HeaderValue,
    /// The key by which engines detect a repeated query; set if the query is idempotent by key.
    pub idempotency_key: Option<HeaderValue>,
    /// Whether the query must not overlap others of its ordering key: it has one, and its class is in order.
    pub in_order: bool,
    /// The query's text.
    pub statement: Statement,
}

/// A statement, either received completely or still being received from the client.
#[derive(Clone)]
pub enum Statement {
    /// The statement, received completely.
    Complete(Bytes),
    /// The body from which the statement is still being received.
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
            Statement::Streamed(body) => write!(f, "streamed body of {:?} bytes", body.length()),
        }
    }
}

/// The end of an attempt and the values that its engine reported with it.
#[derive(Debug)]
pub struct AttemptResult {
    /// The way in which the attempt ended.
    pub end: AttemptEnd,
    /// The pages of the result that were fetched, in order.
    pub pages: Vec<Bytes>,
    /// Work done, in seconds; `None` if the engine reported none.
    pub work: Option<f64>,
    /// Memory used, in megabytes; `None` if the engine reported none.
    pub memory: Option<f64>,
    /// The engine's load report, if one came with the response.
    pub report: Option<LoadReport>,
    /// The memory reserved for the pages.
    pub page_memory: Option<ResultReservation>,
    /// The time for which the attempt waited for that memory, through no fault of its engine.
    pub memory_wait: Duration,
}

impl AttemptResult {
    /// An attempt that ended without a result or a load report.
    pub fn from_end(end: AttemptEnd) -> Self {
        AttemptResult {
            end,
            pages: Vec::new(),
            work: None,
            memory: None,
            report: None,
            page_memory: None,
            memory_wait: Duration::ZERO,
        }
    }
}

/// Whether an attempt is to be cancelled, and under which conditions. The state only ever advances, in the order of the
/// variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancellationState {
    /// The response is wanted.
    NotRequested,
    /// The client has left. The response is wanted if the request has been sent completely; otherwise nothing more of
    /// it is sent.
    UnlessSent,
    /// The attempt is cancelled unless its response arrives first.
    Requested,
    /// The attempt is cancelled because its query needs no response any more: the query has been answered, its answer
    /// is due, or its client has left.
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

/// Channels on which an attempt in flight reports to the task that waits for its end.
pub struct AttemptEvents {
    /// The apparent end of the attempt; set when its outcome becomes unknown.
    pub unknown_outcome: watch::Sender<Option<AttemptEnd>>,
    /// The latest progress event.
    pub progress: watch::Sender<Option<Progress>>,
}

/// Parameters of the start of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// Whether an earlier attempt of the query was begun.
    pub is_retry: bool,
    /// The time after which nobody waits for the response. The engine is told the time that remains until then.
    pub response_deadline: Instant,
    /// The time by which the request must have been sent completely. It is not sent after that.
    pub send_deadline: Instant,
    /// Flag that tells whether a client waits for the query. The request is not sent while none does.
    pub client_presence: ClientPresence,
}
