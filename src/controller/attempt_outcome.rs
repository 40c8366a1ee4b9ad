//! Updates the statistics of an engine and of a query class from the outcome of an attempt.

use super::attempt_state::Attempt;
use super::load::{MAX_OBSERVED_LOAD, SLOWDOWN_AT_LOAD_LIMIT};
use super::{AdmissionController, MIN_DIVISOR};
use crate::api::{AttemptEnd, AttemptOutcome, Query};

impl AdmissionController {
    /// Records an outcome: time in flight, inferred load, failure rate and class statistics. This happens once for each
    /// attempt.
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
            // The engine works, since it has answered another attempt after this one started. This attempt was only
            // slow, or it was cancelled because no client waited for it.
            AttemptEnd::TimedOut | AttemptEnd::Cancelled if self.has_succeeded_since(attempt) => {}
            AttemptEnd::NotNeeded | AttemptEnd::NotSent => {}
            AttemptEnd::Failed
            | AttemptEnd::TimedOut
            | AttemptEnd::ConnectFailed
            | AttemptEnd::ConnectionLost
            | AttemptEnd::Cancelled => self.record_failure(now, attempt.engine),
        }
    }

    /// Returns the slowdown of an attempt: the ratio of its latency to its uncontended run time (work divided by
    /// threads). Returns 0 for an attempt that was in flight while this process was stalled, because its answer may
    /// have waited in this process.
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
