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
use crate::scheduling::plan_routing::Planner;
use crate::system::clock::Clock;
use crate::system::stall_detector::Pulse;
use answer_cache::KeptAnswers;
use garnetwall::api::{
    AttemptEnd, AttemptOutcome, EngineId, FollowUp, Idempotency, LoadReport, NextAction, Progress,
    QueryClass, QueryId,
};
use garnetwall::controller::AdmissionController;
use garnetwall_ledger::book::Sent;
use garnetwall_plan::Plan;
use state::{InHand, Seats};
use std::collections::{HashMap, VecDeque};
use std::hash::RandomState;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, Instant};

pub use messages::{Arrival, Final, Order, Taken};
pub use waiter::Waiter;

pub struct Desk {
    clock: Clock,
    seats: Mutex<Seats>,
    earlier: Notify,
    probes: UnboundedSender<EngineId>,
    in_hand: watch::Sender<usize>,
    ends: watch::Sender<Option<f64>>,
    /// How long an id that is over is remembered.
    remembered: f64,
    /// For fingerprints of calls.
    hashing: RandomState,
}

impl Desk {
    /// A desk, and the engines that the module wants to have probed. Ids that are over are remembered for so many seconds, and their
    /// answers kept for the same call in so many bytes.
    pub fn new(
        control: AdmissionController,
        planner: Option<Planner>,
        clock: Clock,
        remembered: f64,
        answer_bytes: usize,
    ) -> (Self, UnboundedReceiver<EngineId>) {
        let (probes, wanted) = unbounded_channel();
        let seats = Seats {
            control,
            planner,
            next: 0,
            jobs: HashMap::new(),
            in_hand: HashMap::new(),
            over: VecDeque::new(),
            kept_answers: KeptAnswers::new(answer_bytes),
            recovered: HashMap::new(),
            awaits_recovery: false,
            once_only: Vec::new(),
            wake: clock.now(),
            pulse: Pulse::new(clock.now()),
        };
        let (in_hand, ends) = (watch::Sender::new(0), watch::Sender::new(None));
        let seats = Mutex::new(seats);
        let hashing = RandomState::new();
        (
            Desk {
                clock,
                seats,
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

    fn seats(&self) -> MutexGuard<'_, Seats> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands a fact to the module, then asks it what is due until it wants to wait.
    fn fact<T>(&self, tell: impl FnOnce(&mut Seats, f64) -> T) -> T {
        let now = self.clock.now();
        let mut seats = self.seats();
        seats.pulse.beat(now);
        let told = tell(&mut seats, now);
        let armed = seats.wake;
        loop {
            match seats.control.next_action(now) {
                NextAction::Place(id) => seats.ask(&self.clock, now, id),
                NextAction::HealthCheck(engine) => drop(self.probes.send(engine)),
                // The change log is followed at all times.
                NextAction::Subscribe => {}
                NextAction::Cancel(id, dispatch) => seats.order(id, Order::TakeBack { dispatch }),
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
    pub async fn keep_time(&self) {
        loop {
            let wake = Instant::from_std(self.clock.instant(self.seats().wake));
            tokio::select! {
                () = sleep_until(wake) => self.fact(|_, _| ()),
                () = self.earlier.notified() => {}
            }
        }
    }

    pub fn listed(&self, lines: &[EngineUpdate], whole: bool) {
        let told: Vec<_> = lines.iter().map(|line| line.listed).collect();
        self.fact(|seats, _| {
            seats.control.update_endpoints(&told, whole);
            let lanes = seats
                .planner
                .as_mut()
                .map(|planner| planner.listed(lines, whole));
            seats.tell(lanes.unwrap_or_default());
        });
    }

    /// The groups as they are now: which are once-only.
    pub fn grouped(&self, groups: &[QueryClass]) {
        let once_only = groups
            .iter()
            .map(|g| g.idempotency == Idempotency::NonIdempotent)
            .collect();
        self.fact(|seats, _| seats.once_only = once_only);
    }

    /// What an earlier process sent is not known yet: a once-only batch that comes may have run.
    pub fn awaits_recovery(&self) {
        self.seats().awaits_recovery = true;
    }

    /// Once-only batches that an earlier process sent, and whether each is proved over: none is sent again, and the keys
    /// of those that are not rest for as long as a dispatch can run that nobody asks for.
    pub fn recovered(&self, known: &[(Sent, bool)], unasked: Duration) {
        self.fact(|seats, now| {
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
    pub fn is_once_only(&self, group: usize) -> bool {
        self.seats()
            .once_only
            .get(group)
            .copied()
            .unwrap_or_default()
    }

    /// Takes up another plan, with the groups as it has them; whether there is one to take the place of.
    pub fn replan(&self, plan: Arc<Plan>, groups: &[QueryClass]) -> bool {
        self.fact(|seats, _| {
            let Some(planner) = seats.planner.as_mut() else {
                return false;
            };
            let lanes = planner.replan(plan);
            seats.tell(lanes);
            seats.control.update_classes(groups);
            seats.once_only = groups
                .iter()
                .map(|g| g.idempotency == Idempotency::NonIdempotent)
                .collect();
            true
        })
    }

    pub fn probed(&self, engine: EngineId, end: AttemptEnd, report: Option<LoadReport>) {
        self.fact(|seats, now| {
            seats.control.health_check_ended(now, engine, end);
            if let Some(report) = report {
                seats.control.load_reported(now, engine, report);
            }
        });
    }

    /// What follows an outcome.
    pub fn after(
        &self,
        id: QueryId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> FollowUp {
        self.fact(|seats, now| {
            if let Some(report) = report {
                seats.control.load_reported(now, outcome.engine, report);
            }
            let closed =
                outcome.query_finished || seats.in_hand.get(&id).is_none_or(InHand::is_over);
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
    pub fn noted(&self, id: QueryId, dispatch: u32, note: Progress) {
        self.fact(|seats, now| seats.control.attempt_progressed(now, id, dispatch, note));
    }

    /// A batch's body is not there any more for a further dispatch.
    pub fn not_kept(&self, id: QueryId) {
        self.fact(|seats, _| seats.control.body_discarded(id));
    }

    /// What is answered for a dispatch whose end is not known; it stays out until `after`.
    pub fn in_doubt(&self, id: QueryId, outcome: AttemptOutcome) -> FollowUp {
        self.fact(|seats, now| seats.control.outcome_unknown(now, id, outcome))
    }

    /// The gateway ends then: everything in hand, and what still comes, is to be answered before.
    pub fn ends(&self, at: f64) {
        self.fact(|seats, _| seats.control.shut_down_at(at));
        self.ends.send_replace(Some(at));
    }

    /// Until the gateway ends.
    pub async fn ended(&self) {
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
    pub fn came(&self, read: std::time::Instant) -> f64 {
        let (now, read) = (self.clock.now(), self.clock.at(read));
        self.seats().pulse.came(now, read)
    }

    pub fn in_hand(&self) -> usize {
        *self.in_hand.borrow()
    }

    /// Until nothing is in hand.
    pub async fn emptied(&self) {
        // It fails only with the sender gone, which this desk holds.
        let _ = self.in_hand.subscribe().wait_for(|n| *n == 0).await;
    }
}
