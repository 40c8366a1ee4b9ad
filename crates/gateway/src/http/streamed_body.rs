//! Handler stage: submits queries whose bodies are streamed, since they are long or of unknown length.
//!
//! The query runs while its body arrives. The body store keeps the bytes that have arrived, so that a retry can send
//! them again.

use super::admission::{admit, AdmittedQuery, Arrival};
use super::request_head::{RequestError, RequestHead, Submission, SubmittedQuery};
use super::responses::{answer_response, close_after};
use super::submission::{check_length, response_unless_surplus};
use super::submission_error::SubmissionError;
use super::{ServerState, REQUEST_READ_TIMEOUT};
use crate::engines::Statement;
use crate::http::client_stream::StreamHandle;
use crate::http::statement::{find_data_set, NO_DATA_SET};
use crate::scheduling::scheduler::Waiter;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use garnetwall_bodies::{Body as StoredBody, Retention, Store};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use std::sync::Arc;
use tokio::time::timeout;

/// Number of body bytes that are read before admission, to find the data set of the query.
const PREFIX_BYTES: usize = 64 << 10;

/// Admits a query while its body arrives, and returns the response with its final answer or the reason why it has none.
/// After an error the connection is closed, since parts of the body may be unread.
pub(super) async fn submit_streamed(
    state: &ServerState,
    store: &Arc<Store>,
    submission: Submission,
    body: Body,
) -> Response {
    stream_body(state, store, submission, body)
        .await
        .unwrap_or_else(|error| close_after(error.into_response()))
}

async fn stream_body(
    state: &ServerState,
    store: &Arc<Store>,
    submission: Submission,
    mut body: Body,
) -> Result<Response, SubmissionError> {
    let length = body.size_hint().exact();
    let Submission {
        class_name,
        headers,
        client,
        stream,
    } = submission;
    let stream = &stream;
    let arrival = Arrival::of(state, stream);
    let head = RequestHead::parse(&state.platform, &class_name, &headers, None)?;
    drop((class_name, headers));
    let retention = retention(state, head.class);
    let stored = store.admit(head.tenant, head.class, length, retention)?;
    let _abort_guard = AbortOnDrop(stored.clone());
    let prefix = receive_prefix(&mut body, &stored, stream).await?;
    if prefix.is_empty() {
        return Err(RequestError::EmptyStatement.into());
    }
    let statement_bytes = length.unwrap_or(prefix.len() as u64);
    let data_set = find_data_set(&prefix).await.unwrap_or(NO_DATA_SET);
    drop(prefix);
    let query = SubmittedQuery {
        head,
        client,
        statement: Statement::Streamed(stored.clone()),
        statement_bytes,
        data_set: Some(data_set),
    };
    // The body store has its own memory budget, so nothing is reserved for the statement here.
    let memory = state.reserve_statement_bytes(0)?;
    let query_key = query.head.query_key;
    stream.request_received();
    match admit(state, query, arrival, memory, stream).await? {
        AdmittedQuery::Answered(answer) => Ok(close_after(answer_response(answer))),
        AdmittedQuery::Open(waiter) => {
            answer_while_receiving(state, waiter, query_key, &mut body, &stored, stream).await
        }
    }
}

/// Returns how long a body of this query class is stored. A non-idempotent query is not sent again, so its body is
/// needed only until it has been read.
fn retention(state: &ServerState, class: usize) -> Retention {
    if state.scheduler.is_non_idempotent(class) {
        Retention::UntilRead
    } else {
        Retention::UntilQueryEnds
    }
}

/// Receives the rest of the body while the query runs, and waits for the final answer. If the answer comes first, the
/// rest of the body is not read and the connection is closed. If receiving the body fails, the query is cancelled.
async fn answer_while_receiving(
    state: &ServerState,
    waiter: Waiter,
    query_key: u64,
    body: &mut Body,
    stored: &StoredBody,
    stream: &StreamHandle,
) -> Result<Response, SubmissionError> {
    let answer = waiter.answer();
    tokio::pin!(answer);
    let received = tokio::select! {
        biased;
        answer = &mut answer => return Ok(close_after(answer_response(answer))),
        received = receive_remaining(body, stored, stream) => received,
    };
    if let Err(error) = received {
        state.scheduler.cancel(query_key);
        return Err(error);
    }
    let response = async { answer_response(answer.await) };
    response_unless_surplus(stream, response).await
}

/// Marks a stored body as truncated when its request handler ends or is dropped. A complete body stays complete.
struct AbortOnDrop(Arc<StoredBody>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Receives and stores at least the first [`PREFIX_BYTES`] of a body, or all of a shorter one.
async fn receive_prefix(
    body: &mut Body,
    stored: &StoredBody,
    stream: &StreamHandle,
) -> Result<Vec<u8>, SubmissionError> {
    let mut prefix = Vec::new();
    while prefix.len() < PREFIX_BYTES {
        let chunk = timeout(REQUEST_READ_TIMEOUT, next_chunk(body))
            .await
            .map_err(|_| SubmissionError::BodyReadTimeout)??;
        let Some(bytes) = chunk else {
            break;
        };
        // With the last bytes the statement could be run.
        check_length(stream)?;
        prefix.extend_from_slice(&bytes);
        stored
            .push(bytes)
            .await
            .map_err(|_| SubmissionError::BodyStoreFull)?;
    }
    Ok(prefix)
}

/// Receives and stores the rest of a body. No time-out is needed here: the caller stops when the query ends, at its
/// deadline at the latest.
async fn receive_remaining(
    body: &mut Body,
    stored: &StoredBody,
    stream: &StreamHandle,
) -> Result<(), SubmissionError> {
    while let Some(bytes) = next_chunk(body).await? {
        check_length(stream)?;
        stored
            .push(bytes)
            .await
            .map_err(|_| SubmissionError::BodyNotStored)?;
    }
    stored.finish().await;
    Ok(())
}

/// Returns the next bytes of a body, or `None` at its end. Trailers are ignored.
async fn next_chunk(body: &mut Body) -> Result<Option<Bytes>, SubmissionError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| SubmissionError::BodyTruncated)?;
        if let Ok(bytes) = frame.into_data() {
            return Ok(Some(bytes));
        }
    }
    Ok(None)
}
