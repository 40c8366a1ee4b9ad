//! The values that go into the scheduler and come out of it.

use super::Waiter;
use crate::engines::ClientPresence;
use crate::scheduling::plan_routing::PlanDenial;
use bytes::Bytes;
use garnetwall::api::{EngineId, FinalAnswer, QueryId};
use garnetwall_ledger::records::StartedQuery;
use std::net::IpAddr;
use std::time::Instant;
use tokio::sync::mpsc::UnboundedReceiver;

/// What a query's task has to do next.
#[derive(Debug)]
pub enum Command {
    /// Begin an attempt.
    BeginAttempt {
        /// The engine to attempt it on.
        engine: EngineId,
        /// Nobody waits for the response after that.
        response_deadline: Instant,
        /// The whole request has to have reached the engine by then; later it must not be sent.
        send_deadline: Instant,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// Its number within the query, from 0.
        attempt: u32,
    },
    /// Give the client this answer.
    Answer(FinalAnswer),
    /// The client has left: no answer is owed, and no further attempt begins.
    ClientLeft,
}

/// The one final answer of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryAnswer {
    /// Its rows, as they are sent to the client.
    Succeeded(Bytes),
    /// It did not run, or may safely be sent again.
    Rejected {
        /// After how many seconds the client may send it again.
        retry_after: Option<f64>,
    },
    /// It may have run and must not be sent again.
    Failed,
}

impl QueryAnswer {
    /// The kind of answer, for the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            QueryAnswer::Succeeded(_) => "succeeded",
            QueryAnswer::Rejected { .. } => "rejected",
            QueryAnswer::Failed => "failed",
        }
    }

    /// The length of its rows, in bytes.
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

/// A query as it arrives, before it has a number.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingQuery {
    /// The key that its client chose; a repeated request carries the same.
    pub query_key: u64,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// Its tenant, as an index into the settings.
    pub tenant: usize,
    /// Queries of one ordering key run in the order admitted, where their class demands it.
    pub ordering_key: Option<u64>,
    /// When its client gives up, in seconds on the gateway's clock.
    pub deadline: f64,
    /// The client's estimate of its work, in seconds on one thread.
    pub estimated_work: Option<f64>,
    /// The client's estimate of its memory, in megabytes.
    pub estimated_memory: Option<f64>,
    /// The data set that it reads or loads.
    pub data_set: u32,
    /// The address of its client.
    pub client: IpAddr,
    /// The length of its statement, in bytes.
    pub statement_bytes: u64,
}

/// What became of another plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanUpdate {
    /// It is in force.
    InForce,
    /// Nothing is changed: the gateway started without a plan.
    NeedsRestart,
}

/// What became of a client's request to cancel the query of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The query was open, and no attempt of it begins any more.
    Cancelled,
    /// No query of this key is open.
    NotOpen,
}

/// A query that has just been opened, for the task that carries it out.
pub struct OpenedQuery {
    /// Its number.
    pub query_id: QueryId,
    /// The commands that its task carries out.
    pub commands: UnboundedReceiver<Command>,
    /// Its first waiter.
    pub waiter: Waiter,
    /// The record to be written before it is sent, where it is non-idempotent.
    pub journal_entry: Option<StartedQuery>,
    /// Whether a client waits for it.
    pub client_presence: ClientPresence,
}

/// What became of an arriving query.
pub enum Admission {
    /// It is opened.
    New(OpenedQuery),
    /// The same query is open already, and has one more waiter.
    Joined(Waiter),
    /// Another query has this key.
    Conflict,
    /// The same query has finished with this answer.
    Answered(QueryAnswer),
    /// A query of this key has finished, and its answer is not cached.
    AnswerNotCached,
    /// An earlier process may have sent it, and it may have run.
    MayHaveRun,
    /// The plan denies it.
    DeniedByPlan(PlanDenial),
}
