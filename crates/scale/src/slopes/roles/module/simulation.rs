//! Simulates queries, answers and the module's timer in simulated time. The measured processor time includes that of
//! the simulation itself: a heap of the queries in flight, and a few random numbers per query.

use super::engines::{EndpointUpdates, ListedEngines};
use super::workload::{query, THREADS};
use crate::slopes::measurement::Point;
use crate::slopes::quantities::Quantities;
use crate::slopes::role::RoleError;
use garnetwall::api::{
    AttemptEnd, AttemptOutcome, EngineId, ListScope, LoadReport, NextAction, Placement, QueryId,
    Settings,
};
use garnetwall::controller::AdmissionController;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Start of the simulated clock, as of one that has run for a while.
const START_SECONDS: f64 = 1000.0;
const SECONDS_PER_MICROSECOND: f64 = 1e-6;
/// Range of the utilisation that engines report.
const UTILISATION: std::ops::Range<f64> = 0.4..0.65;
/// Range of the ratio of an answer's latency to the query's work per thread.
const SLOWDOWN: std::ops::Range<f64> = 1.0..1.3;
/// Maximum share of rejected queries. With a larger share, the measured load is not that of the experiment.
const MAX_REJECTED_SHARE: f64 = 0.05;

/// A scheduled event. Ordered by time, the earliest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    /// Time of the event, in simulated microseconds.
    due: u64,
    /// Order of events at the same time.
    sequence: u64,
    kind: EventKind,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    /// A client sends a query.
    Arrival,
    Answer {
        query: QueryId,
        engine: EngineId,
        started_at: u64,
        work_nanoseconds: u64,
    },
    /// An entry of the list changes.
    Change,
}

/// A decision module with its queries and engines in simulated time.
pub struct Simulation {
    controller: AdmissionController,
    engines: ListedEngines,
    /// Number of endpoints that the module started with.
    engines_listed: usize,
    quantities: Quantities,
    rng: SmallRng,
    events: BinaryHeap<Reverse<Event>>,
    sequence: u64,
    /// Simulated time, in microseconds.
    now: u64,
    /// Time of the module's next decision, in simulated microseconds.
    wake: u64,
    /// Number of changed entries so far.
    changes: u64,
    /// Query class of each query in flight, by its id.
    classes: Vec<usize>,
    pub queries_admitted: u64,
    /// Number of placement decisions of the module.
    pub placements: u64,
    queries_rejected: u64,
}

/// Number of query ids, which are then reused; far more than the queries in flight at once.
const QUERY_ID_RING: usize = 1 << 16;

fn micros(seconds: f64) -> u64 {
    (seconds / SECONDS_PER_MICROSECOND).round() as u64
}

