//! The clients that wait for a query's answer, and what follows once none does.

use super::{QueryAnswer, Scheduler};
use garnetwall::api::QueryId;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::sleep;

/// Protocol: a client whose connection is lost repeats its call on a new one within this time.
const RECONNECT_WINDOW: Duration = Duration::from_millis(50);

/// A client that waits for a query. Dropped before the answer, it counts as having left, unless another waiter joins the query
/// within the reconnect window.
pub struct Waiter {
    pub(super) scheduler: Arc<Scheduler>,
    pub(super) query_id: QueryId,
    pub(super) answer: watch::Receiver<Option<QueryAnswer>>,
}

impl Waiter {
    /// Waits for the query's final answer.
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
        let Some(waiters_ever) = self.scheduler.waiter_left(self.query_id) else {
            return;
        };
        let id = self.query_id;
        let scheduler = self.scheduler.clone();
        let Ok(runtime) = Handle::try_current() else {
            scheduler.client_did_not_return(id, waiters_ever);
            return;
        };
        runtime.spawn(async move {
            sleep(RECONNECT_WINDOW).await;
            scheduler.client_did_not_return(id, waiters_ever);
        });
    }
}

impl Scheduler {
    /// A waiter has left. Where nobody waits any more, no attempt begins; returns how many have waited for the query by then.
    fn waiter_left(&self, id: QueryId) -> Option<u64> {
        self.handle_event(|state, now| {
            let query = state.open_queries.get_mut(&id)?;
            query.waiters -= 1;
            if query.waiters > 0 || query.is_finished() {
                return None;
            }
            query.client_presence.last_client_left();
            let waiters_ever = query.waiters_ever;
            state.controller.set_client_waiting(now, id, false);
            Some(waiters_ever)
        })
    }

    /// The reconnect window is over: the client has left, unless somebody has joined the query since.
    fn client_did_not_return(&self, id: QueryId, waiters_ever: u64) {
        self.handle_event(|state, now| {
            let query = state.open_queries.get(&id);
            if query.is_some_and(|query| query.waiters == 0 && query.waiters_ever == waiters_ever) {
                state.client_left(now, id);
            }
        });
    }
}
