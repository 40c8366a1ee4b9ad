//! Applies events of the change log and changes of the subset, and delivers the updates of the engine list in order.

use super::event::Event;
use super::list::{EngineList, EngineUpdate};
use super::selection::Candidate;
use garnetwall::api::{AttemptEnd, EngineId, LoadReport};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Connections that are warmed up at once: few beside those that queries need.
const MAX_CONCURRENT_WARM_UPS: usize = 8;
/// The subset's own timer polls it no more often than this.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Receives updates of the list, and whether they are the full list.
pub type Deliver = Box<dyn FnMut(&[EngineUpdate], bool) + Send>;

/// How the warm-up of a connection to a candidate ended.
pub struct Warmed {
    /// The end of the attempt.
    pub end: AttemptEnd,
    /// The engine's load report, where it sent one.
    pub report: Option<LoadReport>,
}

/// Drives the engine list.
pub struct Discovery {
    list: Arc<EngineList>,
    /// Locked while a change is applied and delivered, so that changes are delivered in order.
    deliver: Mutex<Deliver>,
}

impl Discovery {
    /// Discovery that passes the updates of `list` to `deliver`.
    pub fn new(list: Arc<EngineList>, deliver: Deliver) -> Self {
        Discovery {
            list,
            deliver: Mutex::new(deliver),
        }
    }

    /// Applies an event of the change log.
    pub fn apply(&self, event: Event) {
        let mut deliver = self.deliver.lock().unwrap_or_else(PoisonError::into_inner);
        let change = self.list.apply(event);
        deliver(&change.updates, change.is_complete);
    }

    /// Applies the changes of the subset that are due, and returns the engines that they concern.
    fn poll_subset(&self) -> Vec<EngineUpdate> {
        let mut deliver = self.deliver.lock().unwrap_or_else(PoisonError::into_inner);
        let updates = self.list.poll_subset();
        if !updates.is_empty() {
            deliver(&updates, false);
        }
        updates
    }

    /// Maintains the subset for as long as the future is polled. `warm_up` opens a connection to a candidate; `joined` is
    /// called with the outcome for each engine that becomes a member by it.
    pub async fn maintain_subset<W, F>(&self, warm_up: W, joined: impl Fn(EngineId, Warmed))
    where
        W: Fn(SocketAddr) -> F,
        F: Future<Output = Warmed> + Send + 'static,
    {
        let mut warming = JoinSet::new();
        loop {
            self.poll_subset();
            while warming.len() < MAX_CONCURRENT_WARM_UPS {
                let Some(candidate) = self.list.next_candidate() else {
                    break;
                };
                let outcome = warm_up(candidate.address);
                warming.spawn(async move { (candidate, outcome.await) });
            }
            tokio::select! {
                () = self.list.subset_changed() => {}
                () = self.subset_poll_due() => {}
                Some(ended) = warming.join_next() => {
                    if let Ok((candidate, outcome)) = ended {
                        self.candidate_warmed(candidate, outcome, &joined);
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

    fn candidate_warmed(
        &self,
        candidate: Candidate,
        outcome: Warmed,
        joined: &impl Fn(EngineId, Warmed),
    ) {
        // An engine that answers at all was reached.
        let reached = matches!(
            outcome.end,
            AttemptEnd::Succeeded | AttemptEnd::Failed | AttemptEnd::Rejected
        );
        let name = self.list.candidate_warmed(candidate, reached);
        let updates = self.poll_subset();
        if !reached {
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
