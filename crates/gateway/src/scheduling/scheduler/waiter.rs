//! Clients that wait for a query's answer, and the end of a query once no client waits any more.

use super::open_query::{OpenQuery, WaiterGeneration};
use super::{QueryAnswer, Scheduler};
use crate::supervision::Task;
use garnetwall::api::QueryId;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::sleep;

/// Protocol: a client whose connection is lost repeats its request on a new connection within this time.
const RECONNECT_WINDOW: Duration = Duration::from_millis(50);

/// A client that waits for the answer of a query. If a query's last waiter is dropped before the answer and no other
/// waiter joins the query within the reconnect window, the client counts as having left.
pub struct Waiter {
    pub(super) scheduler: Arc<Scheduler>,
    pub(super) query_id: QueryId,
    pub(super) answer: watch::Receiver<Option<QueryAnswer>>,
}

impl Waiter {
    /// Waits for the query's final answer. Returns [`QueryAnswer::Failed`] if the query ends without one.
    pub async fn answer(mut self) -> QueryAnswer {
        let answer = self.answer.wait_for(Option::is_some).await;
        answer
            .ok()
            .and_then(|answer| answer.clone())
            .unwrap_or(QueryAnswer::Failed)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let Some(generation) = self.scheduler.client_disconnected(self.query_id) else {
            return;
        };
        let id = self.query_id;
        let scheduler = self.scheduler.clone();
        if Handle::try_current().is_err() {
            scheduler.client_left(id, generation);
            return;
        }
        let supervisor = scheduler.supervisor.clone();
        supervisor.spawn(Task::ClientDeparture, async move {
            sleep(RECONNECT_WINDOW).await;
            scheduler.client_left(id, generation);
        });
    }
}

impl Scheduler {
    /// Records that a waiter was dropped. If the query is unanswered and no client waits for it any more, no attempt
    /// begins unless a client joins within the reconnect window; the waiter generation is returned for
    /// [`client_left`](Scheduler::client_left). Otherwise returns `None`.
    fn client_disconnected(&self, id: QueryId) -> Option<WaiterGeneration> {
        self.handle_event(|state, now| {
            let query = state.open_queries.get_mut(&id)?;
            query.waiters -= 1;
            if query.waiters > 0 || query.is_finished() {
                return None;
            }
            query.client_presence.client_disconnected();
            let generation = query.waiter_generation;
            state.controller.client_disconnected(now, id);
            Some(generation)
        })
    }

    /// Ends the query when the reconnect window is over, unless a client has joined the query since `generation`.
    fn client_left(&self, id: QueryId, generation: WaiterGeneration) {
        self.handle_event(|state, now| {
            let query = state.open_queries.get(&id);
            let has_left =
                |query: &OpenQuery| query.waiters == 0 && query.waiter_generation == generation;
            if query.is_some_and(has_left) {
                state.client_left(now, id);
            }
        });
    }
}
