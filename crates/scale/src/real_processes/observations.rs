//! External observations of a run as plain values, the only input of the judge. Times are seconds on the clock of the
//! run's [`Recorder`].

use super::endpoint_list::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Query class, which determines how often a query may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryClass {
    /// Idempotent; may be retried.
    Report,
    /// Not idempotent; queries of one key run one at a time.
    Load,
}

/// Outcome of a query for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The client received rows. They name the engine that returned them.
    Succeeded {
        engine: String,
    },
    Rejected,
    Failed,
    /// The gateway accepted no connection.
    ConnectionRefused,
    /// The connection ended before the answer was complete, or there was no answer.
    Lost(String),
    /// The answer can't be parsed, or belongs to another query.
    Malformed(String),
}

/// A query as its client observed it.
#[derive(Clone, Debug)]
pub struct Query {
    pub id: u64,
    pub gateway: usize,
    pub class: QueryClass,
    pub key: Option<u64>,
    pub started_at: f64,
    /// Time in seconds that the client allows for an answer.
    pub limit: f64,
    pub answered_at: f64,
    pub outcome: Outcome,
}

/// An attempt as its engine observed it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub query: u64,
    pub gateway: usize,
    pub engine: EngineId,
    /// Time at which the request was complete.
    pub received_at: f64,
    /// Time at which the engine reported the end, the attempt was cancelled, or the engine died.
    pub ended_at: Option<f64>,
    pub succeeded: bool,
    /// Whether the engine declined the attempt, which then never ran.
    pub declined: bool,
    /// Time of the gateway's last poll.
    pub polled_at: f64,
}

/// An attempt that is not polled for this time ends, by the protocol.
pub const ABANDONED_AFTER_SECONDS: u64 = 2;

impl Attempt {
    /// Returns the time at which the attempt ends if it is not polled again.
    pub fn abandoned_at(&self) -> f64 {
        self.polled_at + ABANDONED_AFTER_SECONDS as f64
    }

    /// Records the end of the attempt: `now`, or the time at which it was abandoned before. Does nothing if an end is
    /// already recorded.
    pub fn end(&mut self, now: f64) {
        let end = now.min(self.abandoned_at());
        self.ended_at.get_or_insert(end);
    }
}

/// Publication of an engine as draining or deleted.
#[derive(Clone, Debug)]
pub struct Notice {
    pub engine: EngineId,
    /// Number of the event.
    pub number: u64,
    pub appended: f64,
}

/// The write of a change log event to a gateway's stream.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    pub number: u64,
    pub gateway: usize,
    pub delivered_at: f64,
}

/// Times that watchers took to receive an event.
#[derive(Clone, Debug, Default)]
pub struct ChangeSeen {
    pub number: u64,
    pub appended: f64,
    /// Seconds from the publication to the receipt, one for each watcher that received the event.
    pub seconds: Vec<f64>,
}

/// Interruption of a gateway, from the signal that ends its process.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub gateway: usize,
    pub from: f64,
    pub killed: bool,
    /// Whether the process ended by itself in time with exit code 0.
    pub clean: bool,
}

/// All observations of a run by the simulated engines, clients, watchers and change log.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    pub queries: Vec<Query>,
    pub attempts: Vec<Attempt>,
    pub notices: Vec<Notice>,
    pub deliveries: Vec<Delivery>,
    pub changes: Vec<ChangeSeen>,
    pub outages: Vec<Outage>,
    /// Slots of the engines that each gateway opened connections to.
    pub connected_engines: BTreeMap<usize, BTreeSet<usize>>,
    /// Seconds from each start of a gateway process until it served.
    pub ready: Vec<f64>,
    pub gateways: usize,
    pub watchers: usize,
    pub engines: usize,
}

/// The run's clock and its observations so far. Clones share both.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    observations: Arc<Mutex<Observations>>,
}

impl Recorder {
    pub fn new(observations: Observations) -> Recorder {
        Recorder {
            start: Instant::now(),
            observations: Arc::new(Mutex::new(observations)),
        }
    }

    /// Seconds since the recorder was created.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds an attempt and returns its index.
    pub fn add_attempt(&self, attempt: Attempt) -> usize {
        let mut observations = self.observations();
        observations.attempts.push(attempt);
        observations.attempts.len() - 1
    }

    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
