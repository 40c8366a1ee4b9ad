//! A query ends: it is answered, let go, or withdrawn.

use super::state::QueryState;
use super::{QueryAnswer, Scheduler};
use garnetwall::api::QueryId;

impl Scheduler {
    /// Gives a batch its final answer; only the first counts.
    pub fn answer(&self, id: QueryId, last: QueryAnswer) {
        if let Some(b) = self.state().open_queries.get(&id).filter(|b| !b.is_over()) {
            tracing::debug!(
                batch = id,
                left = b.deadline - self.clock.now(),
                end = last.name(),
                "answer"
            );
            b.answer.send_replace(Some(last));
        }
    }

    /// Lets a batch go: it is over and every dispatch has its outcome.
    pub fn release(&self, id: QueryId) {
        let mut state = self.state();
        if let Some(b) = state.open_queries.remove(&id) {
            state
                .states_by_key
                .insert(b.query_key, QueryState::Finished);
            let now = self.clock.now();
            let last = b.answer.borrow().clone();
            if let (Some(fingerprint), Some(last)) = (b.fingerprint, last) {
                state
                    .answer_cache
                    .insert(now, b.query_key, fingerprint, last, b.deadline);
            }
            state
                .finished_queries
                .push_back((now + self.finished_retention, b.query_key));
            state.release_plan_admission(now, b.plan_admission);
        }
        self.open_count.send_replace(state.open_queries.len());
    }

    /// The client of this id withdraws it; whether it was in hand.
    pub fn cancel(&self, query_key: u64) -> bool {
        self.handle_event(|state, now| match state.states_by_key.get(&query_key) {
            Some(&QueryState::Open(id)) => {
                state.client_left(now, id);
                true
            }
            _ => false,
        })
    }
}
