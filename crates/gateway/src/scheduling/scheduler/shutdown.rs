//! Graceful shutdown, and the number of open queries that it waits for.

use super::Scheduler;
use tokio::time::{sleep_until, Instant};

impl Scheduler {
    /// Announces when all answers are due because the gateway shuts down, in seconds on its clock: no query has a later
    /// deadline.
    pub fn cap_deadlines(&self, answers_due: f64) {
        self.handle_event(|state, _| state.controller.cap_deadlines(answers_due));
        self.answers_due.send_replace(Some(answers_due));
    }

    /// Waits until all answers are due; for ever while no shutdown is announced.
    pub async fn until_answers_due(&self) {
        let mut announcements = self.answers_due.subscribe();
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
