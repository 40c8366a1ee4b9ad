//! Who waits for a query's answer, and what follows when nobody does any more.

use super::{QueryAnswer, Scheduler};
use garnetwall::api::QueryId;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::sleep;

/// Protocol: a call that its connection lost comes again on a new one within this.
const RECONNECT_WINDOW: Duration = Duration::from_millis(50);

/// A client that waits for a batch; dropped before the answer, it has gone unless it comes again at once.
pub struct Waiter {
    pub(super) scheduler: Arc<Scheduler>,
    pub(super) id: QueryId,
    pub(super) answer: watch::Receiver<Option<QueryAnswer>>,
}

impl Waiter {
    pub async fn answer(mut self) -> QueryAnswer {
        let last = self.answer.wait_for(Option::is_some).await;
        last.ok()
            .and_then(|last| last.clone())
            .unwrap_or(QueryAnswer::Failed)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let Some(waiters_ever) = self.scheduler.waiter_left(self.id) else {
            return;
        };
        let (scheduler, id) = (self.scheduler.clone(), self.id);
        match Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn(async move {
                sleep(RECONNECT_WINDOW).await;
                scheduler.client_did_not_return(id, waiters_ever);
            })),
            Err(_) => scheduler.client_did_not_return(id, waiters_ever),
        }
    }
}

impl Scheduler {
    /// One who waited has left. Nothing is sent for a batch that nobody waits for; how many had waited for it by then.
    fn waiter_left(&self, id: QueryId) -> Option<u64> {
        self.handle_event(|state, now| {
            let b = state.open_queries.get_mut(&id)?;
            b.waiters -= 1;
            if b.waiters > 0 || b.is_over() {
                return None;
            }
            b.client_presence.set_waiting(false);
            let waiters_ever = b.waiters_ever;
            state.controller.set_client_waiting(now, id, false);
            Some(waiters_ever)
        })
    }

    /// Nobody has come again for a batch since so many had waited for it: its clients have gone.
    fn client_did_not_return(&self, id: QueryId, waiters_ever: u64) {
        self.handle_event(|state, now| {
            if state
                .open_queries
                .get(&id)
                .is_some_and(|b| b.waiters == 0 && b.waiters_ever == waiters_ever)
            {
                state.client_left(now, id);
            }
        });
    }
}
