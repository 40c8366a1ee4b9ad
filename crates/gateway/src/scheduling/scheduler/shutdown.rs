//! Graceful shutdown, and the count of open queries that it waits for.

use super::Scheduler;
use tokio::time::{sleep_until, Instant};

impl Scheduler {
    /// Announces the shutdown. All answers are due by `answers_due`, in seconds on the gateway's clock; later deadlines
    /// of queries are shortened to it.
    pub fn limit_deadlines(&self, answers_due: f64) {
        self.handle_event(|state, _| state.controller.limit_deadlines(answers_due));
        self.answers_due.send_replace(Some(answers_due));
    }

    /// Waits until all answers are due. Never returns unless a shutdown is announced.
    pub async fn until_answers_due(&self) {
        let mut announcements = self.answers_due.subscribe();
        // Waiting fails only if the sender is dropped, and this scheduler owns it.
        let announced = announcements.wait_for(Option::is_some).await;
        let at = announced.ok().and_then(|at| *at).unwrap_or_default();
        sleep_until(Instant::from_std(self.clock.instant(at))).await;
    }

    /// Waits until `deadline` passes or, during a shutdown, until all answers are due, whichever is earlier.
    pub async fn until_answer_due(&self, deadline: std::time::Instant) {
        tokio::select! {
            () = sleep_until(deadline.into()) => {}
            () = self.until_answers_due() => {}
        }
    }

    /// The number of open queries, including those that are answered but still have an attempt in flight.
    pub fn open_queries(&self) -> usize {
        *self.open_count.borrow()
    }

    /// Waits until no query is open.
    pub async fn until_idle(&self) {
        let mut counts = self.open_count.subscribe();
        // Waiting fails only if the sender is dropped, and this scheduler owns it.
        let _ = counts.wait_for(|count| *count == 0).await;
    }
}
