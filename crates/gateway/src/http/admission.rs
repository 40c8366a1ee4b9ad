//! Admission stage: passes a submitted query to the scheduler, and starts a task for a new query.
//!
//! Used for both statements that are read whole and bodies that are streamed.

use super::arrival_order::{Turn, TurnError};
use super::request_head::{SubmittedQuery, TimedQuery};
use super::responses::answer_response;
use super::submission::check_length;
use super::submission_error::SubmissionError;
use super::ServerState;
use crate::engines::{ForwardedQuery, Statement, WaitingClient};
use crate::http::client_stream::{ArrivalTime, ClientState, StreamHandle};
use crate::http::statement::{find_data_set, NO_DATA_SET};
use crate::metrics::OrderRejection;
use crate::scheduling::query_task::QueryTask;
use crate::scheduling::scheduler::{Admission, ArrivingQuery, OpenedQuery, QueryAnswer, Waiter};
use crate::system::clock::clamped_duration;
use axum::response::Response;
use garnetwall::key_arrivals::ArrivalBounds;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

/// Admitted query, which has a final answer or will get one.
pub(super) enum AdmittedQuery {
    /// The query is open: this request opened it, or waits for one that was already open.
    Open(Waiter),
    /// The query ended earlier, with this cached answer.
    Answered(QueryAnswer),
}

impl AdmittedQuery {
    /// Waits for the final answer and returns the response that carries it.
    pub async fn response(self) -> Response {
        match self {
            AdmittedQuery::Open(waiter) => answer_response(waiter.answer().await),
            AdmittedQuery::Answered(answer) => answer_response(answer),
        }
    }
}

/// Time for which a request may have waited unread without its deadline being counted from its arrival. The system tells
/// the time of arrival less exactly than the estimate of the send time needs it.
const MAX_UNCOUNTED_WAIT: Duration = Duration::from_millis(50);
/// Time before a query's deadline at which it is no longer kept waiting for its turn, so that its answer is in time.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// Pause between checks of whether a client is connected, and their number, while reads from its connection fail. By the
/// protocol, nothing is sent later than 100 ms after its client has left.
const CLIENT_CHECK_PAUSE: Duration = Duration::from_millis(5);
const MAX_CLIENT_CHECKS: u32 = 20;

/// Arrival times of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// Arrival of its last byte. Determines the order of requests.
    time: ArrivalTime,
    /// Time for which its last byte had waited unread.
    unread: Duration,
    /// Earliest time at which it can have arrived, in seconds on the scheduler's clock. The deadline counts from it.
    earliest: f64,
}

impl Arrival {
    /// Determines when the request that was last read from `stream` arrived.
    pub fn of(state: &ServerState, stream: &StreamHandle) -> Self {
        let time = stream.arrived_at();
        let read_at = stream.last_read_at();
        let known_arrival = match time.is_known() {
            true => time.earliest,
            false => stream.earliest_read_at(),
        };
        let mut earliest = state.scheduler.arrival_time(read_at);
        if read_at.saturating_duration_since(known_arrival) > MAX_UNCOUNTED_WAIT {
            earliest = earliest.min(state.scheduler.clock().at(known_arrival));
        }
        Arrival {
            time,
            unread: time.latest.elapsed(),
            earliest,
        }
    }

    /// The bounds of the arrival in seconds on the scheduler's clock.
    fn bounds(&self, state: &ServerState) -> ArrivalBounds {
        let clock = state.scheduler.clock();
        ArrivalBounds {
            earliest: clock.at(self.time.earliest),
            latest: clock.at(self.time.latest),
        }
    }
}

