//! The scheduler: the admission controller behind one lock, its timer, and the open queries. It hands events to the controller and
//! carries out what the controller decides. Of its own it decides only what needs no attempt: a repeat of a query that is open or
//! over, a query that an earlier process may have run, and a query whose client has left, which it answers as failed.
//!
//! This file holds the lock, the timer and `handle_event`, the way of all that the controller has to hear of. Final answers and
//! the release of a query change only what the scheduler itself keeps, and take the lock directly. `admission` opens queries, `query_end` answers and releases
//! them, `waiter` tracks the clients that wait; `query_index` knows which query keys were seen, `answer_cache` keeps the
//! answers of finished queries; `open_query` and `state` are what the lock guards. `attempts`, `updates`, `recovery` and
//! `shutdown` take the other events; `messages` has the values that go in and out.

mod admission;
mod answer_cache;
mod attempts;
mod messages;
mod open_query;
mod query_end;
mod query_index;
mod recovery;
mod shutdown;
mod state;
mod updates;
mod waiter;

use crate::scheduling::plan_routing::PlanRouter;
use crate::system::clock::Clock;
use garnetwall::api::{EngineId, NextAction};
use garnetwall::controller::AdmissionController;
use state::SchedulerState;
use std::hash::RandomState;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, Instant};

pub use messages::{
    Admission, ArrivingQuery, CancelOutcome, Command, OpenedQuery, PlanUpdate, QueryAnswer,
};
pub use waiter::Waiter;

/// The admission controller with its timer and the open queries. Times are seconds on the gateway's [`Clock`].
pub struct Scheduler {
    clock: Clock,
    state: Mutex<SchedulerState>,
    /// Notified where the controller is due earlier than the timer is set for.
    earlier_wakeup: Notify,
    health_checks: UnboundedSender<EngineId>,
    open_count: watch::Sender<usize>,
    /// When all answers are due, once the gateway shuts down.
    answers_due: watch::Sender<Option<f64>>,
    /// Seconds for which the key of a finished query is remembered.
    finished_retention: f64,
    /// Hashes requests into fingerprints, with a seed of this process.
    fingerprint_hasher: RandomState,
}

impl Scheduler {
    /// Creates a scheduler, and the stream of engines that the controller wants a health check of.
    ///
    /// Keys of finished queries are remembered for `finished_retention` seconds; their answers are cached in `answer_cache_bytes`.
    pub fn new(
        controller: AdmissionController,
        plan_router: Option<PlanRouter>,
        clock: Clock,
        finished_retention: f64,
        answer_cache_bytes: usize,
    ) -> (Self, UnboundedReceiver<EngineId>) {
        let (health_checks, health_check_requests) = unbounded_channel();
        let state = SchedulerState::new(controller, plan_router, clock.now(), answer_cache_bytes);
        let scheduler = Scheduler {
            clock,
            state: Mutex::new(state),
            earlier_wakeup: Notify::new(),
            health_checks,
            open_count: watch::Sender::new(0),
            answers_due: watch::Sender::new(None),
            finished_retention,
            fingerprint_hasher: RandomState::new(),
        };
        (scheduler, health_check_requests)
    }

    /// The clock that all times of the scheduler are on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    fn state(&self) -> MutexGuard<'_, SchedulerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an event, then carries out all that the controller wants done now.
    fn handle_event<T>(&self, event: impl FnOnce(&mut SchedulerState, f64) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.state();
        state.stall_detector.record_run(now);
        let result = event(&mut state, now);
        let previous_wakeup = state.wakes_at;
        self.run_due_actions(&mut state, now);
        if state.wakes_at < previous_wakeup {
            self.earlier_wakeup.notify_one();
        }
        result
    }

    fn run_due_actions(&self, state: &mut SchedulerState, now: f64) {
        loop {
            match state.controller.next_action(now) {
                NextAction::Place(id) => state.place(&self.clock, now, id),
                NextAction::HealthCheck(engine) => {
                    // It fails only while the gateway stops.
                    let _ = self.health_checks.send(engine);
                }
                // The gateway follows the endpoint list at all times.
                NextAction::Subscribe => {}
                NextAction::Cancel { query: id, attempt } => {
                    state.send_command(id, Command::CancelAttempt { attempt });
                }
                NextAction::Wait(seconds) => {
                    state.wakes_at = now + seconds;
                    return;
                }
            }
        }
    }

    /// Wakes the controller when it is due, for as long as the gateway runs.
    pub async fn run_timer(&self) {
        loop {
            let wakes_at = Instant::from_std(self.clock.instant(self.state().wakes_at));
            tokio::select! {
                () = sleep_until(wakes_at) => self.handle_event(|_, _| ()),
                () = self.earlier_wakeup.notified() => {}
            }
        }
    }

    /// The earliest time at which a request that was read at this instant can have arrived.
    pub fn arrival_time(&self, read_at: std::time::Instant) -> f64 {
        let now = self.clock.now();
        let read_at = self.clock.at(read_at);
        self.state().stall_detector.arrival_time(now, read_at)
    }
}
