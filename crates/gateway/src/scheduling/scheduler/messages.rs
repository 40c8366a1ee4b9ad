//! Inputs and outputs of the scheduler.

use super::Waiter;
use crate::engines::ClientPresence;
use crate::scheduling::plan_routing::PlanDenial;
use bytes::Bytes;
use garnetwall::api::{EngineId, FinalAnswer, QueryId};
use garnetwall::key_arrivals::ArrivalBounds;
use garnetwall_ledger::records::StartedQuery;
use std::net::IpAddr;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedReceiver;

/// A command to the task of a query.
#[derive(Debug)]
pub enum Command {
    /// Begin an attempt at an engine.
    BeginAttempt {
        /// The engine that the controller chose.
        engine: EngineId,
        /// The time after which nobody waits for the engine's response.
        response_deadline: Instant,
        /// The time by which the whole request must have reached the engine. After it the request must not be sent.
        send_deadline: Instant,
    },
    /// Cancel the attempt in flight, if it has this number.
    CancelAttempt {
        /// The attempt's number within the query, counted from 0.
        attempt: u32,
    },
    /// Give the query this final answer.
    Answer(FinalAnswer),
    /// The client has left: no answer is due, and no further attempt begins.
    ClientLeft,
}

/// The final answer of a query. Each query has exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryAnswer {
    /// The query succeeded. Holds the body of the response to the client: the rows as JSON.
    Succeeded(Bytes),
    /// The query did not run, or may safely be sent again.
    Rejected {
        /// The time after which the client may send the query again, in seconds; `None` if unknown.
        retry_after: Option<f64>,
    },
    /// The query may have run and must not be sent again.
    Failed,
}

impl QueryAnswer {
    /// The name of the answer's kind in the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            QueryAnswer::Succeeded(_) => "succeeded",
            QueryAnswer::Rejected { .. } => "rejected",
            QueryAnswer::Failed => "failed",
        }
    }

    /// The length of the rows in bytes; 0 for an answer without rows.
    pub(super) fn row_bytes(&self) -> usize {
        match self {
            QueryAnswer::Succeeded(rows) => rows.len(),
            QueryAnswer::Rejected { .. } | QueryAnswer::Failed => 0,
        }
    }
}

impl From<FinalAnswer> for QueryAnswer {
    fn from(answer: FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Rejected { retry_after } => QueryAnswer::Rejected { retry_after },
            FinalAnswer::Failed => QueryAnswer::Failed,
        }
    }
}

/// A query as it arrives from a client, before the scheduler assigns it a number.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingQuery {
    /// The query key, chosen by the client. A repeated request carries the same key.
    pub query_key: u64,
    /// Index of the requested class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// The ordering key. Queries with the same ordering key run in order of admission if their class is in order.
    pub ordering_key: Option<u64>,
    /// When the query arrived, in seconds on the gateway's clock.
    pub arrival: ArrivalBounds,
    /// The client's deadline, in seconds on the gateway's clock.
    pub deadline: f64,
    /// The client's estimate of the work, in seconds on one thread.
    pub estimated_work: Option<f64>,
    /// The client's estimate of the memory, in megabytes.
    pub estimated_memory: Option<f64>,
    /// The data set that the query reads or loads; `None` if its statement was not searched for it.
    pub data_set: Option<u32>,
    /// The client's address.
    pub client: IpAddr,
    /// The length of the statement, in bytes.
    pub statement_bytes: u64,
}

/// The result of a change to another plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanUpdate {
    /// The new plan is in force.
    InForce,
    /// The plan was not applied because the gateway was started without a plan.
    NeedsRestart,
}

/// The result of a client's request to cancel the query of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The query was open, perhaps already with an answer; no further attempt of it begins.
    Cancelled,
    /// No query of this key is open.
    NotOpen,
}

/// A query that has just been opened, with everything that its task needs from the scheduler.
pub struct OpenedQuery {
    /// The query's number, assigned by the scheduler.
    pub query_id: QueryId,
    /// The scheduler's commands to the query's task.
    pub commands: UnboundedReceiver<Command>,
    /// The waiter for the client that sent the query.
    pub waiter: Waiter,
    /// The journal record that must be written before the query is sent; set for a non-idempotent query.
    pub journal_entry: Option<StartedQuery>,
    /// Flag that tells whether a client waits for the query.
    pub client_presence: ClientPresence,
}

/// The scheduler's decision about an arriving query.
pub enum Admission {
    /// The query is new and has been opened.
    New(OpenedQuery),
    /// The same query is already open; this request now waits for its answer too.
    Joined(Waiter),
    /// A different query has this key.
    Conflict,
    /// The same query has already finished, with this answer.
    Answered(QueryAnswer),
    /// A query of this key has finished, and its answer is not cached.
    AnswerNotCached,
    /// An earlier process of this gateway may have sent the query, and the query may have run.
    MayHaveRun,
    /// The query must not run twice, and there is no space to remember its key. It has not run.
    TooManyKeys {
        /// The time until a remembered key expires, in seconds.
        retry_after: f64,
    },
    /// The query is new, and can be admitted only with its data set.
    DataSetRequired,
    /// A query of the same ordering key that may have arrived later was admitted earlier. The query has not run.
    OutOfOrder,
    /// The plan does not admit the query.
    DeniedByPlan(PlanDenial),
}
