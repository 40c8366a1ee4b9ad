//! Handler stage: handles requests that submit or cancel a query.

use super::admission::{admit, Arrival};
use super::request_head::{query_key, RequestHead, Submission, SubmittedQuery};
use super::responses::error_response;
use super::streamed_body::submit_streamed;
use super::submission_error::SubmissionError;
use super::{ClientAddress, ServerState, REQUEST_READ_TIMEOUT};
use crate::engines::Statement;
use crate::http::client_stream::StreamHandle;
use crate::http::statement::{find_data_set, NO_DATA_SET};
use crate::scheduling::scheduler::CancelOutcome;
use crate::whole_body::read_whole;
use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::http::header::{HeaderMap, TRANSFER_ENCODING};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::Extension;
use bytes::Bytes;
use hyper::body::Body as _;
use std::future::Future;
use std::sync::Arc;
use tokio::time::{sleep, timeout};

/// Longest statement that is read whole, in bytes. A statement that is longer or of unknown length is streamed through
/// the body store, or rejected if there is no body store.
const MAX_STATEMENT_BYTES: u64 = 1 << 18;

/// Handles a request that submits a query. The response carries the final answer or the reason why the query is not
/// admitted.
pub(super) async fn submit(
    State(state): State<Arc<ServerState>>,
    Path(class_name): Path<String>,
    Extension(stream): Extension<StreamHandle>,
    Extension(ClientAddress(client)): Extension<ClientAddress>,
    request: Request,
) -> Response {
    let (mut head, body) = request.into_parts();
    let headers = std::mem::take(&mut head.headers);
    drop(head);
    let length = body.size_hint().exact();
    let submission = Submission {
        class_name,
        headers,
        client,
        stream,
    };
    match &state.body_store {
        Some(store) if length.is_none_or(|bytes| bytes > MAX_STATEMENT_BYTES) => {
            submit_streamed(&state, store, submission, body).await
        }
        _ => submit_whole(&state, submission, body)
            .await
            .unwrap_or_else(SubmissionError::into_response),
    }
}

/// Reads the whole statement, admits the query, and waits for its final answer.
async fn submit_whole(
    state: &ServerState,
    submission: Submission,
    body: Body,
) -> Result<Response, SubmissionError> {
    let Submission {
        class_name,
        headers,
        client,
        stream,
    } = submission;
    let length = statement_length(&headers, &body)?;
    let memory = state.reserve_statement_bytes(length)?;
    let head = RequestHead::parse(&state.platform, &class_name, &headers, Some(length.into()));
    // The body may take seconds to arrive, and the head is as long as a client makes it.
    drop((class_name, headers));
    let statement = read_statement(body, length).await?;
    check_length(&stream)?;
    stream.request_received();
    let arrival = Arrival::of(state, &stream);
    let head = head.inspect_err(|error| tracing::debug!(%error, "request rejected as invalid"))?;
    let data_set = match state.scheduler.is_known(head.query_key) {
        // Such a request usually opens no query.
        true => None,
        false => Some(find_data_set(&statement).await.unwrap_or(NO_DATA_SET)),
    };
    let query = SubmittedQuery {
        head,
        client,
        statement_bytes: statement.len() as u64,
        data_set,
        statement: Statement::Complete(statement),
    };
    let admitted = admit(state, query, arrival, memory, &stream).await?;
    response_unless_surplus(&stream, admitted.response()).await
}

/// Fails if bytes stand behind the request that must not be there, so that no part of a statement is run in place of the
/// whole.
pub(super) fn check_length(stream: &StreamHandle) -> Result<(), SubmissionError> {
    match stream.has_surplus() {
        true => Err(SubmissionError::UnexpectedBytes),
        false => Ok(()),
    }
}

/// Waits for the response to an admitted query. If bytes arrive before that must not stand behind the request, it no longer
/// waits for the query, as if its client had left.
pub(super) async fn response_unless_surplus(
    stream: &StreamHandle,
    response: impl Future<Output = Response>,
) -> Result<Response, SubmissionError> {
    tokio::select! {
        biased;
        () = stream.surplus() => Err(SubmissionError::UnexpectedBytes),
        response = response => Ok(response),
    }
}

/// Returns the length of a statement in bytes, from `Content-Length`. Rejects a request with `Transfer-Encoding`: if
/// both are given, the body may conceal a second request (request smuggling).
fn statement_length(headers: &HeaderMap, body: &Body) -> Result<u32, SubmissionError> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(SubmissionError::LengthRequired);
    }
    body.size_hint()
        .exact()
        .filter(|bytes| *bytes <= MAX_STATEMENT_BYTES)
        .and_then(|bytes| u32::try_from(bytes).ok())
        .ok_or(SubmissionError::StatementTooLong)
}

/// Reads a statement of `length` bytes. Takes up no more memory than was reserved for it.
async fn read_statement(body: Body, length: u32) -> Result<Bytes, SubmissionError> {
    let read = read_whole(body, length as usize);
    timeout(REQUEST_READ_TIMEOUT, read)
        .await
        .map_err(|_| SubmissionError::BodyReadTimeout)?
        .map_err(|_| SubmissionError::BodyTruncated)
}

/// Handles a request that cancels a query. A query that is not open may still wait to be admitted, or to be read.
pub(super) async fn cancel(
    State(state): State<Arc<ServerState>>,
    Extension(stream): Extension<StreamHandle>,
    request: Request,
) -> Response {
    let (head, body) = request.into_parts();
    cancel_query(&state, &stream, &head.headers, body)
        .await
        .unwrap_or_else(SubmissionError::into_response)
}

async fn cancel_query(
    state: &ServerState,
    stream: &StreamHandle,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, SubmissionError> {
    let query_key = query_key(headers)?;
    let length = statement_length(headers, &body)?;
    let memory = state.reserve_statement_bytes(length)?;
    read_statement(body, length).await?;
    drop(memory);
    check_length(stream)?;
    stream.request_received();
    // A query that is open is known to have arrived earlier.
    if state.scheduler.cancel(query_key) == CancelOutcome::Cancelled {
        return Ok(cancelled());
    }
    if state.scheduler.is_known(query_key) {
        return Ok(nothing_to_cancel());
    }
    let pending = state.cancellations.add(query_key);
    let arrived_at = stream.arrived_at().latest;
    let given_up = sleep(state.longest_deadline);
    // If there is no turn, the query that is cancelled can't be admitted in time any more.
    let _turn = state.arrival_order.turn(arrived_at, given_up).await;
    check_length(stream)?;
    let outcome = state.scheduler.cancel(query_key);
    if outcome == CancelOutcome::Cancelled || pending.has_cancelled() {
        return Ok(cancelled());
    }
    Ok(nothing_to_cancel())
}

fn nothing_to_cancel() -> Response {
    error_response(StatusCode::NOT_FOUND, "no batch of this id is in hand")
}

fn cancelled() -> Response {
    StatusCode::NO_CONTENT.into_response()
}
