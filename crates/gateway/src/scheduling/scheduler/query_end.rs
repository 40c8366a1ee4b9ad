//! A query ends: it is answered, let go, or withdrawn.

use super::state::Job;
use super::{QueryAnswer, Scheduler};
use garnetwall::api::QueryId;

impl Scheduler {
    /// Gives a batch its final answer; only the first counts.
    pub fn answer(&self, id: QueryId, last: QueryAnswer) {
        if let Some(b) = self.state().in_hand.get(&id).filter(|b| !b.is_over()) {
            tracing::debug!(
                batch = id,
                left = b.limit - self.clock.now(),
                end = last.name(),
                "answer"
            );
            b.answer.send_replace(Some(last));
        }
    }

    /// Lets a batch go: it is over and every dispatch has its outcome.
    pub fn release(&self, id: QueryId) {
        let mut seats = self.state();
        if let Some(b) = seats.in_hand.remove(&id) {
            seats.jobs.insert(b.job, Job::Over);
            let now = self.clock.now();
            let last = b.answer.borrow().clone();
            if let (Some(fingerprint), Some(last)) = (b.fingerprint, last) {
                seats
                    .kept_answers
                    .keep(now, b.job, fingerprint, last, b.limit);
            }
            seats.over.push_back((now + self.remembered, b.job));
            seats.leaves(now, b.passage);
        }
        self.in_hand.send_replace(seats.in_hand.len());
    }

    /// The client of this id withdraws it; whether it was in hand.
    pub fn cancel(&self, job: u64) -> bool {
        self.handle_event(|seats, now| match seats.jobs.get(&job) {
            Some(&Job::OpenQuery(id)) => {
                seats.gone(now, id);
                true
            }
            _ => false,
        })
    }
}
