//! Attempts that make no progress: those that take far longer than usual count as load, and those that are lost are
//! cancelled, so that their query can run elsewhere.

use super::load::{MAX_OBSERVED_LOAD, SLOWDOWN_AT_LOAD_LIMIT};
use super::load_shedding::estimate_uncertainty;
use super::query_state::QueryPhase;
use super::{AdmissionController, AttemptRef};
use crate::api::{Idempotency, Progress, QueryId};

/// Latency over bare work from which an attempt in flight counts as overdue, where the work is known well.
const OVERDUE_SLOWDOWN: f64 = MAX_OBSERVED_LOAD * SLOWDOWN_AT_LOAD_LIMIT;
/// Power of the estimate's uncertainty by which overdue comes later.
const UNCERTAINTY_EXPONENT: i32 = 4;
/// Progress events that may be missing before an attempt counts as lost. One may be late, two hardly.
const LOST_AFTER_PROGRESS_INTERVALS: f64 = 2.5;

impl AdmissionController {
    /// An engine has sent a progress event. `attempt` is its number within the query, from 0.
    pub fn attempt_progressed(&mut self, now: f64, id: QueryId, attempt: u32, progress: Progress) {
        let Some(state) = self.queries.get_mut(&id) else {
            return;
        };
        if state.attempts != attempt + 1 {
            return;
        }
        let Some(in_flight) = state.in_flight.as_mut() else {
            return;
        };
        in_flight.last_progress_at = now;
        if progress == Progress::WaitingForDataLoad {
            self.cancel_stalled(now, id);
        }
    }

    /// Looks at all attempts in flight: counts the overdue ones as load once, and cancels those that are lost, because
    /// the engine's process has restarted or has stopped sending progress events.
    pub(super) fn check_in_flight(&mut self, now: f64) {
        let in_flight: Vec<QueryId> = self
            .queries
            .values()
            .filter(|state| state.in_flight.is_some())
            .map(|state| state.id())
            .collect();
        for id in in_flight {
            self.count_overdue(now, id);
            if self.is_lost(now, id) {
                self.cancel_stalled(now, id);
            }
        }
    }

    fn count_overdue(&mut self, now: f64, id: QueryId) {
        let state = &self.queries[&id];
        let Some(attempt) = state.in_flight.filter(|attempt| !attempt.counted_overdue) else {
            return;
        };
        let query = &state.query;
        let overdue_seconds = OVERDUE_SLOWDOWN
            * estimate_uncertainty(query).powi(UNCERTAINTY_EXPONENT)
            * self.expected_work(query)
            / self.settings.classes[query.class].threads;
        let is_overdue = now - attempt.begun_at.max(self.resumed_at) > overdue_seconds;
        if !is_overdue {
            return;
        }
        self.infer_load(now, attempt.engine, MAX_OBSERVED_LOAD);
        let in_flight = self.queries.get_mut(&id).and_then(|s| s.in_flight.as_mut());
        if let Some(attempt) = in_flight {
            attempt.counted_overdue = true;
        }
    }

    fn is_lost(&self, now: f64, id: QueryId) -> bool {
        let Some(attempt) = self.queries[&id].in_flight else {
            return false;
        };
        let interval = self.settings.progress_interval;
        let max_silence = if interval > 0.0 {
            LOST_AFTER_PROGRESS_INTERVALS * interval
        } else {
            f64::INFINITY
        };
        let silent = now - attempt.last_progress_at.max(self.resumed_at) > max_silence;
        let endpoint = self.engines[attempt.engine].endpoint;
        let started_at = endpoint.and_then(|endpoint| endpoint.started_at);
        silent || started_at.is_some_and(|started_at| started_at > attempt.begun_at)
    }

    /// Cancels an attempt that makes no progress, where its query may run again elsewhere. Only idempotent queries: the
    /// others, also those with a key, wait for their outcome.
    fn cancel_stalled(&mut self, now: f64, id: QueryId) {
        let state = &self.queries[&id];
        let class = &self.settings.classes[state.query.class];
        let may_run_elsewhere = class.idempotency == Idempotency::Idempotent
            && state.phase == QueryPhase::InFlight
            && self.settings.cancellation_allowed
            && self.may_retry(now, state);
        if may_run_elsewhere {
            let attempt = AttemptRef {
                query: id,
                attempt: state.last_attempt(),
            };
            self.pending_cancellations.push_back(attempt);
        }
    }
}
