//! Supervises the tasks of the gateway, so that a panic in one of them is noticed.
//!
//! A panic of a task is logged and counted, and ends that task alone. A task that has to run as long as the gateway is
//! restarted. While the panics of a kind of task repeat, [`Supervisor::panicking_tasks`] names it, and the health check
//! answers that the gateway is not ready.

mod failure_history;

use crate::metrics::Metrics;
use failure_history::FailureHistory;
use futures_util::future::BoxFuture;
use futures_util::FutureExt;
use prometheus_client::encoding::EncodeLabelValue;
use std::any::Any;
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::time::sleep;

/// Pause before the first restart of a task; it doubles with each further panic.
const FIRST_RESTART_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause before a restart.
const MAX_RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Kind of a supervised task; the label of its panics in the log and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelValue)]
pub enum Task {
    /// Accepts client connections.
    Accept,
    /// Gives requests their turn in the order of their arrival.
    ArrivalOrder,
    /// Reads the connections to the change log, and applies its events.
    ChangeLogWatch,
    /// Runs HTTP on one connection to the change log.
    ChangeLogConnection,
    /// Serves one client connection.
    ClientConnection,
    /// Ends a query whose client has left.
    ClientDeparture,
    /// Applies configurations that were read again.
    ConfigurationReload,
    /// Reads the configuration again at each SIGHUP.
    ConfigurationRead,
    /// Runs HTTP on one connection to an engine.
    EngineConnection,
    /// Checks the health of one engine.
    HealthCheck,
    /// Starts health checks as the admission controller requests them.
    HealthCheckRequests,
    /// Carries out the attempts of one query.
    Query,
    /// Handles one request of a client.
    Request,
    /// Wakes the admission controller when it is due.
    SchedulerTimer,
    /// Turns signals into events.
    Signals,
    /// Opens a connection to one candidate of the engine subset.
    SubsetCandidate,
    /// Answers a health check or a request for metrics.
    StatusPage,
    /// Maintains the engine subset.
    SubsetMaintenance,
}

/// Panic that ended a task.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct TaskPanic {
    message: String,
}

impl TaskPanic {
    fn from_payload(payload: &(dyn Any + Send)) -> Self {
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        TaskPanic {
            message: text.unwrap_or("panic without a message").to_owned(),
        }
    }
}

/// Runs a future to its end, or until it panics.
///
/// Values that the future shared with other tasks stay as the panic left them. Locks of the gateway are used on after
/// a panic, so no task waits for a lock that the future held.
///
/// # Errors
///
/// The future panicked.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Result<T, TaskPanic> {
    let result = AssertUnwindSafe(future).catch_unwind().await;
    result.map_err(|payload| TaskPanic::from_payload(payload.as_ref()))
}

/// Makes a call that may panic, such as one into a library that asserts what the system returns.
///
/// # Errors
///
/// The call panicked.
pub fn catch_panic_of_call<T>(call: impl FnOnce() -> T) -> Result<T, TaskPanic> {
    let result = catch_unwind(AssertUnwindSafe(call));
    result.map_err(|payload| TaskPanic::from_payload(payload.as_ref()))
}

/// Starts tasks and records their panics. Clones share their records.
#[derive(Clone, Default)]
pub struct Supervisor {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    metrics: Metrics,
    histories: Mutex<BTreeMap<Task, FailureHistory>>,
    /// Whether `histories` has entries, so that a success costs no lock while nothing fails.
    has_histories: AtomicBool,
}

impl Supervisor {
    /// The counters that the gateway exports.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    fn histories(&self) -> MutexGuard<'_, BTreeMap<Task, FailureHistory>> {
        let histories = self.shared.histories.lock();
        histories.unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a task that ends by itself. A panic is recorded.
    pub fn spawn(&self, task: Task, future: impl Future<Output = ()> + Send + 'static) {
        let supervisor = self.clone();
        // Each future that wraps another one by value holds its memory once more.
        let future = Box::pin(future);
        tokio::spawn(async move {
            // The panic is recorded, and nobody waits for this task.
            let _ = supervisor.watch(task, future).await;
        });
    }

    /// Starts a task that runs as long as the gateway. After a panic it runs again with the same `state`, after a pause
    /// of 10 ms to 1 s.
    pub fn spawn_restarting<S: Send + 'static>(
        &self,
        task: Task,
        mut state: S,
        run: impl for<'a> Fn(&'a mut S) -> BoxFuture<'a, ()> + Send + 'static,
    ) {
        let supervisor = self.clone();
        tokio::spawn(async move {
            while let Err(panic) = catch_panic(run(&mut state)).await {
                let panics = supervisor.record_panic(task, &panic);
                sleep(restart_pause(panics)).await;
            }
        });
    }

    /// Runs a part of a task, and records its success or panic.
    ///
    /// # Errors
    ///
    /// The future panicked.
    pub async fn watch<T>(
        &self,
        task: Task,
        future: impl Future<Output = T>,
    ) -> Result<T, TaskPanic> {
        let result = catch_panic(future).await;
        match &result {
            Ok(_) => self.record_success(task),
            Err(panic) => {
                self.record_panic(task, panic);
            }
        }
        result
    }

    /// Logs and counts a panic. Returns the number of panics of this kind of task without a success in between.
    pub fn record_panic(&self, task: Task, panic: &TaskPanic) -> u32 {
        self.shared.metrics.task_panicked(task);
        let now = Instant::now();
        let mut histories = self.histories();
        let history = match histories.get(&task) {
            Some(history) => history.next_panic(now),
            None => FailureHistory::first_panic(now),
        };
        histories.insert(task, history);
        self.shared.has_histories.store(true, Ordering::Relaxed);
        drop(histories);
        let consecutive_panics = history.consecutive_panics;
        tracing::error!(?task, %panic, consecutive_panics, "task panicked");
        consecutive_panics
    }

    /// Records that a task of this kind has done its work.
    pub fn record_success(&self, task: Task) {
        if self.shared.has_histories.load(Ordering::Relaxed) {
            self.histories().remove(&task);
        }
    }

    /// The kinds of task whose panics repeat: three or more without a success in between, the last one less than 10 s
    /// ago.
    pub fn panicking_tasks(&self) -> Vec<Task> {
        let now = Instant::now();
        let histories = self.histories();
        let panicking = histories.iter().filter(|(_, history)| history.repeats(now));
        panicking.map(|(task, _)| *task).collect()
    }
}

impl fmt::Debug for Supervisor {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Supervisor")
            .field("panicking_tasks", &self.panicking_tasks())
            .finish_non_exhaustive()
    }
}

/// Returns the pause before the restart after this number of panics in a row.
fn restart_pause(panics: u32) -> Duration {
    let doublings = panics.saturating_sub(1);
    let factor = 2_u32.saturating_pow(doublings);
    FIRST_RESTART_PAUSE
        .saturating_mul(factor)
        .min(MAX_RESTART_PAUSE)
}

#[cfg(test)]
mod tests;