impl Simulation {
    pub fn new(point: &Point, settings: Settings, mut engines: ListedEngines) -> Self {
        let mut controller = AdmissionController::new(settings, point.seed, START_SECONDS);
        let endpoints = engines.all_endpoints();
        controller.update_endpoints(&endpoints, ListScope::Full);
        let mut simulation = Simulation {
            controller,
            engines,
            engines_listed: endpoints.len(),
            quantities: point.quantities,
            rng: SmallRng::seed_from_u64(point.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            now: micros(START_SECONDS),
            wake: micros(START_SECONDS),
            changes: 0,
            classes: vec![0; QUERY_ID_RING],
            queries_admitted: 0,
            placements: 0,
            queries_rejected: 0,
        };
        simulation.schedule_next(EventKind::Arrival, point.quantities.queries_per_second);
        if point.quantities.changes_per_second > 0 {
            simulation.schedule_next(EventKind::Change, point.quantities.changes_per_second);
        }
        simulation
    }

    pub fn engines_listed(&self) -> usize {
        self.engines_listed
    }

    /// Advances the simulation by `seconds` simulated seconds.
    pub fn run(&mut self, seconds: f64) {
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
                    self.handle(event.kind);
                }
            }
            self.decide();
        }
    }

    /// Checks that the simulated load was that of the experiment.
    ///
    /// # Errors
    ///
    /// More than [`MAX_REJECTED_SHARE`] of the queries were rejected.
    pub fn check(&self) -> Result<(), RoleError> {
        let rejected = self.queries_rejected as f64 / self.queries_admitted.max(1) as f64;
        match rejected <= MAX_REJECTED_SHARE {
            true => Ok(()),
            false => Err(RoleError::Data(format!(
                "{} of {} queries were rejected; lower fixed.work or queries-per-second",
                self.queries_rejected, self.queries_admitted
            ))),
        }
    }

    /// Applies the unchanged whole list again.
    pub fn update_whole_list(&mut self) {
        let EndpointUpdates { endpoints, scope } = self.engines.apply_whole_list_again();
        self.controller.update_endpoints(&endpoints, scope);
    }

    /// Changes one entry of the list.
    pub fn change_endpoint(&mut self, repeat: u64) {
        let endpoints = self.engines.change(repeat);
        if !endpoints.is_empty() {
            self.controller
                .update_endpoints(&endpoints, ListScope::Delta);
        }
    }

    fn seconds(&self) -> f64 {
        self.now as f64 * SECONDS_PER_MICROSECOND
    }

    fn schedule(&mut self, due: u64, kind: EventKind) {
        self.sequence += 1;
        self.events.push(Reverse(Event {
            due,
            sequence: self.sequence,
            kind,
        }));
    }

    /// Schedules the next event of a Poisson process with a rate of `per_second`.
    fn schedule_next(&mut self, kind: EventKind, per_second: u64) {
        let even: f64 = self.rng.random();
        let gap = -(1.0 - even).ln() / per_second as f64;
        self.schedule(self.now + micros(gap), kind);
    }

    fn handle(&mut self, kind: EventKind) {
        match kind {
            EventKind::Arrival => self.admit_query(),
            EventKind::Answer {
                query,
                engine,
                started_at,
                work_nanoseconds,
            } => {
                self.answer(query, engine, started_at, work_nanoseconds as f64 / 1e9);
            }
            EventKind::Change => {
                self.change_endpoint(self.changes);
                self.changes += 1;
                self.schedule_next(EventKind::Change, self.quantities.changes_per_second);
            }
        }
    }

    fn admit_query(&mut self) {
        let id = (self.queries_admitted % QUERY_ID_RING as u64) as QueryId;
        self.queries_admitted += 1;
        let query = query(id, &self.quantities, &mut self.rng);
        self.classes[id as usize] = query.class;
        self.controller.admit(self.seconds(), query);
        self.schedule_next(EventKind::Arrival, self.quantities.queries_per_second);
    }

    fn answer(&mut self, query: QueryId, engine: EngineId, started_at: u64, work: f64) {
        let now = self.seconds();
        let utilisation = Some(self.rng.random_range(UTILISATION));
        self.controller.load_reported(
            now,
            engine,
            LoadReport {
                cpu_utilisation: utilisation,
                ..LoadReport::default()
            },
        );
        let latency = (self.now - started_at) as f64 * SECONDS_PER_MICROSECOND;
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
        self.controller.attempt_ended(now, query, outcome);
    }

    /// Carries out the module's decisions until none is due.
    fn decide(&mut self) {
        let now = self.seconds();
        loop {
            match self.controller.next_action(now) {
                NextAction::Wait(time) => {
                    self.wake = self.now + micros(time).max(1);
                    return;
                }
                NextAction::Place(query) => self.place(now, query),
                NextAction::HealthCheck(engine) => {
                    self.controller
                        .health_check_ended(now, engine, AttemptEnd::Succeeded)
                }
                NextAction::Subscribe | NextAction::Cancel { .. } => {}
            }
        }
    }

    fn place(&mut self, now: f64, query: QueryId) {
        self.placements += 1;
        match self.controller.place(now, query) {
            Placement::Attempt { engine, .. } => {
                let threads = THREADS[self.classes[query as usize]];
                let work = self.quantities.work;
                let latency = work / threads * self.rng.random_range(SLOWDOWN);
                let (started_at, work_nanoseconds) = (self.now, (work * 1e9) as u64);
                self.schedule(
                    self.now + micros(latency),
                    EventKind::Answer {
                        query,
                        engine,
                        started_at,
                        work_nanoseconds,
                    },
                );
            }
            Placement::Wait => {}
            Placement::Answer(_) => self.queries_rejected += 1,
        }
    }
}
