//! The plain values that go into the desk and come out of it.

use super::Waiter;
use crate::scheduling::client_presence::ClientPresence;
use crate::scheduling::plan_routing::PlanRejection;
use bytes::Bytes;
use garnetwall::api::{EngineId, FinalAnswer, QueryId};
use garnetwall_ledger::records::StartedQuery;
use std::net::IpAddr;
use tokio::sync::mpsc::UnboundedReceiver;

/// What a batch's task is to do next.
#[derive(Debug)]
pub enum Command {
    BeginAttempt {
        engine: EngineId,
        /// Nobody waits for the dispatch from then on.
        response_deadline: std::time::Instant,
        /// Its start has come whole by then, or is not sent.
        send_deadline: std::time::Instant,
    },
    CancelAttempt {
        attempt: u32,
    },
    Answer(FinalAnswer),
    /// The client has gone: no answer is owed.
    ClientLeft,
}

/// The one final answer of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryAnswer {
    Succeeded(Bytes),
    Rejected { retry_after: Option<f64> },
    Failed,
}

impl QueryAnswer {
    pub(super) fn name(&self) -> &'static str {
        match self {
            QueryAnswer::Succeeded(_) => "returned",
            QueryAnswer::Rejected { .. } => "pushed back",
            QueryAnswer::Failed => "errored",
        }
    }
}

impl QueryAnswer {
    /// Bytes of the rows that it holds.
    pub(super) fn bytes(&self) -> usize {
        match self {
            QueryAnswer::Succeeded(rows) => rows.len(),
            QueryAnswer::Rejected { .. } | QueryAnswer::Failed => 0,
        }
    }
}

impl From<FinalAnswer> for QueryAnswer {
    fn from(answer: FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Rejected {
                retry_after: come_back,
            } => QueryAnswer::Rejected {
                retry_after: come_back,
            },
            FinalAnswer::Failed => QueryAnswer::Failed,
        }
    }
}

/// A batch as it comes, before it has its number.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingQuery {
    pub query_key: u64,
    pub class: usize,
    pub tenant: usize,
    pub ordering_key: Option<u64>,
    /// When the client gives up.
    pub deadline: f64,
    /// What the client takes it to need: seconds of work, MB of memory.
    pub estimated_work: Option<f64>,
    pub estimated_memory: Option<f64>,
    pub data_set: u32,
    /// Where its client is.
    pub client: IpAddr,
    /// Of its statement.
    pub bytes: u64,
}

/// What became of a call that brought a batch.
pub enum Admission {
    New {
        id: QueryId,
        commands: UnboundedReceiver<Command>,
        waiter: Waiter,
        /// What is written down before it is sent, where it is once-only.
        journal_entry: Option<StartedQuery>,
        /// Whether a client waits for it.
        client_presence: ClientPresence,
    },
    /// The batch of this id is in hand already.
    Joined(Waiter),
    /// A batch that is not this one has this id.
    Conflict,
    /// The batch of this id is over already, with this answer.
    Answered(QueryAnswer),
    /// The batch of this id is over already, and its answer was not kept.
    AnswerNotCached,
    /// An earlier process sent it, and it may have run.
    MayHaveRun,
    /// The plan does not let it in.
    RejectedByPlan(PlanRejection),
}
