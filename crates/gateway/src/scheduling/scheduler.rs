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
use crate::system::clock::Clock;
use crate::system::stall_detector::StallDetector;
use answer_cache::AnswerCache;
use garnetwall::api::{
    AttemptEnd, AttemptOutcome, EngineId, FollowUp, Idempotency, LoadReport, NextAction, Progress,
    QueryClass, QueryId,
};
use garnetwall::controller::AdmissionController;
use garnetwall_ledger::records::SentQuery;
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
    earlier: Notify,
    probes: UnboundedSender<EngineId>,
    in_hand: watch::Sender<usize>,
    ends: watch::Sender<Option<f64>>,
    /// How long an id that is over is remembered.
    remembered: f64,
    /// For fingerprints of calls.
    hashing: RandomState,
}

impl Scheduler {
    /// A desk, and the engines that the module wants to have probed. Ids that are over are remembered for so many seconds, and their
    /// answers kept for the same call in so many bytes.
    pub fn new(
        control: AdmissionController,
        planner: Option<PlanRouter>,
        clock: Clock,
        remembered: f64,
        answer_bytes: usize,
    ) -> (Self, UnboundedReceiver<EngineId>) {
        let (probes, wanted) = unbounded_channel();
        let seats = SchedulerState {
            control,
            planner,
            next: 0,
            jobs: HashMap::new(),
            in_hand: HashMap::new(),
            over: VecDeque::new(),
            kept_answers: AnswerCache::new(answer_bytes),
            recovered: HashMap::new(),
            awaits_recovery: false,
            once_only: Vec::new(),
            wake: clock.now(),
            pulse: StallDetector::new(clock.now()),
        };
        let (in_hand, ends) = (watch::Sender::new(0), watch::Sender::new(None));
        let seats = Mutex::new(seats);
        let hashing = RandomState::new();
        (
            Scheduler {
                clock,
                state: seats,
                earlier: Notify::new(),
                probes,
                in_hand,
                ends,
                remembered,
                hashing,
            },
            wanted,
        )
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    fn state(&self) -> MutexGuard<'_, SchedulerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands a fact to the module, then asks it what is due until it wants to wait.
    fn handle_event<T>(&self, tell: impl FnOnce(&mut SchedulerState, f64) -> T) -> T {
        let now = self.clock.now();
        let mut seats = self.state();
        seats.pulse.running(now);
        let told = tell(&mut seats, now);
        let armed = seats.wake;
        loop {
            match seats.control.next_action(now) {
                NextAction::Place(id) => seats.ask(&self.clock, now, id),
                NextAction::HealthCheck(engine) => drop(self.probes.send(engine)),
                // The change log is followed at all times.
                NextAction::Subscribe => {}
                NextAction::Cancel(id, dispatch) => {
                    seats.order(id, Command::CancelAttempt { dispatch })
                }
                NextAction::Wait(span) => {
                    seats.wake = now + span;
                    break;
                }
            }
        }
        if seats.wake < armed {
            self.earlier.notify_one();
        }
        told
    }

    /// Wakes the module when it wants to be woken, for as long as the gateway runs.
    pub async fn run_timer(&self) {
        loop {
            let wake = Instant::from_std(self.clock.instant(self.state().wake));
            tokio::select! {
                () = sleep_until(wake) => self.handle_event(|_, _| ()),
                () = self.earlier.notified() => {}
            }
        }
    }

    pub fn update_endpoints(&self, lines: &[EngineUpdate], whole: bool) {
        let told: Vec<_> = lines.iter().map(|line| line.listed).collect();
        self.handle_event(|seats, _| {
            seats.control.update_endpoints(&told, whole);
            let lanes = seats
                .planner
                .as_mut()
                .map(|planner| planner.update_endpoints(lines, whole));
            seats.tell(lanes.unwrap_or_default());
        });
    }

    /// The groups as they are now: which are once-only.
    pub fn set_classes(&self, groups: &[QueryClass]) {
        let once_only = groups
            .iter()
            .map(|g| g.idempotency == Idempotency::NonIdempotent)
            .collect();
        self.handle_event(|seats, _| seats.once_only = once_only);
    }

    /// What an earlier process sent is not known yet: a once-only batch that comes may have run.
    pub fn await_recovery(&self) {
        self.state().awaits_recovery = true;
    }

    /// Once-only batches that an earlier process sent, and whether each is proved over: none is sent again, and the keys
    /// of those that are not rest for as long as a dispatch can run that nobody asks for.
    pub fn recovered(&self, known: &[(SentQuery, bool)], unasked: Duration) {
        self.handle_event(|seats, now| {
            seats.awaits_recovery = false;
            for (sent, over) in known {
                seats.recovered.insert(sent.id, sent.until as f64 / 1000.0);
                if let Some(key) = sent.key.filter(|_| !over) {
                    seats.control.pause_key(key, now + unasked.as_secs_f64());
                }
            }
        });
    }

    /// Whether batches of a group are once-only now.
    pub fn is_non_idempotent(&self, group: usize) -> bool {
        self.state()
            .once_only
            .get(group)
            .copied()
            .unwrap_or_default()
    }

    /// Takes up another plan, with the groups as it has them; whether there is one to take the place of.
    pub fn update_plan(&self, plan: Arc<Plan>, groups: &[QueryClass]) -> bool {
        self.handle_event(|seats, _| {
            let Some(planner) = seats.planner.as_mut() else {
                return false;
            };
            let lanes = planner.update_plan(plan);
            seats.tell(lanes);
            seats.control.update_classes(groups);
            seats.once_only = groups
                .iter()
                .map(|g| g.idempotency == Idempotency::NonIdempotent)
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
        self.handle_event(|seats, now| {
            seats.control.health_check_ended(now, engine, end);
            if let Some(report) = report {
                seats.control.load_reported(now, engine, report);
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
        self.handle_event(|seats, now| {
            if let Some(report) = report {
                seats.control.load_reported(now, outcome.engine, report);
            }
            let closed =
                outcome.query_finished || seats.in_hand.get(&id).is_none_or(OpenQuery::is_over);
            seats.control.attempt_ended(
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
    pub fn attempt_progressed(&self, id: QueryId, dispatch: u32, note: Progress) {
        self.handle_event(|seats, now| seats.control.attempt_progressed(now, id, dispatch, note));
    }

    /// A batch's body is not there any more for a further dispatch.
    pub fn body_discarded(&self, id: QueryId) {
        self.handle_event(|seats, _| seats.control.body_discarded(id));
    }

    /// What is answered for a dispatch whose end is not known; it stays out until `after`.
    pub fn outcome_unknown(&self, id: QueryId, outcome: AttemptOutcome) -> FollowUp {
        self.handle_event(|seats, now| seats.control.outcome_unknown(now, id, outcome))
    }

    /// The gateway ends then: everything in hand, and what still comes, is to be answered before.
    pub fn shut_down_at(&self, at: f64) {
        self.handle_event(|seats, _| seats.control.shut_down_at(at));
        self.ends.send_replace(Some(at));
    }

    /// Until the gateway ends.
    pub async fn until_shutdown(&self) {
        // It fails only with the sender gone, which this desk holds.
        let at = self
            .ends
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
        self.state().pulse.arrival_time(now, read)
    }

    pub fn open_queries(&self) -> usize {
        *self.in_hand.borrow()
    }

    /// Until nothing is in hand.
    pub async fn until_idle(&self) {
        // It fails only with the sender gone, which this desk holds.
        let _ = self.in_hand.subscribe().wait_for(|n| *n == 0).await;
    }
}
