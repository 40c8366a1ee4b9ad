//! The scheduler drives the admission controller: it passes events to the controller, carries out the controller's
//! decisions, wakes it when its timer is due, and keeps the open queries.
//!
//! The scheduler itself decides about requests that open no query: a request that repeats an open or finished query,
//! has the key of a different query, is denied by the plan, or may have been run by an earlier process. If the client
//! of an open query leaves, the scheduler answers the query as failed.
//!
//! This file holds the lock, the timer and `handle_event`, through which every event reaches the controller. Giving a
//! final answer and releasing a query change only the scheduler's own state; they take the lock without `handle_event`.
//!
//! - `admission` opens queries; `query_end` answers and releases them; `waiter` tracks the waiting clients.
//! - `query_index` records which query keys have been seen; `answer_cache` keeps the answers of finished queries.
//! - `open_query` and `state` define the state that the lock guards.
//! - `attempt_check` refuses attempts that would break a rule; `attempts`, `updates`, `recovery` and `shutdown` handle the remaining events.
//! - `messages` defines the scheduler's inputs and outputs.

mod admission;
mod answer_cache;
mod attempt_check;
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
use crate::supervision::Supervisor;
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

/// Limits on what is kept of finished queries.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// Size of the cache of answers, in bytes.
    pub answer_cache_bytes: usize,
    /// Number of keys that are remembered.
    pub finished_keys: usize,
}

/// The admission controller with its timer and the open queries. Times are in seconds on the gateway's [`Clock`].
pub struct Scheduler {
    clock: Clock,
    state: Mutex<SchedulerState>,
    /// Wakes [`Scheduler::run_timer`] when the controller becomes due earlier than the timer is set for.
    earlier_wakeup: Notify,
    health_checks: UnboundedSender<EngineId>,
    open_count: watch::Sender<usize>,
    /// The time by which all answers are due, in seconds on the gateway's clock; `None` until a shutdown is announced.
    answers_due: watch::Sender<Option<f64>>,
    /// The time for which the key of a finished query is remembered, in seconds.
    finished_retention: f64,
    /// Starts the tasks that end the queries of clients that have left.
    supervisor: Supervisor,
    /// Hashes requests into fingerprints. Its random seed differs between processes, so fingerprints are valid only in
    /// this process.
    fingerprint_hasher: RandomState,
}

impl Scheduler {
    /// Creates a scheduler and the channel on which it requests health checks of engines.
    ///
    /// Keys of finished queries, and arrivals of ordering keys, are remembered for `finished_retention` seconds, within
    /// `limits`. That is at least the longest time that a query allows.
    pub fn new(
        controller: AdmissionController,
        plan_router: Option<PlanRouter>,
        clock: Clock,
        finished_retention: f64,
        limits: MemoryLimits,
        supervisor: Supervisor,
    ) -> (Self, UnboundedReceiver<EngineId>) {
        let (health_checks, health_check_requests) = unbounded_channel();
        let state = SchedulerState::new(
            controller,
            plan_router,
            clock.now(),
            limits,
            finished_retention,
            supervisor.clone(),
        );
        let scheduler = Scheduler {
            clock,
            state: Mutex::new(state),
            earlier_wakeup: Notify::new(),
            health_checks,
            open_count: watch::Sender::new(0),
            answers_due: watch::Sender::new(None),
            finished_retention,
            supervisor,
            fingerprint_hasher: RandomState::new(),
        };
        (scheduler, health_check_requests)
    }

    /// The clock on which all times of the scheduler are measured.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    fn state(&self) -> MutexGuard<'_, SchedulerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an event to the state, then carries out all actions of the controller that are due.
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
                    // Sending fails only while the gateway stops, when the receiver has been dropped.
                    let _ = self.health_checks.send(engine);
                }
                // The gateway is always subscribed to the endpoint list, so there is nothing to do.
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

    /// Wakes the controller whenever it is due. Never returns; the gateway runs this in the background.
    pub async fn run_timer(&self) {
        loop {
            let wakes_at = Instant::from_std(self.clock.instant(self.state().wakes_at));
            tokio::select! {
                () = sleep_until(wakes_at) => self.handle_event(|_, _| ()),
                () = self.earlier_wakeup.notified() => {}
            }
        }
    }

    /// The earliest time, in seconds on the gateway's clock, at which a request that was read at `read_at` can have
    /// arrived. The request may have waited unread while this process was stalled.
    pub fn arrival_time(&self, read_at: std::time::Instant) -> f64 {
        let now = self.clock.now();
        let read_at = self.clock.at(read_at);
        self.state().stall_detector.arrival_time(now, read_at)
    }
}
