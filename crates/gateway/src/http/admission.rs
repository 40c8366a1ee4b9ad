//! Admission stage: hands a submitted query to the scheduler, and starts the task of a new one. Shared by statements that are
//! read whole and bodies that are streamed.

use super::request_head::SubmittedQuery;
use super::responses::answer_response;
use super::submission_error::SubmissionError;
use super::ServerState;
use crate::http::client_stream::StreamHandle;
use crate::scheduling::query_task::QueryTask;
use crate::scheduling::scheduler::{Admission, QueryAnswer, Waiter};
use axum::response::Response;
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

/// Admits a query, or joins the open one of the same id. `arrived_at` is the scheduler's time in seconds at which the request
/// arrived, and `statement_memory` is held until the query's task ends.
///
/// # Errors
///
/// The client has closed its connection, the id can't be used again, or the plan denies the query.
pub(super) fn admit(
    state: &ServerState,
    query: SubmittedQuery,
    arrived_at: f64,
    statement_memory: OwnedSemaphorePermit,
    stream: &StreamHandle,
) -> Result<AdmittedQuery, SubmissionError> {
    let SubmittedQuery {
        mut arrival,
        forwarded_query,
    } = query;
    check_client_connected(stream, arrival.query_key)?;
    arrival.deadline += state.earliest_send_time(arrival.ordering_key, arrived_at);
    match state.scheduler.admit(arrival, forwarded_query.clone()) {
        Admission::New {
            id,
            commands,
            waiter,
            journal_entry,
            client_presence,
        } => {
            let task = QueryTask {
                scheduler: state.scheduler.clone(),
                engines: state.engines.clone(),
                query_id: id,
                forwarded_query,
                commands,
                journal: state.journal.clone(),
                journal_entry,
                client_presence,
                _memory: statement_memory,
            };
            tokio::spawn(task.run());
            Ok(AdmittedQuery::Open(waiter))
        }
        Admission::Joined(waiter) => Ok(AdmittedQuery::Open(waiter)),
        Admission::Answered(answer) => Ok(AdmittedQuery::Answered(answer)),
        Admission::Conflict => Err(SubmissionError::QueryKeyConflict),
        Admission::AnswerNotCached => Err(SubmissionError::AnswerNotCached),
        Admission::MayHaveRun => Err(SubmissionError::MayHaveRun),
        Admission::DeniedByPlan(denial) => {
            Err(SubmissionError::denied_by_plan(denial, &state.decoded))
        }
    }
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