/// Admits a query, or joins an open query with the same key. A query with an ordering key waits for its turn in the
/// order of arrival. If the query is new, `statement_memory` stays reserved until its task ends.
///
/// # Errors
///
/// Fails if the client has closed its connection or has cancelled the query, the query key belongs to a different query or
/// to an ended one whose answer is not cached, an earlier gateway process may have sent the query, it can't be known to be
/// the next one of its ordering key, or the plan denies it.
pub(super) async fn admit(
    state: &ServerState,
    query: SubmittedQuery,
    arrival: Arrival,
    statement_memory: OwnedSemaphorePermit,
    stream: &StreamHandle,
) -> Result<AdmittedQuery, SubmissionError> {
    let query_key = query.head.query_key;
    log_arrival(query_key, stream, arrival.unread);
    let send_time = state.earliest_send_time(query.head.ordering_key, arrival.earliest);
    let TimedQuery {
        mut arriving,
        forwarded_query,
    } = query.with_times(send_time, arrival.bounds(state));
    let _turn = match arriving.ordering_key {
        Some(_) => turn(state, &arriving, arrival).await?,
        None => None,
    };
    check_client_connected(state, stream, query_key).await?;
    check_length(stream)?;
    if state.cancellations.cancel(query_key) {
        return Err(SubmissionError::ClientClosed);
    }
    let client: Arc<dyn WaitingClient> = Arc::new(stream.downgrade());
    let mut admission = state
        .scheduler
        .admit(arriving, forwarded_query.clone(), client.clone());
    if let (Admission::DataSetRequired, Statement::Complete(statement)) =
        (&admission, &forwarded_query.statement)
    {
        // The key was known when the request arrived, and has been forgotten since.
        arriving.data_set = find_data_set(statement).await.or(Some(NO_DATA_SET));
        admission = state
            .scheduler
            .admit(arriving, forwarded_query.clone(), client);
    }
    match admission {
        Admission::New(opened) => {
            let waiter = spawn_query_task(state, opened, forwarded_query, statement_memory);
            Ok(AdmittedQuery::Open(waiter))
        }
        Admission::Joined(waiter) => Ok(AdmittedQuery::Open(waiter)),
        Admission::Answered(answer) => Ok(AdmittedQuery::Answered(answer)),
        Admission::Conflict => Err(SubmissionError::QueryKeyConflict),
        Admission::AnswerNotCached => Err(SubmissionError::AnswerNotCached),
        Admission::TooManyKeys { retry_after } => {
            Err(SubmissionError::too_many_keys(retry_after, &state.platform))
        }
        // Not reached with a data set, which a query has here.
        Admission::DataSetRequired => Err(SubmissionError::AnswerNotCached),
        Admission::MayHaveRun => Err(SubmissionError::MayHaveRun),
        Admission::OutOfOrder => Err(order_not_known(state, query_key, OrderRejection::Overtaken)),
        Admission::DeniedByPlan(denial) => {
            Err(SubmissionError::denied_by_plan(denial, &state.platform))
        }
    }
}

/// Waits for the turn of a query with an ordering key, until its deadline or, during a shutdown, until all answers are due.
/// A request whose query may have run needs no turn, since it opens no query, and is not rejected: `None`.
async fn turn(
    state: &ServerState,
    arriving: &ArrivingQuery,
    arrival: Arrival,
) -> Result<Option<Turn>, SubmissionError> {
    if state.scheduler.may_have_run(arriving.query_key) {
        return Ok(None);
    }
    let remaining = clamped_duration(arriving.deadline - state.scheduler.clock().now());
    let give_up_at = Instant::now() + remaining.saturating_sub(ANSWER_TIME);
    let given_up = state.scheduler.until_answer_due(give_up_at);
    let turn = state
        .arrival_order
        .turn(arrival.time.latest, given_up)
        .await;
    let rejection = match turn {
        Ok(turn) => return Ok(Some(turn)),
        Err(TurnError::NotKnownToBeNext) => OrderRejection::NotKnownToBeNext,
        Err(TurnError::NotGranted) => OrderRejection::NoTurn,
    };
    // A request of the same query may have had its turn meanwhile.
    match state.scheduler.may_have_run(arriving.query_key) {
        true => Ok(None),
        false => Err(order_not_known(state, arriving.query_key, rejection)),
    }
}

/// Counts a query that is rejected to keep the order of its key, and returns the error.
fn order_not_known(
    state: &ServerState,
    query_key: u64,
    rejection: OrderRejection,
) -> SubmissionError {
    state.supervisor.metrics().rejected_to_keep_order(rejection);
    tracing::debug!(query_key = %format_args!("{query_key:016x}"), ?rejection, "query rejected to keep the order of its key");
    SubmissionError::order_not_known(&state.platform)
}

fn log_arrival(query_key: u64, stream: &StreamHandle, unread: Duration) {
    let unread_ms = unread.as_millis();
    tracing::debug!(query_key = %format_args!("{query_key:016x}"), connection = stream.connection(), unread_ms, "query received");
}

/// Starts the task of a new query, and returns the query's first waiter.
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
        answer_memory: state.answer_memory.clone(),
        supervisor: state.supervisor.clone(),
        _memory: statement_memory,
    };
    tokio::spawn(task.run());
    opened.waiter
}

/// Fails if the client has closed its connection, so that no query is sent to an engine for a client that left before
/// admission. Waits a while for reads that fail, since one of them may show the close.
async fn check_client_connected(
    state: &ServerState,
    stream: &StreamHandle,
    query_key: u64,
) -> Result<(), SubmissionError> {
    for _ in 0..MAX_CLIENT_CHECKS {
        match stream.client_state() {
            ClientState::Connected => return Ok(()),
            ClientState::Left => {
                tracing::debug!(query_key = %format_args!("{query_key:016x}"), "client closed its connection before its query was admitted");
                return Err(SubmissionError::ClientClosed);
            }
            ClientState::Unknown => sleep(CLIENT_CHECK_PAUSE).await,
        }
    }
    if state.scheduler.may_have_run(query_key) {
        return Ok(());
    }
    tracing::debug!(query_key = %format_args!("{query_key:016x}"), "query rejected: reads fail, so that its client may have left");
    Err(SubmissionError::client_unknown(&state.platform))
}
