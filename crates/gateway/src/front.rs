//! The front: clients' calls into arrivals, and final answers into responses.

use crate::desk::{Arrival, Desk, Final, Taken, Waiter};
use crate::engines::{Call, Engines};
use crate::gateway::Phase;
use crate::life::Life;
use crate::sockets::{LastRead, Line};
use crate::spacing::Spacing;
use crate::statement;
use axum::body::{to_bytes, Body};
use axum::extract::{Path, State};
use axum::http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Router};
use garnetwall_settings::Decoded;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use serde_json::json;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, timeout};
use tower_service::Service;

/// Protocol: names of the fields.
const ID: &str = "x-job-id";
const ALLOWED: &str = "x-allow-ms";
const TENANT: &str = "x-team";
const KEY: &str = "x-item";
const COME_BACK: HeaderName = HeaderName::from_static("x-wait-ms");
/// Protocol: digits of an id and of a key.
const DIGITS: usize = 16;
/// Far above the protocol's 4 s after which clients close idle connections, so that no call crosses ours.
const IDLE: Duration = Duration::from_secs(10);
/// More than any statement; a longer one is not read to its end.
const LONGEST_STATEMENT: usize = 1 << 18;
/// More than any head.
const LONGEST_HEAD: usize = 16 << 10;
/// After a fault of accepting: descriptors come back as clients leave.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);

/// What every call needs.
pub struct Front {
    pub desk: Arc<Desk>,
    pub engines: Arc<Engines>,
    pub decoded: Decoded,
    pub phase: watch::Receiver<Phase>,
    pub spacing: Mutex<Spacing>,
}

impl Front {
    fn sent(&self, key: Option<u64>, came: f64) -> f64 {
        let in_hand = self.desk.in_hand();
        let mut spacing = self.spacing.lock().unwrap_or_else(PoisonError::into_inner);
        spacing.sent(key, came, in_hand)
    }
}

pub fn router(front: Arc<Front>) -> Router {
    Router::new()
        .route("/healthz", get(health))
        .route("/v1/{group}", post(submit).delete(withdraw))
        .fallback(|| async { wrong(StatusCode::NOT_FOUND, "no such path") })
        .method_not_allowed_fallback(|| async { wrong(StatusCode::METHOD_NOT_ALLOWED, "method not served") })
        .with_state(front)
}

