//! What the caller has to do next, and the periodic work.

use super::timers::Timer;
use super::AdmissionController;
use crate::api::NextAction;

/// Seconds between periodic looks at what waits and what is in flight.
const TICK_INTERVAL_SECONDS: f64 = 0.1;
/// Shortest wait asked of the caller, in seconds.
const MIN_WAIT_SECONDS: f64 = 1e-3;

impl AdmissionController {
    /// What to do next. To be called after every event, again after each action, until it says to wait, and once more
    /// when that time is over.
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
                // The held queue counts again by its own time.
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
