//! What goes to an engine and what comes of it, as plain values.

use crate::scheduling::client_presence::ClientPresence;
use bytes::Bytes;
use garnetwall::api::{AttemptEnd, LoadReport, Progress};
use garnetwall_bodies::Body;
use http::HeaderValue;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// What goes on to an engine unchanged.
#[derive(Debug, PartialEq)]
pub struct Call {
    pub id: HeaderValue,
    pub class: HeaderValue,
    /// What a referenced batch carries against repeats.
    pub idempotency_key: Option<HeaderValue>,
    /// Others must not run beside it: it has a key, in a group that keeps order.
    pub in_order: bool,
    pub statement: Statement,
}

/// A statement, or the body that it still comes in as.
#[derive(Clone)]
pub enum Statement {
    Whole(Bytes),
    Streamed(Arc<Body>),
}

impl PartialEq for Statement {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Statement::Whole(a), Statement::Whole(b)) => a == b,
            (Statement::Streamed(a), Statement::Streamed(b)) => Arc::ptr_eq(a, b),
            _ => false,
        }
    }
}

impl std::fmt::Debug for Statement {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Statement::Whole(bytes) => write!(f, "{} bytes", bytes.len()),
            Statement::Streamed(body) => write!(f, "a body of {:?} bytes", body.length()),
        }
    }
}

/// How a dispatch ended, and what was told with it.
#[derive(Debug)]
pub struct AttemptResult {
    pub end: AttemptEnd,
    pub pages: Vec<Bytes>,
    pub work: Option<f64>,
    pub memory: Option<f64>,
    pub report: Option<LoadReport>,
}

impl AttemptResult {
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

/// What is still wanted of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancellationState {
    /// Its answer.
    NotRequested,
    /// Its answer, if it has been started: the client has gone, and nothing is sent for a batch after its end.
    IfNotStarted,
    /// That it is given up, or else its answer if that comes first.
    Requested,
    /// That it is given up: its batch has its answer.
    QueryFinished,
}

impl CancellationState {
    /// Whether it is still asked for.
    pub(super) fn allows_polling(self) -> bool {
        matches!(
            self,
            CancellationState::NotRequested | CancellationState::IfNotStarted
        )
    }
}

/// What is told of a dispatch that is out, to who waits for its end.
pub struct AttemptEvents {
    /// How it looks where its end is not known.
    pub unknown_outcome: watch::Sender<Option<AttemptEnd>>,
    /// The last note of it.
    pub progress: watch::Sender<Option<Progress>>,
}

/// How a dispatch is started.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// It is not the first of its batch.
    pub is_retry: bool,
    /// Nobody waits for it from then on.
    pub response_deadline: Instant,
    /// It has come whole by then, or is not sent.
    pub send_deadline: Instant,
    /// Whether a client waits for its batch.
    pub client_presence: ClientPresence,
}
