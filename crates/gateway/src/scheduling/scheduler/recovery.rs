//! Recovery of the non-idempotent queries that an earlier process of this gateway sent.

use super::Scheduler;
use crate::storage::query_journal::RecoveredQuery;
use crate::system::clock::MILLIS_PER_SECOND;
use std::time::Duration;

impl Scheduler {
    /// Announces that the journal is being read. Until [`complete_recovery`](Scheduler::complete_recovery) is called,
    /// every non-idempotent query that arrives is treated as one that may have run.
    pub fn set_recovery_pending(&self) {
        self.state().query_index.set_recovery_pending();
    }

    /// Records the queries found in the journal, none of which is sent again.
    ///
    /// Ordering keys of queries that may still run are paused for `longest_unpolled_run`, the longest time for which an
    /// attempt runs without being polled.
    pub fn complete_recovery(&self, queries: &[RecoveredQuery], longest_unpolled_run: Duration) {
        self.handle_event(|state, now| {
            let resumes_at = now + longest_unpolled_run.as_secs_f64();
            for RecoveredQuery { record, finished } in queries {
                let expires_at = record.may_run_until_ms as f64 / MILLIS_PER_SECOND;
                state.query_index.recover(record.query_key, expires_at);
                if let Some(key) = record.ordering_key.filter(|_| !finished) {
                    state.controller.pause_ordering_key(key, resumes_at);
                }
            }
            state.query_index.set_recovery_complete();
        });
    }
}
