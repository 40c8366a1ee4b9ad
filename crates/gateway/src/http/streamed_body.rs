//! Handler stage: a body too long to be read whole before its query is admitted. The query runs while its body arrives, and
//! the body store holds what has arrived, for retries.

use super::admission::{admit, AdmittedQuery};
use super::request_head::{RequestError, RequestHead, Submission, SubmittedQuery};
use super::responses::{answer_response, close_after};
use super::submission_error::SubmissionError;
use super::{ServerState, REQUEST_READ_TIMEOUT};
use crate::engines::Statement;
use crate::http::statement::data_set;
use crate::scheduling::scheduler::Waiter;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use garnetwall_bodies::{Body as StoredBody, Retention, Store};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use std::sync::Arc;
use tokio::time::timeout;

/// Bytes of a body that are read before its query is admitted, to find its data set.
const PREFIX_BYTES: usize = 64 << 10;

/// Admits a query while its body arrives, and waits for its answer. Every error closes the connection, since unread
/// parts of the body may follow.
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
    let arrived_at = state
        .scheduler
        .arrival_time(submission.stream.last_read_at());
    let head = RequestHead::parse(&state.platform, &submission, None)?;
    let retention = retention(state, head.class);
    let stored = store.admit(head.tenant, head.class, length, retention)?;
    let _abort_guard = AbortOnDrop(stored.clone());
    let prefix = receive_prefix(&mut body, &stored).await?;
    if prefix.is_empty() {
        return Err(RequestError::EmptyStatement.into());
    }
    let statement_bytes = length.unwrap_or(prefix.len() as u64);
    let data_set = data_set(&prefix).unwrap_or(0);
    drop(prefix);
    let query = SubmittedQuery {
        head,
        client: submission.client,
        statement: Statement::Streamed(stored.clone()),
        statement_bytes,
        data_set,
    };
    // The store has a budget of its own.
    let memory = state.reserve_statement_bytes(0)?;
    let query_key = query.head.query_key;
    match admit(state, query, arrived_at, memory, &submission.stream)? {
        AdmittedQuery::Answered(answer) => Ok(close_after(answer_response(answer))),
        AdmittedQuery::Open(waiter) => {
            answer_while_receiving(state, waiter, query_key, &mut body, &stored).await
        }
    }
}

/// How long a body is stored: one whose query is not sent again is needed only until it was read.
fn retention(state: &ServerState, class: usize) -> Retention {
    if state.scheduler.is_non_idempotent(class) {
        Retention::UntilRead
    } else {
        Retention::UntilQueryEnds
    }
}

/// Waits for the answer while the rest of the body arrives. With the answer, what is still to arrive is not wanted; without
/// the rest of the body, the query is cancelled.
async fn answer_while_receiving(
    state: &ServerState,
    waiter: Waiter,
    query_key: u64,
    body: &mut Body,
    stored: &StoredBody,
) -> Result<Response, SubmissionError> {
    let answer = waiter.answer();
    tokio::pin!(answer);
    let received = tokio::select! {
        biased;
        answer = &mut answer => return Ok(close_after(answer_response(answer))),
        received = receive_remaining(body, stored) => received,
    };
    if let Err(error) = received {
        state.scheduler.cancel(query_key);
        return Err(error);
    }
    Ok(answer_response(answer.await))
}

/// Marks a stored body as cut off when its request handler ends, for whatever reason; a complete body stays complete.
struct AbortOnDrop(Arc<StoredBody>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Receives the first [`PREFIX_BYTES`] of a body, or all of a shorter one.
async fn receive_prefix(body: &mut Body, stored: &StoredBody) -> Result<Vec<u8>, SubmissionError> {
    let mut prefix = Vec::new();
    while prefix.len() < PREFIX_BYTES {
        let chunk = timeout(REQUEST_READ_TIMEOUT, next_chunk(body))
            .await
            .map_err(|_| SubmissionError::BodyReadTimeout)??;
        let Some(bytes) = chunk else {
            break;
        };
        prefix.extend_from_slice(&bytes);
        stored
            .push(bytes)
            .await
            .map_err(|_| SubmissionError::BodyStoreFull)?;
    }
    Ok(prefix)
}

/// Receives what is left of a body. It ends at the latest with its query, whose deadline bounds it.
async fn receive_remaining(body: &mut Body, stored: &StoredBody) -> Result<(), SubmissionError> {
    while let Some(bytes) = next_chunk(body).await? {
        stored
            .push(bytes)
            .await
            .map_err(|_| SubmissionError::BodyNotStored)?;
    }
    stored.finish().await;
    Ok(())
}

/// The next bytes of a body; none at its end. Trailers carry nothing here.
async fn next_chunk(body: &mut Body) -> Result<Option<Bytes>, SubmissionError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| SubmissionError::BodyTruncated)?;
        if let Ok(bytes) = frame.into_data() {
            return Ok(Some(bytes));
        }
    }
    Ok(None)
}
