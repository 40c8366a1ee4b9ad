//! Graceful shutdown, and the number of open queries that it waits for.

use super::Scheduler;
use tokio::time::{sleep_until, Instant};

impl Scheduler {
    /// Announces when the gateway shuts down, in seconds on its clock: every query is to be answered before that.
    pub fn shut_down_at(&self, at: f64) {
        self.handle_event(|state, _| state.controller.shut_down_at(at));
        self.shutdown_at.send_replace(Some(at));
    }

    /// Waits until the announced shutdown; for ever where none is announced.
    pub async fn until_shutdown(&self) {
        let mut announcements = self.shutdown_at.subscribe();
        // It fails only without the sender, which this scheduler owns.
        let announced = announcements.wait_for(Option::is_some).await;
        let at = announced.ok().and_then(|at| *at).unwrap_or_default();
        sleep_until(Instant::from_std(self.clock.instant(at))).await;
    }

    /// The number of open queries, those included that are answered while an attempt is in flight.
    pub fn open_queries(&self) -> usize {
        *self.open_count.borrow()
    }

    /// Waits until no query is open.
    pub async fn until_idle(&self) {
        let mut counts = self.open_count.subscribe();
        // It fails only without the sender, which this scheduler owns.
        let _ = counts.wait_for(|count| *count == 0).await;
    }
}
