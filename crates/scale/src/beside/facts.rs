//! What was seen from outside, as plain values: the judge reads nothing else. Times are seconds of one clock.

use super::roster::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// How often a query may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
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
    NotTaken,
    /// The connection ended with no whole answer, or none came.
    Lost(String),
    /// An answer that can't be read, or is another query's.
    Garbled(String),
}

#[derive(Clone, Debug)]
pub struct Query {
    pub id: u64,
    pub gateway: usize,
    pub group: Group,
    pub key: Option<u64>,
    pub sent: f64,
    /// How long its client waits.
    pub limit: f64,
    pub answered: f64,
    pub outcome: Outcome,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub query: u64,
    pub gateway: usize,
    pub engine: EngineId,
    /// When it had come whole.
    pub came: f64,
    /// When its end was written, it was cancelled, or its engine died.
    pub over: Option<f64>,
    pub succeeded: bool,
    /// It was told that it never ran.
    pub declined: bool,
    /// When its gateway last asked for it.
    pub asked: f64,
}

/// Protocol: an attempt that nobody asks for ends after this.
pub const UNASKED_SECONDS: u64 = 2;

impl Attempt {
    /// When it ends if it is not asked for again.
    pub fn unasked(&self) -> f64 {
        self.asked + UNASKED_SECONDS as f64
    }

    /// It ends now, unless it has ended before.
    pub fn end(&mut self, now: f64) {
        let end = now.min(self.unasked());
        self.over.get_or_insert(end);
    }
}

/// An engine told draining or gone.
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
    pub at: f64,
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

#[derive(Clone, Debug, Default)]
pub struct Facts {
    pub queries: Vec<Query>,
    pub attempts: Vec<Attempt>,
    pub notices: Vec<Notice>,
    pub deliveries: Vec<Delivery>,
    pub changes: Vec<ChangeSeen>,
    pub outages: Vec<Outage>,
    /// Engines' slots that each gateway opened connections to.
    pub met: BTreeMap<usize, BTreeSet<usize>>,
    /// Seconds from each start of a gateway until it served.
    pub ready: Vec<f64>,
    pub gateways: usize,
    pub watchers: usize,
    pub engines: usize,
}

/// The run's one clock, and the facts as they are gathered.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    facts: Arc<Mutex<Facts>>,
}

impl Recorder {
    pub fn new(facts: Facts) -> Recorder {
        Recorder {
            start: Instant::now(),
            facts: Arc::new(Mutex::new(facts)),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn facts(&self) -> MutexGuard<'_, Facts> {
        self.facts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
