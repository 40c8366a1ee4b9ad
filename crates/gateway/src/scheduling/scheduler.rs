//! The desk: the decision module behind one lock, its one timer, and the batches in hand. It hands facts in
//! and orders out, and decides nothing.
//!
//! This file has the lock, the timer and the facts that come in; `intake` takes queries, `ending` answers them and lets them
//! go, `waiter` is who waits for one, `in_hand` what is kept of each, `kept_answers` the answers of those that are over, `order` the plain values that go in and out.

mod admission;
mod answer_cache;
mod messages;
mod query_end;
mod state;
mod waiter;

use crate::discovery::EngineUpdate;
use crate::scheduling::plan_routing::PlanRouter;
use crate::storage::query_journal::RecoveredQuery;
use crate::system::clock::Clock;
use crate::system::stall_detector::StallDetector;
use answer_cache::AnswerCache;
use garnetwall::api::{
    AttemptEnd, AttemptOutcome, EngineId, FollowUp, Idempotency, LoadReport, NextAction, Progress,
    QueryClass, QueryId,
};
use garnetwall::controller::AdmissionController;
use garnetwall_plan::Plan;
use state::{OpenQuery, SchedulerState};
use std::collections::{HashMap, VecDeque};
use std::hash::RandomState;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, Instant};

pub use messages::{Admission, ArrivingQuery, Command, QueryAnswer};
pub use waiter::Waiter;

pub struct Scheduler {
    clock: Clock,
    state: Mutex<SchedulerState>,
    earlier_wakeup: Notify,
    health_checks: UnboundedSender<EngineId>,
    open_count: watch::Sender<usize>,
    shutdown_at: watch::Sender<Option<f64>>,
    /// How long an id that is over is remembered.
    finished_retention: f64,
    /// For fingerprints of calls.
    fingerprint_hasher: RandomState,
}

