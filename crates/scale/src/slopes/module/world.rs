//! Queries, answers and the module's own timer, in simulated time. The time that the world itself takes is measured with
//! the module's: a heap of the queries that are out, and a few random numbers a query.

use super::engines::ListedEngines;
use super::workload::{query, THREADS};
use crate::slopes::measurement::{Point, RoleError};
use crate::slopes::settings::Fixed;
use garnetwall::api::{
    AttemptEnd, AttemptOutcome, EngineId, LoadReport, NextAction, Placement, QueryId, Settings,
};
use garnetwall::controller::AdmissionController;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The simulated clock starts here, as one that has run for a while.
const START: f64 = 1000.0;
const MICROSECOND: f64 = 1e-6;
/// What engines tell of their cores.
const UTILISATION: std::ops::Range<f64> = 0.4..0.65;
/// Answers take so many times the work over its threads.
const SLOWDOWN: std::ops::Range<f64> = 1.0..1.3;
/// More of the queries than this turned away is not the load that is to be measured.
const MOST_REJECTED: f64 = 0.05;

/// Something due, the earliest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    /// Microseconds.
    due: u64,
    sequence: u64,
    what: What,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrival,
    Answer {
        query: QueryId,
        engine: EngineId,
        sent: u64,
        work_nanoseconds: u64,
    },
    Change,
}

pub struct World {
    control: AdmissionController,
    engines: ListedEngines,
    engines_listed: usize,
    quantities: Fixed,
    rng: SmallRng,
    events: BinaryHeap<Reverse<Event>>,
    sequence: u64,
    /// Microseconds.
    now: u64,
    /// When the module wants to be asked again, in microseconds.
    wake: u64,
    changes: u64,
    /// Groups of the queries that are in hand, by their ids in a ring.
    groups: Vec<usize>,
    pub queries_taken: u64,
    /// How often the module was asked where to send one.
    pub draws: u64,
    queries_rejected: u64,
}

/// Ids go round after so many; far more than are in hand at once.
const RING: usize = 1 << 16;

fn micros(seconds: f64) -> u64 {
    (seconds / MICROSECOND).round() as u64
}

impl World {
    pub fn new(point: &Point, settings: Settings, mut engines: ListedEngines) -> Self {
        let mut control = AdmissionController::new(settings, point.seed, START);
        let lines = engines.whole();
        control.update_endpoints(&lines, true);
        let mut world = World {
            control,
            engines,
            engines_listed: lines.len(),
            quantities: point.quantities,
            rng: SmallRng::seed_from_u64(point.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            now: micros(START),
            wake: micros(START),
            changes: 0,
            groups: vec![0; RING],
            queries_taken: 0,
            draws: 0,
            queries_rejected: 0,
        };
        world.schedule_next(What::Arrival, point.quantities.queries_per_second);
        if point.quantities.changes_per_second > 0 {
            world.schedule_next(What::Change, point.quantities.changes_per_second);
        }
        world
    }

    pub fn engines_listed(&self) -> usize {
        self.engines_listed
    }

    /// Plays so many seconds.
    pub fn play(&mut self, seconds: f64) {
        let end = self.now + micros(seconds);
        loop {
            let due = self
                .events
                .peek()
                .map_or(u64::MAX, |Reverse(event)| event.due);
            self.now = self.now.max(due.min(self.wake)).min(end);
            if due.min(self.wake) > end {
                return;
            }
            if due <= self.wake {
                if let Some(Reverse(event)) = self.events.pop() {
                    self.happen(event.what);
                }
            }
            self.decide();
        }
    }

    /// # Errors
    ///
    /// Where too many queries were rejected: what was measured is not the load that was told.
    pub fn check(&self) -> Result<(), RoleError> {
        let rejected = self.queries_rejected as f64 / self.queries_taken.max(1) as f64;
        match rejected <= MOST_REJECTED {
            true => Ok(()),
            false => Err(RoleError::Data(format!(
                "{} of {} queries were rejected: lower fixed.work or queries-per-second",
                self.queries_rejected, self.queries_taken
            ))),
        }
    }

    /// The whole list comes again as it was.
    pub fn list_again(&mut self) {
        let (lines, whole) = self.engines.again();
        self.control.update_endpoints(&lines, whole);
    }

    /// One line of the list changes.
    pub fn change_line(&mut self, repeat: u64) {
        let lines = self.engines.change(repeat);
        if !lines.is_empty() {
            self.control.update_endpoints(&lines, false);
        }
    }

    fn seconds(&self) -> f64 {
        self.now as f64 * MICROSECOND
    }

    fn schedule(&mut self, due: u64, what: What) {
        self.sequence += 1;
        self.events.push(Reverse(Event {
            due,
            sequence: self.sequence,
            what,
        }));
    }

    /// The next of events that come by chance at a rate.
    fn schedule_next(&mut self, what: What, per_second: u64) {
        let even: f64 = self.rng.random();
        let gap = -(1.0 - even).ln() / per_second as f64;
        self.schedule(self.now + micros(gap), what);
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrival => self.arrive(),
            What::Answer {
                query,
                engine,
                sent,
                work_nanoseconds,
            } => {
                self.answer(query, engine, sent, work_nanoseconds as f64 / 1e9);
            }
            What::Change => {
                self.change_line(self.changes);
                self.changes += 1;
                self.schedule_next(What::Change, self.quantities.changes_per_second);
            }
        }
    }

