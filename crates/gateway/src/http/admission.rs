//! Admission stage: hands a submitted query to the scheduler, and starts the task of a new one. Shared by statements that are
//! read whole and bodies that are streamed.

use super::request_head::{SubmittedQuery, TimedQuery};
use super::responses::answer_response;
use super::submission_error::SubmissionError;
use super::ServerState;
use crate::engines::ForwardedQuery;
use crate::http::client_stream::StreamHandle;
use crate::scheduling::query_task::QueryTask;
use crate::scheduling::scheduler::{Admission, OpenedQuery, QueryAnswer, Waiter};
use axum::response::Response;
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;

/// A query that gets an answer.
pub(super) enum AdmittedQuery {
    /// It is open: new, or joined by this request.
    Open(Waiter),
    /// It ended before, with this answer.
    Answered(QueryAnswer),
}

impl AdmittedQuery {
    /// The response to the query, once it is answered.
    pub async fn response(self) -> Response {
        match self {
            AdmittedQuery::Open(waiter) => answer_response(waiter.answer().await),
            AdmittedQuery::Answered(answer) => answer_response(answer),
        }
    }
}

/// Admits a query, or joins the open one of the same key. `arrived_at` is the scheduler's time in seconds at which the request
/// arrived, and `statement_memory` is held until the query's task ends.
///
/// # Errors
///
/// The client has closed its connection, the query key can't be used again, or the plan denies the query.
pub(super) fn admit(
    state: &ServerState,
    query: SubmittedQuery,
    arrived_at: f64,
    statement_memory: OwnedSemaphorePermit,
    stream: &StreamHandle,
) -> Result<AdmittedQuery, SubmissionError> {
    check_client_connected(stream, query.head.query_key)?;
    let send_time = state.earliest_send_time(query.head.ordering_key, arrived_at);
    let TimedQuery {
        arriving,
        forwarded_query,
    } = query.with_send_time(send_time);
    match state.scheduler.admit(arriving, forwarded_query.clone()) {
        Admission::New(opened) => {
            let waiter = spawn_query_task(state, opened, forwarded_query, statement_memory);
            Ok(AdmittedQuery::Open(waiter))
        }
        Admission::Joined(waiter) => Ok(AdmittedQuery::Open(waiter)),
        Admission::Answered(answer) => Ok(AdmittedQuery::Answered(answer)),
        Admission::Conflict => Err(SubmissionError::QueryKeyConflict),
        Admission::AnswerNotCached => Err(SubmissionError::AnswerNotCached),
        Admission::MayHaveRun => Err(SubmissionError::MayHaveRun),
        Admission::DeniedByPlan(denial) => {
            Err(SubmissionError::denied_by_plan(denial, &state.platform))
        }
    }
}

/// Starts the task of a new query, and returns its first waiter.
fn spawn_query_task(
    state: &ServerState,
    opened: OpenedQuery,
    forwarded_query: Arc<ForwardedQuery>,
    statement_memory: OwnedSemaphorePermit,
) -> Waiter {
    let task = QueryTask {
        scheduler: state.scheduler.clone(),
        engines: state.engines.clone(),
        query_id: opened.query_id,
        forwarded_query,
        commands: opened.commands,
        journal: state.journal.clone(),
        journal_entry: opened.journal_entry,
        client_presence: opened.client_presence,
        _memory: statement_memory,
    };
    tokio::spawn(task.run());
    opened.waiter
}

/// Nothing is sent for a client that closed its connection while its request was still to be parsed or admitted.
fn check_client_connected(stream: &StreamHandle, query_key: u64) -> Result<(), SubmissionError> {
    if !stream.is_closed_by_client() {
        return Ok(());
    }
    let query_key = format_args!("{query_key:016x}");
    tracing::debug!(%query_key, "client closed its connection before admission");
    Err(SubmissionError::ClientClosed)
}