impl Scheduler {
    /// A desk, and the engines that the module wants to have probed. Ids that are over are remembered for so many seconds, and their
    /// answers kept for the same call in so many bytes.
    pub fn new(
        controller: AdmissionController,
        plan_router: Option<PlanRouter>,
        clock: Clock,
        finished_retention: f64,
        answer_bytes: usize,
    ) -> (Self, UnboundedReceiver<EngineId>) {
        let (health_checks, health_check_requests) = unbounded_channel();
        let state = SchedulerState {
            controller,
            plan_router,
            next_query_id: 0,
            states_by_key: HashMap::new(),
            open_queries: HashMap::new(),
            finished_queries: VecDeque::new(),
            answer_cache: AnswerCache::new(answer_bytes),
            recovered: HashMap::new(),
            recovery_pending: false,
            non_idempotent_classes: Vec::new(),
            wakes_at: clock.now(),
            stall_detector: StallDetector::new(clock.now()),
        };
        let open_count = watch::Sender::new(0);
        let shutdown_at = watch::Sender::new(None);
        let state = Mutex::new(state);
        let fingerprint_hasher = RandomState::new();
        (
            Scheduler {
                clock,
                state,
                earlier_wakeup: Notify::new(),
                health_checks,
                open_count,
                shutdown_at,
                finished_retention,
                fingerprint_hasher,
            },
            health_check_requests,
        )
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    fn state(&self) -> MutexGuard<'_, SchedulerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands a fact to the module, then asks it what is due until it wants to wait.
    fn handle_event<T>(&self, event: impl FnOnce(&mut SchedulerState, f64) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.state();
        state.stall_detector.running(now);
        let result = event(&mut state, now);
        let armed_for = state.wakes_at;
        loop {
            match state.controller.next_action(now) {
                NextAction::Place(id) => state.place(&self.clock, now, id),
                NextAction::HealthCheck(engine) => drop(self.health_checks.send(engine)),
                // The change log is followed at all times.
                NextAction::Subscribe => {}
                NextAction::Cancel { query: id, attempt } => {
                    state.send_command(id, Command::CancelAttempt { attempt })
                }
                NextAction::Wait(span) => {
                    state.wakes_at = now + span;
                    break;
                }
            }
        }
        if state.wakes_at < armed_for {
            self.earlier_wakeup.notify_one();
        }
        result
    }

    /// Wakes the module when it wants to be woken, for as long as the gateway runs.
    pub async fn run_timer(&self) {
        loop {
            let wake = Instant::from_std(self.clock.instant(self.state().wakes_at));
            tokio::select! {
                () = sleep_until(wake) => self.handle_event(|_, _| ()),
                () = self.earlier_wakeup.notified() => {}
            }
        }
    }

    pub fn update_endpoints(&self, lines: &[EngineUpdate], whole: bool) {
        let endpoints: Vec<_> = lines.iter().map(|line| line.listed).collect();
        self.handle_event(|state, _| {
            state.controller.update_endpoints(&endpoints, whole);
            let updates = state
                .plan_router
                .as_mut()
                .map(|plan_router| plan_router.update_endpoints(lines, whole));
            state.update_endpoint_subsets(updates.unwrap_or_default());
        });
    }

    /// The classes as they are now: which are once-only.
    pub fn set_classes(&self, classes: &[QueryClass]) {
        let once_only = classes
            .iter()
            .map(|class| class.idempotency == Idempotency::NonIdempotent)
            .collect();
        self.handle_event(|state, _| state.non_idempotent_classes = once_only);
    }

    /// What an earlier process sent is not known yet: a once-only batch that comes may have run.
    pub fn await_recovery(&self) {
        self.state().recovery_pending = true;
    }

    /// Once-only batches that an earlier process sent, and whether each is proved over: none is sent again, and the keys
    /// of those that are not rest for as long as a dispatch can run that nobody asks for.
    pub fn recovered(&self, queries: &[RecoveredQuery], longest_unpolled_run: Duration) {
        self.handle_event(|state, now| {
            state.recovery_pending = false;
            for RecoveredQuery { started, finished } in queries {
                state
                    .recovered
                    .insert(started.id, started.may_run_until_ms as f64 / 1000.0);
                if let Some(key) = started.ordering_key.filter(|_| !finished) {
                    state
                        .controller
                        .pause_key(key, now + longest_unpolled_run.as_secs_f64());
                }
            }
        });
    }

    /// Whether batches of a group are once-only now.
    pub fn is_non_idempotent(&self, group: usize) -> bool {
        self.state()
            .non_idempotent_classes
            .get(group)
            .copied()
            .unwrap_or_default()
    }

    /// Takes up another plan, with the classes as it has them; whether there is one to take the place of.
    pub fn update_plan(&self, plan: Arc<Plan>, classes: &[QueryClass]) -> bool {
        self.handle_event(|state, _| {
            let Some(plan_router) = state.plan_router.as_mut() else {
                return false;
            };
            let updates = plan_router.update_plan(plan);
            state.update_endpoint_subsets(updates);
            state.controller.update_classes(classes);
            state.non_idempotent_classes = classes
                .iter()
                .map(|class| class.idempotency == Idempotency::NonIdempotent)
                .collect();
            true
        })
    }

    pub fn health_check_ended(
        &self,
        engine: EngineId,
        end: AttemptEnd,
        report: Option<LoadReport>,
    ) {
        self.handle_event(|state, now| {
            state.controller.health_check_ended(now, engine, end);
            if let Some(report) = report {
                state.controller.load_reported(now, engine, report);
            }
        });
    }

    /// What follows an outcome.
    pub fn attempt_ended(
        &self,
        id: QueryId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> FollowUp {
        self.handle_event(|state, now| {
            if let Some(report) = report {
                state.controller.load_reported(now, outcome.engine, report);
            }
            let closed = outcome.query_finished
                || state.open_queries.get(&id).is_none_or(OpenQuery::is_over);
            state.controller.attempt_ended(
                now,
                id,
                AttemptOutcome {
                    query_finished: closed,
                    ..outcome
                },
            )
        })
    }

    /// A note of its engine on a dispatch that is out.
    pub fn attempt_progressed(&self, id: QueryId, attempt: u32, progress: Progress) {
        self.handle_event(|state, now| {
            state
                .controller
                .attempt_progressed(now, id, attempt, progress)
        });
    }

    /// A batch's body is not there any more for a further dispatch.
    pub fn body_discarded(&self, id: QueryId) {
        self.handle_event(|state, _| state.controller.body_discarded(id));
    }

    /// What is answered for a dispatch whose end is not known; it stays out until `after`.
    pub fn outcome_unknown(&self, id: QueryId, outcome: AttemptOutcome) -> FollowUp {
        self.handle_event(|state, now| state.controller.outcome_unknown(now, id, outcome))
    }

    /// The gateway ends then: everything in hand, and what still comes, is to be answered before.
    pub fn shut_down_at(&self, at: f64) {
        self.handle_event(|state, _| state.controller.shut_down_at(at));
        self.shutdown_at.send_replace(Some(at));
    }

    /// Until the gateway ends.
    pub async fn until_shutdown(&self) {
        // It fails only with the sender gone, which this desk holds.
        let at = self
            .shutdown_at
            .subscribe()
            .wait_for(Option::is_some)
            .await
            .ok()
            .and_then(|at| *at);
        sleep_until(Instant::from_std(
            self.clock.instant(at.unwrap_or_default()),
        ))
        .await;
    }

    /// The earliest time at which what was read at this instant can have come.
    pub fn arrival_time(&self, read: std::time::Instant) -> f64 {
        let (now, read) = (self.clock.now(), self.clock.at(read));
        self.state().stall_detector.arrival_time(now, read)
    }

    pub fn open_queries(&self) -> usize {
        *self.open_count.borrow()
    }

    /// Until nothing is in hand.
    pub async fn until_idle(&self) {
        // It fails only with the sender gone, which this desk holds.
        let _ = self.open_count.subscribe().wait_for(|n| *n == 0).await;
    }
}
