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
    pub(super) desk: Arc<Scheduler>,
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
        let Some(waited) = self.desk.waiter_left(self.id) else {
            return;
        };
        let (desk, id) = (self.desk.clone(), self.id);
        match Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn(async move {
                sleep(RECONNECT_WINDOW).await;
                desk.not_back(id, waited);
            })),
            Err(_) => desk.not_back(id, waited),
        }
    }
}

impl Scheduler {
    /// One who waited has left. Nothing is sent for a batch that nobody waits for; how many had waited for it by then.
    fn waiter_left(&self, id: QueryId) -> Option<u64> {
        self.handle_event(|seats, now| {
            let b = seats.in_hand.get_mut(&id)?;
            b.waiters -= 1;
            if b.waiters > 0 || b.is_over() {
                return None;
            }
            b.attended.set_waiting(false);
            let waited = b.waited;
            seats.control.set_client_waiting(now, id, false);
            Some(waited)
        })
    }

    /// Nobody has come again for a batch since so many had waited for it: its clients have gone.
    fn not_back(&self, id: QueryId, waited: u64) {
        self.handle_event(|seats, now| {
            if seats
                .in_hand
                .get(&id)
                .is_some_and(|b| b.waiters == 0 && b.waited == waited)
            {
                seats.gone(now, id);
            }
        });
    }
}
