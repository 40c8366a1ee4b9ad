//! What the outcome of an attempt shows of its engine and of its query's class.

use super::attempt_state::Attempt;
use super::load::{MAX_OBSERVED_LOAD, SLOWDOWN_AT_LOAD_LIMIT};
use super::{AdmissionController, MIN_DIVISOR};
use crate::api::{AttemptEnd, AttemptOutcome, Query};

impl AdmissionController {
    /// Records an outcome, once for each attempt: how long it was in flight, load, failure rate and class statistics.
    pub(super) fn record_outcome(
        &mut self,
        now: f64,
        query: &Query,
        attempt: &Attempt,
        outcome: &AttemptOutcome,
    ) {
        let slowdown = self.slowdown(query, attempt, outcome);
        if matches!(outcome.end, AttemptEnd::Succeeded | AttemptEnd::TimedOut) {
            self.count_in_flight_time(query, outcome);
        }
        self.engines[attempt.engine].contacted = true;
        match outcome.end {
            AttemptEnd::Succeeded => {
                if !attempt.counted_overdue {
                    let load = (slowdown / SLOWDOWN_AT_LOAD_LIMIT).min(MAX_OBSERVED_LOAD);
                    self.infer_load(now, attempt.engine, load);
                }
                self.record_success(now, attempt.engine);
                self.learn_from_answer(query, outcome, slowdown);
            }
            AttemptEnd::Rejected => {
                self.record_rejection(now, attempt.engine);
                self.infer_load(now, attempt.engine, MAX_OBSERVED_LOAD);
            }
            // An engine that has answered others since the attempt began works; the attempt was slow, or nobody waited for it.
            AttemptEnd::TimedOut | AttemptEnd::Cancelled if self.has_succeeded_since(attempt) => {}
            AttemptEnd::NotNeeded | AttemptEnd::NotSent => {}
            AttemptEnd::Failed
            | AttemptEnd::TimedOut
            | AttemptEnd::ConnectFailed
            | AttemptEnd::ConnectionLost
            | AttemptEnd::Cancelled => self.record_failure(now, attempt.engine),
        }
    }

    /// Latency over bare work. An attempt that was in flight while this process was stalled counts as one without delay: its
    /// answer may have waited here.
    fn slowdown(&self, query: &Query, attempt: &Attempt, outcome: &AttemptOutcome) -> f64 {
        let was_stalled = attempt.begun_at < self.resumed_at;
        let latency = if was_stalled { 0.0 } else { outcome.latency };
        let work = outcome.work.unwrap_or(self.expected_work(query));
        latency * self.settings.classes[query.class].threads / work.max(MIN_DIVISOR)
    }

    fn has_succeeded_since(&self, attempt: &Attempt) -> bool {
        self.engines[attempt.engine].health.last_success_at >= attempt.begun_at
    }
}
