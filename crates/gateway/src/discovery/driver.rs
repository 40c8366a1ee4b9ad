//! Applies what the change log tells and what the subset wants, and hands the changes of the list on in order.

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

/// Connections that are brought up to candidates at once: few beside those that queries need.
const WARM_AT_ONCE: usize = 8;
/// The subset is asked for what is due no more often than this by its own timer.
const SHORTEST_PAUSE: Duration = Duration::from_millis(10);

/// Takes updates of the list, and whether they are the whole list.
pub type Deliver = Box<dyn FnMut(&[EngineUpdate], bool) + Send>;

/// How a connection to a candidate came up, and what the engine said of itself with it.
pub struct Warmed {
    pub end: AttemptEnd,
    pub report: Option<LoadReport>,
}

/// Drives the list of engines.
pub struct Discovery {
    list: Arc<EngineList>,
    /// Held while a change is applied and handed on, so that changes are handed on in order.
    deliver: Mutex<Deliver>,
}

impl Discovery {
    pub fn new(list: Arc<EngineList>, deliver: Deliver) -> Self {
        Discovery {
            list,
            deliver: Mutex::new(deliver),
        }
    }

    /// Applies a change of the list.
    pub fn apply(&self, event: Event) {
        let mut deliver = self.deliver.lock().unwrap_or_else(PoisonError::into_inner);
        let change = self.list.apply(event);
        deliver(&change.updates, change.whole);
    }

    /// Applies what the subset wants by now; the engines that this changes.
    fn poll(&self) -> Vec<EngineUpdate> {
        let mut deliver = self.deliver.lock().unwrap_or_else(PoisonError::into_inner);
        let updates = self.list.poll_subset();
        if !updates.is_empty() {
            deliver(&updates, false);
        }
        updates
    }

    /// Keeps the subset for as long as the gateway runs: `warm` brings up a connection, `warmed` learns how that ended for
    /// an engine that is a member with it.
    pub async fn keep_subset<W, F>(&self, warm: W, warmed: impl Fn(EngineId, Warmed))
    where
        W: Fn(SocketAddr) -> F,
        F: Future<Output = Warmed> + Send + 'static,
    {
        let mut warming = JoinSet::new();
        loop {
            self.poll();
            while warming.len() < WARM_AT_ONCE {
                let Some(candidate) = self.list.next_candidate() else {
                    break;
                };
                let outcome = warm(candidate.address);
                warming.spawn(async move { (candidate, outcome.await) });
            }
            tokio::select! {
                () = self.list.subset_changed() => {}
                () = self.due() => {}
                Some(ended) = warming.join_next() => {
                    if let Ok((candidate, outcome)) = ended {
                        self.candidate_warmed(candidate, outcome, &warmed);
                    }
                }
            }
        }
    }

    /// Until the subset wants to be polled.
    async fn due(&self) {
        match self.list.subset_due() {
            Some(pause) => sleep(pause.max(SHORTEST_PAUSE)).await,
            None => std::future::pending().await,
        }
    }

    fn candidate_warmed(
        &self,
        candidate: Candidate,
        outcome: Warmed,
        warmed: &impl Fn(EngineId, Warmed),
    ) {
        // An engine that answers at all was reached.
        let reached = matches!(
            outcome.end,
            AttemptEnd::Succeeded | AttemptEnd::Failed | AttemptEnd::Rejected
        );
        let id = self.list.candidate_warmed(candidate, reached);
        let updates = self.poll();
        let joined = updates
            .iter()
            .find(|update| Some(&update.id) == id.as_ref());
        if let Some(update) = joined.filter(|_| reached) {
            warmed(update.listed.engine, outcome);
        }
    }
}
