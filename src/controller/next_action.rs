//! Determines the next action of the caller, and runs the periodic checks.

use super::timers::Timer;
use super::AdmissionController;
use crate::api::NextAction;

/// Interval of the periodic checks of waiting queries and of attempts in flight, in seconds.
const TICK_INTERVAL_SECONDS: f64 = 0.1;
/// Shortest wait that is returned to the caller, in seconds.
const MIN_WAIT_SECONDS: f64 = 1e-3;

impl AdmissionController {
    /// Returns the next action of the caller. The caller asks after every event and after each action, until the action
    /// is to wait, and again when the wait is over.
    pub fn next_action(&mut self, now: f64) -> NextAction {
        self.observe_time(now);
        self.run_due_timers(now);
        if std::mem::take(&mut self.subscription_due) {
            return NextAction::Subscribe;
        }
        if let Some(attempt) = self.pending_cancellations.pop_front() {
            return NextAction::Cancel {
                query: attempt.query,
                attempt: attempt.attempt,
            };
        }
        if let Some(engine) = self.pending_health_checks.pop_front() {
            return NextAction::HealthCheck(engine);
        }
        let next_timer = self.timers.next_at();
        let wait = next_timer.map_or(TICK_INTERVAL_SECONDS, |at| at - now);
        let mut to_place = self
            .abandoned
            .pop_front()
            .or_else(|| self.next_in_queue(now));
        if to_place.is_none() && std::mem::take(&mut self.shedding_due) {
            self.shed_load(now);
            to_place = self.abandoned.pop_front();
        }
        match to_place {
            Some(id) => NextAction::Place(id),
            None => NextAction::Wait(wait.max(MIN_WAIT_SECONDS)),
        }
    }

    fn run_due_timers(&mut self, now: f64) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Tick => self.tick(now),
                // `ClassQueue::held_until` makes the queue available again; the timer only wakes the caller.
                Timer::PlacementRetry => {}
                Timer::KeyPauseEnd(key) => self.release_key(now, key),
                Timer::Deadline(id) => self.abandon(id),
            }
        }
    }

    fn tick(&mut self, now: f64) {
        self.timers
            .schedule(now + TICK_INTERVAL_SECONDS, Timer::Tick);
        self.expire_retry_windows(now);
        self.queue_health_checks(now);
        self.check_in_flight(now);
        self.shedding_due = true;
    }
}
