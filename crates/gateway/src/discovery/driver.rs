//! Applies events of the change log and changes of the engine subset to the engine list, and delivers the resulting
//! updates in order.

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

/// The maximum number of concurrent connection attempts to candidates. It is small compared with the number of
/// connections that queries need.
const MAX_CONCURRENT_CONNECTS: usize = 8;
/// The minimum time between two polls of the subset by its own timer.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The handler of changes of the engine list. It is called with one change at a time, in the order in which they are
/// applied.
pub type ChangeHandler = Box<dyn FnMut(&ListChange) + Send>;

/// The outcome of a health check or of connecting to a candidate.
pub struct HealthCheckOutcome {
    /// The end of the health check or of connecting to the candidate, classified like the end of an attempt.
    pub end: AttemptEnd,
    /// The engine's load report, if it sent one.
    pub report: Option<LoadReport>,
}

/// Applies changes to the engine list and delivers the updates to a handler.
pub struct Discovery {
    list: Arc<EngineList>,
    /// Locked while a change is applied and delivered, so that changes are delivered in order.
    deliver: Mutex<ChangeHandler>,
}

impl Discovery {
    /// Creates a driver that applies changes to `list` and passes them to `deliver`.
    pub fn new(list: Arc<EngineList>, deliver: ChangeHandler) -> Self {
        Discovery {
            list,
            deliver: Mutex::new(deliver),
        }
    }

    /// Applies an event of the change log and delivers the change, even if it contains no updates.
    pub fn apply(&self, event: Event) {
        let mut deliver = self.deliver.lock().unwrap_or_else(PoisonError::into_inner);
        let change = self.list.apply(event);
        deliver(&change);
    }

    /// Applies the changes of the subset that are due, delivers them if there are any, and returns the updates.
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

    /// Maintains the subset until the future is dropped; it never completes.
    ///
    /// `connect` opens a connection to a candidate. If the candidate is reached and becomes a member as soon as
    /// `connect` ends, `joined` is called with the engine and the outcome; it is not called for engines that join
    /// later. At most 8 connections are opened at a time.
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

    /// Waits until the next poll of the subset is due; forever if none is due.
    async fn subset_poll_due(&self) {
        match self.list.time_to_subset_poll() {
            Some(pause) => sleep(pause.max(MIN_POLL_INTERVAL)).await,
            None => std::future::pending().await,
        }
    }

    /// Records the outcome of connecting to a candidate, polls the subset, and calls `joined` if the candidate was
    /// reached and the poll returned an update of it.
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

/// Derives the reachability of an engine from the end of connecting to it. Any answer, even an error, means that it was
/// reached. Any other end counts as unreachable, even if no connection was attempted.
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
