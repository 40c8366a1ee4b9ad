//! The plain values that go into the desk and come out of it.

use super::Waiter;
use crate::scheduling::client_presence::Attended;
use crate::scheduling::plan_routing::Turned;
use bytes::Bytes;
use garnetwall::api::{EngineId, FinalAnswer, QueryId};
use garnetwall_ledger::book::Sent;
use std::net::IpAddr;
use tokio::sync::mpsc::UnboundedReceiver;

/// What a batch's task is to do next.
#[derive(Debug)]
pub enum Order {
    Go {
        engine: EngineId,
        /// Nobody waits for the dispatch from then on.
        until: std::time::Instant,
        /// Its start has come whole by then, or is not sent.
        comes_by: std::time::Instant,
    },
    TakeBack {
        dispatch: u32,
    },
    Over(FinalAnswer),
    /// The client has gone: no answer is owed.
    Gone,
}

/// The one final answer of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Returned(Bytes),
    PushedBack { come_back: Option<f64> },
    Errored,
}

impl Final {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Final::Returned(_) => "returned",
            Final::PushedBack { .. } => "pushed back",
            Final::Errored => "errored",
        }
    }
}

impl Final {
    /// Bytes of the rows that it holds.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Final::Returned(rows) => rows.len(),
            Final::PushedBack { .. } | Final::Errored => 0,
        }
    }
}

impl From<FinalAnswer> for Final {
    fn from(answer: FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Rejected {
                retry_after: come_back,
            } => Final::PushedBack { come_back },
            FinalAnswer::Failed => Final::Errored,
        }
    }
}

/// A batch as it comes, before it has its number.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub job: u64,
    pub group: usize,
    pub tenant: usize,
    pub key: Option<u64>,
    /// When the client gives up.
    pub limit: f64,
    /// What the client takes it to need: seconds of work, MB of memory.
    pub cost: Option<f64>,
    pub memory: Option<f64>,
    pub data_set: u32,
    /// Where its client is.
    pub client: IpAddr,
    /// Of its statement.
    pub bytes: u64,
}

/// What became of a call that brought a batch.
pub enum Taken {
    New {
        id: QueryId,
        orders: UnboundedReceiver<Order>,
        waiter: Waiter,
        /// What is written down before it is sent, where it is once-only.
        once_only: Option<Sent>,
        /// Whether a client waits for it.
        attended: Attended,
    },
    /// The batch of this id is in hand already.
    Joined(Waiter),
    /// A batch that is not this one has this id.
    Other,
    /// The batch of this id is over already, with this answer.
    Answered(Final),
    /// The batch of this id is over already, and its answer was not kept.
    Over,
    /// An earlier process sent it, and it may have run.
    MayHaveRun,
    /// The plan does not let it in.
    Turned(Turned),
}
