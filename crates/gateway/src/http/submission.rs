//! A batch comes in, or is withdrawn.

use super::request_head::{arrival, field, hex, QUERY_ID};
use super::responses::{closing, error_response, final_response, response_of, turned_away};
use super::streamed_body::submit_streamed;
use super::{Client, HttpFront, FIRST_REQUEST_TIMEOUT};
use crate::engines::Call;
use crate::http::client_stream::StreamHandle;
use crate::scheduling::query_task::QueryTask;
use crate::scheduling::scheduler::{Admission, ArrivingQuery, Waiter};
use axum::body::{to_bytes, Body};
use axum::extract::{Path, State};
use axum::http::header::{HeaderMap, TRANSFER_ENCODING};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::Extension;
use hyper::body::Body as _;
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

/// More than any statement; a longer one is not read to its end.
const LONGEST_STATEMENT: u64 = 1 << 18;

pub(super) async fn submit(
    State(front): State<Arc<HttpFront>>,
    Path(group): Path<String>,
    Extension(peer): Extension<StreamHandle>,
    Extension(Client(client)): Extension<Client>,
    head: HeaderMap,
    body: Body,
) -> Response {
    let length = body.size_hint().exact();
    if let Some(store) = front
        .store
        .clone()
        .filter(|_| length.is_none_or(|n| n > LONGEST_STATEMENT))
    {
        return submit_streamed(&front, &store, &group, &head, client, &peer, body).await;
    }
    if head.contains_key(TRANSFER_ENCODING) {
        // Told in two ways, a length may hide another call in the body: only Content-Length counts.
        return closing(error_response(
            StatusCode::LENGTH_REQUIRED,
            "a statement comes with its Content-Length",
        ));
    }
    let length = length.unwrap_or(u64::MAX);
    if length > LONGEST_STATEMENT {
        return closing(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "statement too long",
        ));
    }
    let Ok(memory) = front
        .statements
        .clone()
        .try_acquire_many_owned(length as u32)
    else {
        // Not pushed back: the id may be that of a batch in hand.
        return closing(error_response(
            StatusCode::INSUFFICIENT_STORAGE,
            "too many statements in hand",
        ));
    };
    let body = match timeout(
        FIRST_REQUEST_TIMEOUT,
        to_bytes(body, LONGEST_STATEMENT as usize),
    )
    .await
    {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return closing(error_response(StatusCode::BAD_REQUEST, "statement cut off")),
        Err(_) => {
            return closing(error_response(
                StatusCode::REQUEST_TIMEOUT,
                "statement came too slowly",
            ))
        }
    };
    let came = front.scheduler.arrival_time(peer.last_read_at());
    let (arrival, call) = match arrival(&front.decoded, &group, &head, client, body) {
        Ok(taken) => taken,
        Err(what) => {
            tracing::debug!(what, "no batch");
            return error_response(StatusCode::BAD_REQUEST, &what);
        }
    };
    match take(&front, arrival, call, came, memory, &peer) {
        Ok(waiter) => final_response(waiter).await,
        Err(refused) => *refused,
    }
}

/// Takes a batch, or joins the one in hand: who waits for it, or what is answered at once.
pub(super) fn take(
    front: &HttpFront,
    mut arrival: ArrivingQuery,
    call: Call,
    came: f64,
    memory: OwnedSemaphorePermit,
    peer: &StreamHandle,
) -> Result<Waiter, Box<Response>> {
    if peer.is_closed_by_client() {
        // Its call stood behind another one, or waited for its slot: nothing is owed, and nothing is sent for it.
        tracing::debug!(job = arrival.query_key, "its client has left");
        return Err(closing(error_response(
            StatusCode::BAD_REQUEST,
            "the client has left",
        ))
        .into());
    }
    arrival.deadline += front.sent(arrival.ordering_key, came);
    let call = Arc::new(call);
    Ok(match front.scheduler.admit(arrival, call.clone()) {
        Admission::New {
            id,
            commands: orders,
            waiter,
            journal_entry: once_only,
            client_presence: attended,
        } => {
            let (desk, engines, keeper) = (
                front.scheduler.clone(),
                front.engines.clone(),
                front.journal.clone(),
            );
            let life = QueryTask {
                scheduler: desk,
                engines,
                id,
                call,
                commands: orders,
                journal: keeper,
                journal_entry: once_only,
                client_presence: attended,
                _memory: memory,
            };
            tokio::spawn(life.run());
            waiter
        }
        Admission::Joined(waiter) => waiter,
        Admission::Conflict => {
            return Err(
                error_response(StatusCode::CONFLICT, "this id is that of another batch").into(),
            )
        }
        Admission::Answered(answer) => return Err(response_of(answer).into()),
        Admission::AnswerNotCached => {
            return Err(error_response(StatusCode::CONFLICT, "this id has had its answer").into())
        }
        Admission::MayHaveRun => {
            return Err(error_response(StatusCode::INTERNAL_SERVER_ERROR, "Failed").into())
        }
        Admission::RejectedByPlan(turned) => return Err(turned_away(front, turned).into()),
    })
}

pub(super) async fn withdraw(State(front): State<Arc<HttpFront>>, head: HeaderMap) -> Response {
    match field(&head, QUERY_ID).and_then(|id| hex(QUERY_ID, id)) {
        Ok(job) if front.scheduler.cancel(job) => StatusCode::NO_CONTENT.into_response(),
        Ok(_) => error_response(StatusCode::NOT_FOUND, "no batch of this id is in hand"),
        Err(what) => error_response(StatusCode::BAD_REQUEST, &what),
    }
}
