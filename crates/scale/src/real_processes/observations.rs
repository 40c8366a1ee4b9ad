//! External observations as plain values: the judge reads nothing else. Times are seconds of one clock.

use super::endpoint_list::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The class of a query: how often it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryClass {
    /// Idempotent: it may be retried.
    Report,
    /// Not idempotent, and one at a time for each key.
    Load,
}

/// How a query ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// With the engine that made the rows.
    Succeeded {
        engine: String,
    },
    Rejected,
    Failed,
    /// The gateway accepted no connection.
    ConnectionRefused,
    /// The connection ended before the answer was complete, or there was no answer.
    Lost(String),
    /// An answer that can't be read, or is another query's.
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
    /// How long its client waits.
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
    /// When the request was complete.
    pub received_at: f64,
    /// When its end was written, it was cancelled, or its engine died.
    pub ended_at: Option<f64>,
    pub succeeded: bool,
    /// Its engine declined it, so it never ran.
    pub declined: bool,
    /// When its gateway last polled it.
    pub polled_at: f64,
}

/// Protocol: an attempt that is not polled ends after this.
pub const ABANDONED_AFTER_SECONDS: u64 = 2;

impl Attempt {
    /// When it ends if it is not polled again.
    pub fn abandoned_at(&self) -> f64 {
        self.polled_at + ABANDONED_AFTER_SECONDS as f64
    }

    /// It ends now, unless it has ended before.
    pub fn end(&mut self, now: f64) {
        let end = now.min(self.abandoned_at());
        self.ended_at.get_or_insert(end);
    }
}

/// An engine published as draining or deleted.
#[derive(Clone, Debug)]
pub struct Notice {
    pub engine: EngineId,
    pub number: u64,
    pub appended: f64,
}

/// An event of the log as it was written to a gateway's watch.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    pub number: u64,
    pub gateway: usize,
    pub delivered_at: f64,
}

/// How long each watcher took to see an event.
#[derive(Clone, Debug, Default)]
pub struct ChangeSeen {
    pub number: u64,
    pub appended: f64,
    pub seconds: Vec<f64>,
}

/// A time in which a gateway did not run or was about to end.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub gateway: usize,
    pub from: f64,
    pub killed: bool,
    /// It ended by itself with exit code 0.
    pub clean: bool,
}

/// Everything that the stand-ins observed in a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    pub queries: Vec<Query>,
    pub attempts: Vec<Attempt>,
    pub notices: Vec<Notice>,
    pub deliveries: Vec<Delivery>,
    pub changes: Vec<ChangeSeen>,
    pub outages: Vec<Outage>,
    /// Engines' slots that each gateway connected to.
    pub connected_engines: BTreeMap<usize, BTreeSet<usize>>,
    /// Seconds from each start of a gateway until it served.
    pub ready: Vec<f64>,
    pub gateways: usize,
    pub watchers: usize,
    pub engines: usize,
}

/// The run's one clock, and the observations so far.
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

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds an attempt; returns its index.
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