/// Accepts connections for as long as it is polled; each is served in a task of its own.
pub async fn accept(
    listener: &TcpListener,
    router: &Router,
    clients: &Arc<Semaphore>,
    open: &GracefulShutdown,
) {
    loop {
        let Ok(permit) = clients.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => serve(Line::new(stream, permit), router.clone(), open),
            Err(fault) => {
                tracing::warn!(%fault, "a connection could not be accepted");
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

fn serve(line: Line, router: Router, open: &GracefulShutdown) {
    let read = line.last_read();
    let service = hyper::service::service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(read.clone());
        router.clone().call(request)
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE).max_buf_size(LONGEST_HEAD);
    let connection = open.watch(builder.serve_connection(line, service));
    tokio::spawn(async move {
        if let Err(fault) = connection.await {
            tracing::debug!(%fault, "a client's connection ended");
        }
    });
}

async fn health(State(front): State<Arc<Front>>) -> Response {
    let phase = *front.phase.borrow();
    match phase {
        Phase::Serving => (StatusCode::OK, "serving\n").into_response(),
        Phase::Starting | Phase::Draining | Phase::Stopped => {
            (StatusCode::SERVICE_UNAVAILABLE, "not serving\n").into_response()
        }
    }
}

async fn submit(
    State(front): State<Arc<Front>>,
    Path(group): Path<String>,
    Extension(read): Extension<LastRead>,
    head: HeaderMap,
    body: Body,
) -> Response {
    let body = match timeout(IDLE, to_bytes(body, LONGEST_STATEMENT)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return wrong(StatusCode::PAYLOAD_TOO_LARGE, "statement cut off or too long"),
        Err(_) => return wrong(StatusCode::REQUEST_TIMEOUT, "statement came too slowly"),
    };
    let came = front.desk.clock().at(read.at());
    let (mut arrival, call) = match arrival(&front.decoded, &group, &head, body) {
        Ok(taken) => taken,
        Err(what) => return wrong(StatusCode::BAD_REQUEST, &what),
    };
    arrival.limit += front.sent(arrival.key, came);
    let waiter = match front.desk.take(arrival) {
        Taken::New { id, orders, waiter } => {
            let (desk, engines) = (front.desk.clone(), front.engines.clone());
            tokio::spawn(Life { desk, engines, id, call: Arc::new(call), orders }.live());
            waiter
        }
        Taken::Joined(waiter) => waiter,
        Taken::Over => return wrong(StatusCode::CONFLICT, "this id has had its answer"),
    };
    answer(waiter).await
}

async fn answer(waiter: Waiter) -> Response {
    let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
    match waiter.answer().await {
        Final::Returned(body) => (StatusCode::OK, [json], body).into_response(),
        Final::PushedBack { come_back } => {
            let body = json!({"error": "Busy"}).to_string();
            let mut response = (StatusCode::SERVICE_UNAVAILABLE, [json], body).into_response();
            if let Some(seconds) = come_back {
                response.headers_mut().insert(COME_BACK, HeaderValue::from((seconds * 1000.0) as u64));
            }
            response
        }
        Final::Errored => wrong(StatusCode::INTERNAL_SERVER_ERROR, "Failed"),
    }
}

async fn withdraw(State(front): State<Arc<Front>>, head: HeaderMap) -> Response {
    match field(&head, ID).and_then(|id| hex(ID, id)) {
        Ok(job) if front.desk.withdraw(job) => StatusCode::NO_CONTENT.into_response(),
        Ok(_) => wrong(StatusCode::NOT_FOUND, "no batch of this id is in hand"),
        Err(what) => wrong(StatusCode::BAD_REQUEST, &what),
    }
}

/// A short answer that says what is wrong.
fn wrong(status: StatusCode, what: &str) -> Response {
    let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
    (status, [json], json!({"error": what}).to_string()).into_response()
}

/// Takes out of a call what decisions need, and checks it; its limit counts from when it was sent.
fn arrival(
    decoded: &Decoded,
    group: &str,
    head: &HeaderMap,
    statement: bytes::Bytes,
) -> Result<(Arrival, Call), String> {
    let names = &decoded.names;
    let unknown = || format!("unknown service group '{group}'");
    let index = names.groups.iter().position(|g| g == group).ok_or_else(unknown)?;
    let id = field(head, ID)?;
    let job = hex(ID, id)?;
    let allowed = field(head, ALLOWED)?.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let allowed = allowed.filter(|ms| ms.is_finite()).ok_or_else(|| format!("{ALLOWED}: no number"))?;
    if allowed <= 0.0 {
        return Err(format!("{ALLOWED}: no time left"));
    }
    let tenant = match head.contains_key(TENANT) || !names.tenants.is_empty() {
        true => {
            let name = field(head, TENANT)?.to_str().unwrap_or_default();
            names.tenants.iter().position(|t| t == name).ok_or_else(|| format!("{TENANT}: unknown"))?
        }
        false => 0,
    };
    let key = match head.contains_key(KEY) {
        true => Some(hex(KEY, field(head, KEY)?)?),
        false => None,
    };
    let limit = (allowed / 1000.0).min(decoded.settings.groups[index].limit);
    let data_set = statement::data_set(&statement).unwrap_or(0);
    let group_name = HeaderValue::from_str(group).map_err(|_| unknown())?;
    let call = Call { id: id.clone(), group: group_name, statement };
    Ok((Arrival { job, group: index, tenant, key, limit, data_set }, call))
}

/// The one value of a field.
fn field<'a>(head: &'a HeaderMap, name: &str) -> Result<&'a HeaderValue, String> {
    let mut values = head.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => Ok(value),
        (None, _) => Err(format!("{name}: missing")),
        (Some(_), Some(_)) => Err(format!("{name}: repeated")),
    }
}

fn hex(name: &str, value: &HeaderValue) -> Result<u64, String> {
    let text = value.to_str().unwrap_or_default();
    let digits = text.len() == DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    let parsed = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    parsed.ok_or_else(|| format!("{name}: {DIGITS} hex digits expected"))
}
