//! The HTTP server for clients: requests become queries, final answers become responses.
//!
//! The stages of a request, each in a module:
//! 1. Connection: [`accept`](accept()) accepts it, [`client_connections`] has a slot for it, `connection` serves it and
//!    [`client_stream`] is its byte stream.
//! 2. Handler: `submission` takes a request that submits or cancels a query, `streamed_body` one with a long body.
//! 3. Parse: `request_head` checks the head, [`statement`] finds the data set.
//! 4. Admission: [`send_time`] estimates when the client sent the query, `admission` hands it to the scheduler.
//! 5. Response: `responses` has final answers, `submission_error` says why a query is not admitted.
//!
//! The protocol's names of headers and paths stand in `request_head`, `responses` and [`router`] only.

mod accept;
mod admission;
pub mod client_connections;
pub mod client_stream;
mod connection;
mod request_head;
mod responses;
pub mod send_time;
pub mod statement;
mod streamed_body;
mod submission;
mod submission_error;

use crate::engines::Engines;
use crate::http::send_time::SendTimeEstimator;
use crate::phase::Phase;
use crate::scheduling::scheduler::Scheduler;
use crate::storage::query_journal::QueryJournal;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use garnetwall_bodies::Store;
use garnetwall_settings::PlatformSettings;
use responses::error_response;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use submission::{cancel, submit};
use submission_error::SubmissionError;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

pub use accept::accept;

/// How long each of these is waited for: the head of a connection's first request, the rest of the head of its last request,
/// the whole body of any request that is read whole, and each chunk of a streamed body before its query is admitted.
///
/// Protocol: the connection of a client that can't be served closes within 3 s.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// What all request handlers share.
pub struct ServerState {
    /// Admits and cancels queries.
    pub scheduler: Arc<Scheduler>,
    /// Runs the attempts of queries.
    pub engines: Arc<Engines>,
    /// The settings of query classes, and the names of classes and tenants.
    pub platform: PlatformSettings,
    /// Whether the gateway is serving, for the health check.
    pub phase: watch::Receiver<Phase>,
    /// Records non-idempotent queries before they are sent.
    pub journal: Arc<QueryJournal>,
    /// Stores bodies longer than the longest statement that is read whole; without it they are rejected.
    pub body_store: Option<Arc<Store>>,
    /// Estimates when clients sent their queries.
    pub send_times: Mutex<SendTimeEstimator>,
    /// One permit for each byte of the statements that may be in memory at once.
    pub statement_bytes: Arc<Semaphore>,
}

/// The address that a request came from.
#[derive(Clone, Copy, Debug)]
struct ClientAddress(IpAddr);

impl ServerState {
    /// The earliest time, in seconds of the scheduler's clock, at which a query that arrived at `arrived_at` may have been
    /// sent.
    fn earliest_send_time(&self, ordering_key: Option<u64>, arrived_at: f64) -> f64 {
        let open_queries = self.scheduler.open_queries();
        let mut send_times = self
            .send_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        send_times.estimate(ordering_key, arrived_at, open_queries)
    }

    /// Reserves memory for a statement of so many bytes.
    fn reserve_statement_bytes(&self, bytes: u32) -> Result<OwnedSemaphorePermit, SubmissionError> {
        self.statement_bytes
            .clone()
            .try_acquire_many_owned(bytes)
            .map_err(|_| SubmissionError::StatementMemoryFull)
    }
}

/// Routes requests to their handlers.
pub fn router(state: Arc<ServerState>) -> Router {
    Router::new()
        .route("/healthz", get(health))
        .route("/v1/{class}", post(submit).delete(cancel))
        .fallback(|| async { error_response(StatusCode::NOT_FOUND, "no such path") })
        .method_not_allowed_fallback(|| async {
            error_response(StatusCode::METHOD_NOT_ALLOWED, "method not served")
        })
        .with_state(state)
}

async fn health(State(state): State<Arc<ServerState>>) -> Response {
    let phase = *state.phase.borrow();
    match phase {
        Phase::Serving => (StatusCode::OK, "serving\n").into_response(),
        Phase::Starting | Phase::Draining | Phase::Stopped => {
            (StatusCode::SERVICE_UNAVAILABLE, "not serving\n").into_response()
        }
    }
}
