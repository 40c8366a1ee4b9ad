//! The end of a query: its final answer, its cancellation by the client, and its release.

use super::query_index::{KeyRetention, QueryKeyState};
use super::{CancelOutcome, QueryAnswer, Scheduler};
use crate::scheduling::log_millis;
use garnetwall::api::QueryId;

impl Scheduler {
    /// Gives a query its final answer. Only the first answer takes effect; later ones are ignored.
    pub fn record_final_answer(&self, id: QueryId, answer: QueryAnswer) {
        let state = self.state();
        let query = state.open_queries.get(&id);
        if let Some(query) = query.filter(|query| !query.is_finished()) {
            tracing::debug!(
                query_id = id,
                answer = answer.name(),
                remaining_ms = log_millis(query.deadline - self.clock.now()),
                "query answered"
            );
            self.supervisor.metrics().query_answered(answer.name());
            query.answer.send_replace(Some(answer));
        }
    }

    /// Answers a query as failed, unless it already has an answer. No further attempt of it begins.
    pub fn end_as_failed(&self, id: QueryId) {
        self.handle_event(|state, now| state.end_as_failed(now, id));
    }

    /// Releases a query that is finished and whose attempts have all ended; `attempts` is their number. Its key stays
    /// known for the retention time, or as long as there is space if it may run again. Its answer goes to the answer
    /// cache, unless the statement was streamed.
    pub fn release(&self, id: QueryId, attempts: u32) {
        let mut state = self.state();
        if let Some(query) = state.open_queries.remove(&id) {
            let now = self.clock.now();
            let answer = query.answer.borrow().clone();
            if let (Some(fingerprint), Some(answer)) = (query.fingerprint, answer) {
                let cache = &mut state.answer_cache;
                cache.insert(now, query.query_key, fingerprint, answer, query.deadline);
            }
            let expires_at = now + self.finished_retention;
            let retention = match query.is_idempotent || attempts == 0 {
                true => KeyRetention::WhileSpace,
                false => KeyRetention::Required,
            };
            let query_index = &mut state.query_index;
            query_index.finish(query.query_key, expires_at, retention);
            state.release_plan_admission(now, query.plan_admission);
        }
        self.open_count.send_replace(state.open_queries.len());
    }

    /// Cancels the open query of a key at the request of its client. The query is answered as failed, unless it already
    /// has an answer.
    pub fn cancel(&self, query_key: u64) -> CancelOutcome {
        self.handle_event(|state, now| match state.query_index.state(query_key) {
            Some(QueryKeyState::Open(id)) => {
                state.client_left(now, id);
                CancelOutcome::Cancelled
            }
            Some(QueryKeyState::Finished | QueryKeyState::Recovered) | None => {
                CancelOutcome::NotOpen
            }
        })
    }
}
