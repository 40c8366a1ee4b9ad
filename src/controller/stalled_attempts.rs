//! Detects attempts without progress: counts overdue attempts as load, and cancels lost attempts so that their queries
//! can run on another engine.

use super::load::{MAX_OBSERVED_LOAD, SLOWDOWN_AT_LOAD_LIMIT};
use super::load_shedding::estimate_uncertainty;
use super::query_state::QueryPhase;
use super::{AdmissionController, AttemptRef};
use crate::api::{Idempotency, Progress, QueryId};

/// Slowdown (ratio of latency to uncontended run time) above which an attempt in flight counts as overdue if its query
/// has a work estimate.
const OVERDUE_SLOWDOWN: f64 = MAX_OBSERVED_LOAD * SLOWDOWN_AT_LOAD_LIMIT;
/// Exponent applied to the uncertainty factor of the expected work. The result multiplies the time after which an
/// attempt is overdue if its query has no work estimate.
const UNCERTAINTY_EXPONENT: i32 = 4;
/// Number of progress intervals without an event after which an attempt counts as lost. One late event is common, two
/// are rare.
const LOST_AFTER_PROGRESS_INTERVALS: f64 = 2.5;

impl AdmissionController {
    /// Reports a progress event from an engine. `attempt` is the number of the attempt within the query, from 0. Events
    /// of any but the latest attempt are ignored. An attempt that waits for a data load is cancelled if its query may
    /// run on another engine.
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

    /// Checks all attempts in flight: counts each overdue attempt as load once, and cancels the lost ones, whose engine
    /// process has restarted or has stopped sending progress events.
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

    /// Cancels an attempt without progress if its query may run on another engine. This applies to idempotent queries
    /// only; others, including those that are idempotent by key, wait for their outcome.
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
