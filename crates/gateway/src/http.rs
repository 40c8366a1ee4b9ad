//! The HTTP front: clients' calls into arrivals, and final answers into responses.
//!
//! [`accept`] takes connections, each of which `connection` serves for as long as it lasts. A call is `submit`ted whole or,
//! where its body is long, `streaming`; `intake` takes out of its head what decisions need, and `answers` has the responses.

mod accept;
pub mod client_connections;
pub mod client_stream;
mod connection;
mod request_head;
mod responses;
pub mod send_time;
pub mod statement;
mod streamed_body;
mod submission;

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
use garnetwall_settings::Decoded;
use responses::error_response;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use submission::{submit, withdraw};
use tokio::sync::{watch, Semaphore};

pub use accept::accept;

/// Protocol: a client that can't be served is owed a close within 3 s of connecting. The first call has this long
/// to bring its head, and a statement as long as that.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// What every call needs.
pub struct HttpFront {
    pub scheduler: Arc<Scheduler>,
    pub engines: Arc<Engines>,
    pub decoded: Decoded,
    pub phase: watch::Receiver<Phase>,
    pub journal: Arc<QueryJournal>,
    /// Where bodies over the longest statement are kept; without it they are refused.
    pub store: Option<Arc<Store>>,
    pub send_times: Mutex<SendTimeEstimator>,
    /// Bytes of statements that may be in hand at once.
    pub statements: Arc<Semaphore>,
}

/// Where a call came from.
#[derive(Clone, Copy, Debug)]
struct Client(IpAddr);

impl HttpFront {
    fn sent(&self, key: Option<u64>, came: f64) -> f64 {
        let in_hand = self.scheduler.open_queries();
        let mut spacing = self
            .send_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        spacing.estimate(key, came, in_hand)
    }
}

pub fn router(front: Arc<HttpFront>) -> Router {
    Router::new()
        .route("/healthz", get(health))
        .route("/v1/{group}", post(submit).delete(withdraw))
        .fallback(|| async { error_response(StatusCode::NOT_FOUND, "no such path") })
        .method_not_allowed_fallback(|| async {
            error_response(StatusCode::METHOD_NOT_ALLOWED, "method not served")
        })
        .with_state(front)
}

async fn health(State(front): State<Arc<HttpFront>>) -> Response {
    let phase = *front.phase.borrow();
    match phase {
        Phase::Serving => (StatusCode::OK, "serving\n").into_response(),
        Phase::Starting | Phase::Draining | Phase::Stopped => {
            (StatusCode::SERVICE_UNAVAILABLE, "not serving\n").into_response()
        }
    }
}