    fn arrive(&mut self) {
        let id = (self.queries_taken % RING as u64) as QueryId;
        self.queries_taken += 1;
        let query = query(id, &self.quantities, &mut self.rng);
        self.groups[id as usize] = query.class;
        self.control.admit(self.seconds(), query);
        self.schedule_next(What::Arrival, self.quantities.queries_per_second);
    }

    fn answer(&mut self, query: QueryId, engine: EngineId, sent: u64, work: f64) {
        let now = self.seconds();
        let utilisation = Some(self.rng.random_range(UTILISATION));
        self.control.load_reported(
            now,
            engine,
            LoadReport {
                cpu_utilisation: utilisation,
                ..LoadReport::default()
            },
        );
        let latency = (self.now - sent) as f64 * MICROSECOND;
        let end = AttemptEnd::Succeeded;
        let outcome = AttemptOutcome {
            engine,
            attempt: 0,
            end,
            latency,
            query_finished: true,
            work: Some(work),
            memory: None,
        };
        self.control.attempt_ended(now, query, outcome);
    }

    /// Asks the module until it names a time.
    fn decide(&mut self) {
        let now = self.seconds();
        loop {
            match self.control.next_action(now) {
                NextAction::Wait(time) => {
                    self.wake = self.now + micros(time).max(1);
                    return;
                }
                NextAction::Place(query) => self.place(now, query),
                NextAction::HealthCheck(engine) => {
                    self.control
                        .health_check_ended(now, engine, AttemptEnd::Succeeded)
                }
                NextAction::Subscribe | NextAction::Cancel { .. } => {}
            }
        }
    }

    fn place(&mut self, now: f64, query: QueryId) {
        self.draws += 1;
        match self.control.place(now, query) {
            Placement::Attempt { engine, .. } => {
                let threads = THREADS[self.groups[query as usize]];
                let work = self.quantities.work;
                let latency = work / threads * self.rng.random_range(SLOWDOWN);
                let (sent, work_nanoseconds) = (self.now, (work * 1e9) as u64);
                self.schedule(
                    self.now + micros(latency),
                    What::Answer {
                        query,
                        engine,
                        sent,
                        work_nanoseconds,
                    },
                );
            }
            Placement::Wait => {}
            Placement::Answer(_) => self.queries_rejected += 1,
        }
    }
}
