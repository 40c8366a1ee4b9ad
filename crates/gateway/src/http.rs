//! Serves HTTP to clients: turns requests into queries, and final answers into responses.
//!
//! A request passes through these stages:
//! 1. Connection: [`accept`] accepts the connection, [`client_connections`] limits how many are open, `connection`
//!    serves it, and [`client_stream`] reads and writes its bytes.
//! 2. Handler: `submission` handles requests that submit or cancel a query, and passes long bodies to `streamed_body`.
//! 3. Parse: `request_head` checks the request head, and [`statement`] finds the data set in the SQL statement.
//! 4. Admission: [`send_time`] estimates when the client sent the query, [`arrival_order`] gives requests their turn in
//!    the order of their arrival, [`cancellations`] holds those that come before their queries, and `admission` passes the
//!    query to the scheduler.
//! 5. Response: `responses` builds the responses, and `submission_error` maps each reason for not admitting a query to
//!    one.
//!
//! Header names and paths of the client protocol are defined only in `request_head`, `responses` and [`router`].

pub mod accept;
mod admission;
pub mod arrival_order;
pub mod cancellations;
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
use crate::http::arrival_order::ArrivalOrder;
use crate::http::cancellations::PendingCancellations;
use crate::http::send_time::SendTimeEstimator;
use crate::phase::Phase;
use crate::scheduling::scheduler::Scheduler;
use crate::storage::query_journal::QueryJournal;
use crate::supervision::{Supervisor, Task};
use crate::system::result_memory::ResultMemory;
use axum::extract::State;
use axum::http::header::CONTENT_TYPE;
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

/// Maximum time to read the head of a connection's first request, the rest of a head that has arrived in part when the
/// gateway closes the connection, a body that is read whole, or one chunk of a streamed body before its query is
/// admitted.
///
/// The protocol requires that the connection of a client that cannot be served is closed within 3 s.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Media type of the page of metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// State shared by all request handlers.
pub struct ServerState {
    /// Admits and cancels queries.
    pub scheduler: Arc<Scheduler>,
    /// Runs the attempts of queries.
    pub engines: Arc<Engines>,
    /// Settings of the query classes, and the configured names of classes and tenants.
    pub platform: PlatformSettings,
    /// Current phase of the gateway; the health check reports whether it is serving.
    pub phase: watch::Receiver<Phase>,
    /// Records non-idempotent queries before they are sent.
    pub journal: Arc<QueryJournal>,
    /// Stores bodies that are longer than the longest statement that is read whole, or of unknown length. `None` if the
    /// plan configures no body store; such bodies are then rejected.
    pub body_store: Option<Arc<Store>>,
    /// Gives requests whose order matters their turn.
    pub arrival_order: Arc<ArrivalOrder>,
    /// Cancellations whose queries have not been admitted yet.
    pub cancellations: PendingCancellations,
    /// The longest time that a query allows.
    pub longest_deadline: Duration,
    /// Estimates when clients sent their queries.
    pub send_time_estimator: Mutex<SendTimeEstimator>,
    /// Records panics of request handlers, and holds the counters that the gateway exports.
    pub supervisor: Supervisor,
    /// Memory budget for statements: one permit per byte.
    pub statement_memory: Arc<Semaphore>,
    /// Memory budget for answers.
    pub answer_memory: ResultMemory,
}

/// IP address of the client that sent a request.
#[derive(Clone, Copy, Debug)]
struct ClientAddress(IpAddr);

impl ServerState {
    /// Returns the earliest time at which the client may have sent a query that arrived at `arrived_at`. Both times are
    /// in seconds on the scheduler's clock.
    fn earliest_send_time(&self, ordering_key: Option<u64>, arrived_at: f64) -> f64 {
        let open_queries = self.scheduler.open_queries();
        let mut send_time_estimator = self
            .send_time_estimator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        send_time_estimator.estimate(ordering_key, arrived_at, open_queries)
    }

    /// Reserves `bytes` of the memory budget for statements until the permit is dropped. Fails at once if fewer bytes
    /// are free.
    fn reserve_statement_bytes(&self, bytes: u32) -> Result<OwnedSemaphorePermit, SubmissionError> {
        self.statement_memory
            .clone()
            .try_acquire_many_owned(bytes)
            .map_err(|_| SubmissionError::StatementMemoryFull)
    }
}

/// Returns the router that maps the paths and methods of the client protocol to their handlers.
pub fn router(state: Arc<ServerState>) -> Router {
    Router::new()
        .route("/healthz", get(health))
        .route("/metrics", get(metrics))
        .route("/v1/{class}", post(submit).delete(cancel))
        .fallback(|| async { error_response(StatusCode::NOT_FOUND, "no such path") })
        .method_not_allowed_fallback(|| async {
            error_response(StatusCode::METHOD_NOT_ALLOWED, "method not served")
        })
        .with_state(state)
}

/// Whether the gateway serves, and if not, the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Readiness {
    Ready,
    /// The gateway starts, drains or has stopped.
    NotServing,
    /// The gateway serves, but panics of these kinds of task repeat.
    TasksPanicking(Vec<Task>),
}

impl Readiness {
    fn of(state: &ServerState) -> Self {
        if *state.phase.borrow() != Phase::Serving {
            return Readiness::NotServing;
        }
        let panicking = state.supervisor.panicking_tasks();
        match panicking.is_empty() {
            true => Readiness::Ready,
            false => Readiness::TasksPanicking(panicking),
        }
    }
}

async fn health(State(state): State<Arc<ServerState>>) -> Response {
    match Readiness::of(&state) {
        Readiness::Ready => (StatusCode::OK, "serving\n").into_response(),
        Readiness::NotServing => (StatusCode::SERVICE_UNAVAILABLE, "not serving\n").into_response(),
        Readiness::TasksPanicking(tasks) => {
            let text = format!("not ready: these tasks panic repeatedly: {tasks:?}\n");
            (StatusCode::SERVICE_UNAVAILABLE, text).into_response()
        }
    }
}

/// Responds with all counters in the text format of Prometheus.
async fn metrics(State(state): State<Arc<ServerState>>) -> Response {
    let is_ready = Readiness::of(&state) == Readiness::Ready;
    match state.supervisor.metrics().render(is_ready) {
        Ok(page) => ([(CONTENT_TYPE, METRICS_CONTENT_TYPE)], page).into_response(),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
