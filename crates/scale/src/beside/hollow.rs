//! One hollow gateway without neighbours: the decision module alone, at the rate and with the list of a real one.

use garnetwall::api::{
    AttemptEnd, AttemptOutcome, Endpoint, EndpointState, FollowUp, LoadReport, NextAction,
    Placement, Query, Settings,
};
use garnetwall::controller::AdmissionController;
use garnetwall_subset::{Catalog, ListedEngine};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Seconds of simulated time that are played.
pub const PLAYED: f64 = 5.0;
/// Hollow gateways that stand beside each other, so that the memory of one can be told from pages and free ones.
const COPIES: usize = 32;
const MICROSECONDS: f64 = 1e6;
/// The group of queries without a key.
const GROUP: usize = 0;
const LIMIT: f64 = 3.0;
/// Decisions without time passing after which the module is held to spin.
const MOST_DECISIONS: usize = 100_000;

/// What the module alone costs.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Of a core, without I/O.
    pub processor_share: f64,
    /// The module with its list, and the whole list beside a subset; 0 where that can't be told from free pages.
    pub resident_bytes: f64,
}

/// Queries that a hollow gateway gets.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub queries_per_second: f64,
    pub work_seconds: f64,
    pub seed: u64,
}

/// What a hollow gateway holds.
struct Held {
    module: AdmissionController,
    /// The whole list, beside a subset of it.
    _catalog: Option<Catalog>,
}

/// Plays one gateway's queries before these engines, by the process's own clock; where they are a subset it holds the whole
/// list as well.
pub fn cost(
    settings: &Settings,
    lines: &[Endpoint],
    whole_list: Option<&[ListedEngine]>,
    load: Load,
) -> std::io::Result<Cost> {
    let before = resident_bytes()?;
    let held: Vec<Held> = (0..COPIES)
        .map(|copy| hold(settings, lines, whole_list, copy as u64))
        .collect();
    let resident_bytes = (resident_bytes()? - before) / COPIES as f64;
    let Some(Held { module, .. }) = held.into_iter().next() else {
        return Ok(Cost {
            processor_share: 0.0,
            resident_bytes,
        });
    };
    let mut hollow = Hollow {
        module,
        load,
        now: 0.0,
        ends: BinaryHeap::new(),
    };
    let before = thread_seconds()?;
    hollow.play();
    Ok(Cost {
        processor_share: (thread_seconds()? - before) / PLAYED,
        resident_bytes,
    })
}

fn hold(
    settings: &Settings,
    lines: &[Endpoint],
    whole_list: Option<&[ListedEngine]>,
    seed: u64,
) -> Held {
    let mut module = AdmissionController::new(settings.clone(), seed, 0.0);
    module.update_endpoints(lines, true);
    let _catalog = whole_list.map(|whole_list| {
        let mut catalog = Catalog::default();
        catalog.apply(whole_list, true);
        catalog
    });
    Held { module, _catalog }
}

/// Lines of so many engines that serve.
pub fn lines(engines: usize, zones: usize, holders: Option<f64>) -> Vec<Endpoint> {
    let line = |engine: usize| Endpoint {
        engine,
        zone: (engine % zones) as u32,
        kind: 0,
        cell: 0,
        started_at: None,
        state: EndpointState::Ready,
        gateways: holders,
    };
    (0..engines).map(line).collect()
}

struct Hollow {
    module: AdmissionController,
    load: Load,
    now: f64,
    /// When attempts end, in microseconds, with their query and engine.
    ends: BinaryHeap<Reverse<(u64, u32, usize)>>,
}

impl Hollow {
    fn play(&mut self) {
        let mut random = SmallRng::seed_from_u64(self.load.seed);
        let mut next_query = 0.0;
        let mut id = 0;
        while self.now < PLAYED {
            if next_query <= self.now {
                self.take(id);
                id += 1;
                let gap =
                    -(1.0 - random.random::<f64>()).ln() / self.load.queries_per_second.max(1e-3);
                next_query = self.now + gap;
            }
            while let Some(Reverse((at, query, engine))) = self.ends.peek().copied() {
                if at as f64 / MICROSECONDS > self.now {
                    break;
                }
                self.ends.pop();
                self.end(query, engine);
            }
            let wait = self.decide();
            let next_end = self
                .ends
                .peek()
                .map_or(f64::INFINITY, |Reverse((at, ..))| *at as f64 / MICROSECONDS);
            self.now = (self.now + wait)
                .min(next_query)
                .min(next_end.max(self.now));
        }
    }

    fn take(&mut self, id: u32) {
        let batch = Query {
            id,
            class: GROUP,
            tenant: 0,
            ordering_key: None,
            remaining_time: LIMIT,
            estimated_work: None,
            estimated_memory: None,
            data_set: id % 50,
            endpoint_subset: None,
        };
        self.module.admit(self.now, batch);
    }

    /// Does what is due, and tells how long nothing is.
    fn decide(&mut self) -> f64 {
        for _ in 0..MOST_DECISIONS {
            match self.module.next_action(self.now) {
                NextAction::Wait(seconds) => return seconds,
                NextAction::Place(id) => self.place(id),
                NextAction::HealthCheck(engine) => {
                    let report = LoadReport {
                        cpu_utilisation: Some(0.1),
                        waiting_for_memory: Some(0.0),
                        ..LoadReport::default()
                    };
                    self.module.load_reported(self.now, engine, report);
                    self.module
                        .health_check_ended(self.now, engine, AttemptEnd::Succeeded);
                }
                NextAction::Cancel { .. } | NextAction::Subscribe => {}
            }
        }
        1.0 / MICROSECONDS
    }

    fn place(&mut self, id: u32) {
        if let Placement::Attempt { engine, .. } = self.module.place(self.now, id) {
            let at = ((self.now + self.load.work_seconds) * MICROSECONDS) as u64;
            self.ends.push(Reverse((at, id, engine)));
        }
    }

    fn end(&mut self, id: u32, engine: usize) {
        let work = Some(self.load.work_seconds);
        let outcome = AttemptOutcome {
            engine,
            attempt: 1,
            end: AttemptEnd::Succeeded,
            latency: self.load.work_seconds,
            query_finished: false,
            work,
            memory: None,
        };
        // Whoever succeeds is over.
        let (FollowUp::Nothing | FollowUp::Answer(_)) =
            self.module.attempt_ended(self.now, id, outcome);
    }
}

fn resident_bytes() -> std::io::Result<f64> {
    let usage = super::process::Usage::of(std::process::id());
    usage
        .map(|usage| usage.resident_bytes as f64)
        .ok_or_else(|| std::io::Error::other("/proc can't be read"))
}

/// Processor time of this thread.
fn thread_seconds() -> std::io::Result<f64> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanoseconds = text
        .split(' ')
        .next()
        .and_then(|word| word.parse::<f64>().ok());
    nanoseconds
        .map(|n| n / 1e9)
        .ok_or_else(|| std::io::Error::other("schedstat can't be read"))
}
