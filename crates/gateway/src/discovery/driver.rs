//! Applies events of the change log and changes of the subset, and delivers the updates of the engine list in order.

use super::engine_health::Reachability;
use super::event::Event;
use super::list::{EngineList, EngineUpdate, ListChange};
use super::selection::Candidate;
use garnetwall::api::{AttemptEnd, EngineId, ListScope, LoadReport};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Candidates that are connected to at once: few beside those that queries need.
const MAX_CONCURRENT_CONNECTS: usize = 8;
/// The subset's own timer polls it no more often than this.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Receives changes of the list, one after another.
pub type ChangeHandler = Box<dyn FnMut(&ListChange) + Send>;

/// How a health check, or connecting to a candidate, ended.
pub struct HealthCheckOutcome {
    /// Its end.
    pub end: AttemptEnd,
    /// The engine's load report, where it sent one.
    pub report: Option<LoadReport>,
}

/// Drives the engine list.
pub struct Discovery {
    list: Arc<EngineList>,
    /// Locked while a change is applied and delivered, so that changes are delivered in order.
    deliver: Mutex<ChangeHandler>,
}

impl Discovery {
    /// Discovery that passes the updates of `list` to `deliver`.
    pub fn new(list: Arc<EngineList>, deliver: ChangeHandler) -> Self {
        Discovery {
            list,
            deliver: Mutex::new(deliver),
        }
    }

    /// Applies an event of the change log.
    pub fn apply(&self, event: Event) {
        let mut deliver = self.deliver.lock().unwrap_or_else(PoisonError::into_inner);
        let change = self.list.apply(event);
        deliver(&change);
    }

    /// Applies the changes of the subset that are due, and returns the engines that they concern.
    fn poll_subset(&self) -> Vec<EngineUpdate> {
        let mut deliver = self.deliver.lock().unwrap_or_else(PoisonError::into_inner);
        let change = ListChange {
            updates: self.list.poll_subset(),
            scope: ListScope::Delta,
        };
        if !change.updates.is_empty() {
            deliver(&change);
        }
        change.updates
    }

    /// Maintains the subset for as long as the future is polled. `connect` opens a connection to a candidate; `joined` is
    /// called with the outcome for each engine that becomes a member by it.
    pub async fn maintain_subset<W, F>(
        &self,
        connect: W,
        joined: impl Fn(EngineId, HealthCheckOutcome),
    ) where
        W: Fn(SocketAddr) -> F,
        F: Future<Output = HealthCheckOutcome> + Send + 'static,
    {
        let mut connecting = JoinSet::new();
        loop {
            self.poll_subset();
            while connecting.len() < MAX_CONCURRENT_CONNECTS {
                let Some(candidate) = self.list.next_candidate() else {
                    break;
                };
                let outcome = connect(candidate.address);
                connecting.spawn(async move { (candidate, outcome.await) });
            }
            tokio::select! {
                () = self.list.subset_changed() => {}
                () = self.subset_poll_due() => {}
                Some(ended) = connecting.join_next() => {
                    if let Ok((candidate, outcome)) = ended {
                        self.candidate_connect_ended(candidate, outcome, &joined);
                    }
                }
            }
        }
    }

    /// Waits until the subset is to be polled.
    async fn subset_poll_due(&self) {
        match self.list.time_to_subset_poll() {
            Some(pause) => sleep(pause.max(MIN_POLL_INTERVAL)).await,
            None => std::future::pending().await,
        }
    }

    fn candidate_connect_ended(
        &self,
        candidate: Candidate,
        outcome: HealthCheckOutcome,
        joined: &impl Fn(EngineId, HealthCheckOutcome),
    ) {
        let reachability = reachability(outcome.end);
        let name = self.list.candidate_connect_ended(candidate, reachability);
        let updates = self.poll_subset();
        if reachability == Reachability::Unreachable {
            return;
        }
        let member = updates
            .iter()
            .find(|update| Some(&update.name) == name.as_ref());
        if let Some(update) = member {
            joined(update.endpoint.engine, outcome);
        }
    }
}

/// What connecting to an engine says of it. One that answers at all was reached.
fn reachability(end: AttemptEnd) -> Reachability {
    match end {
        AttemptEnd::Succeeded | AttemptEnd::Failed | AttemptEnd::Rejected => {
            Reachability::Reachable
        }
        AttemptEnd::TimedOut
        | AttemptEnd::ConnectFailed
        | AttemptEnd::ConnectionLost
        | AttemptEnd::Cancelled
        | AttemptEnd::NotNeeded
        | AttemptEnd::NotSent => Reachability::Unreachable,
    }
}
