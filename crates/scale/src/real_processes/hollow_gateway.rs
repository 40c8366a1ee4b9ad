//! One hollow gateway: the decision module alone, at the rate and with the list of a real one.

use garnetwall::api::{
    AttemptEnd, AttemptOutcome, Endpoint, EndpointState, FollowUp, ListScope, LoadReport,
    NextAction, Placement, Query, Settings,
};
use garnetwall::controller::AdmissionController;
use garnetwall_subset::{Catalog, ListedEngine, UpdateScope};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of the simulation.
pub const SIMULATED_SECONDS: f64 = 5.0;
/// Simulation gateways in memory at once: whole and free pages blur the memory of a single one.
const GATEWAY_COPIES: usize = 32;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// The class of queries without a key.
const CLASS: usize = 0;
const QUERY_LIMIT_SECONDS: f64 = 3.0;
/// Decisions at one moment after which the module counts as caught in an endless loop.
const MAX_DECISIONS_PER_MOMENT: usize = 100_000;

/// What the module alone costs.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Of a core, without I/O.
    pub processor_share: f64,
    /// The module with its list, and the whole list beside a subset; 0 where it fits into free pages.
    pub resident_bytes: f64,
}

/// Queries that a hollow gateway gets.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub queries_per_second: f64,
    pub work_seconds: f64,
    pub seed: u64,
}

/// What a gateway keeps in memory for its decisions.
struct GatewayMemory {
    module: AdmissionController,
    /// The whole list, beside a subset of it.
    _catalog: Option<Catalog>,
}

impl GatewayMemory {
    fn new(
        settings: &Settings,
        endpoints: &[Endpoint],
        whole_list: Option<&[ListedEngine]>,
        seed: u64,
    ) -> GatewayMemory {
        let mut module = AdmissionController::new(settings.clone(), seed, 0.0);
        module.update_endpoints(endpoints, ListScope::Full);
        let _catalog = whole_list.map(|whole_list| {
            let mut catalog = Catalog::default();
            catalog.apply(whole_list, UpdateScope::FullList);
            catalog
        });
        GatewayMemory { module, _catalog }
    }
}

/// Simulates one gateway's queries before these engines, and measures its memory and processor time. Where they are a
/// subset it holds the whole list as well.
///
/// # Errors
/// Where the system does not report them.
pub fn measure_cost(
    settings: &Settings,
    endpoints: &[Endpoint],
    whole_list: Option<&[ListedEngine]>,
    load: Load,
) -> std::io::Result<Cost> {
    let before = resident_bytes()?;
    let gateways: Vec<GatewayMemory> = (0..GATEWAY_COPIES)
        .map(|copy| GatewayMemory::new(settings, endpoints, whole_list, copy as u64))
        .collect();
    let resident_bytes = (resident_bytes()? - before) / GATEWAY_COPIES as f64;
    let Some(GatewayMemory { module, .. }) = gateways.into_iter().next() else {
        return Ok(Cost {
            processor_share: 0.0,
            resident_bytes,
        });
    };
    let mut simulation = Simulation {
        module,
        load,
        now: 0.0,
        ends: BinaryHeap::new(),
    };
    let before = thread_seconds()?;
    simulation.run();
    Ok(Cost {
        processor_share: (thread_seconds()? - before) / SIMULATED_SECONDS,
        resident_bytes,
    })
}

/// Endpoints of so many engines, all ready.
pub fn endpoints(engines: usize, zones: usize, holders: Option<f64>) -> Vec<Endpoint> {
    let endpoint = |engine: usize| Endpoint {
        engine,
        zone: (engine % zones) as u32,
        kind: 0,
        cell: 0,
        started_at: None,
        state: EndpointState::Ready,
        gateways: holders,
    };
    (0..engines).map(endpoint).collect()
}

/// When an attempt ends; the earliest is the smallest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEnd {
    at_microseconds: u64,
    query: u32,
    engine: usize,
}

impl ScheduledEnd {
    fn at_seconds(&self) -> f64 {
        self.at_microseconds as f64 / MICROSECONDS_PER_SECOND
    }
}

/// The queries of one gateway, in simulated time.
struct Simulation {
    module: AdmissionController,
    load: Load,
    now: f64,
    ends: BinaryHeap<Reverse<ScheduledEnd>>,
}

impl Simulation {
    fn run(&mut self) {
        let mut random = SmallRng::seed_from_u64(self.load.seed);
        let mut next_query = 0.0;
        let mut id = 0;
        while self.now < SIMULATED_SECONDS {
            if next_query <= self.now {
                self.admit(id);
                id += 1;
                let gap =
                    -(1.0 - random.random::<f64>()).ln() / self.load.queries_per_second.max(1e-3);
                next_query = self.now + gap;
            }
            while let Some(Reverse(end)) = self.ends.peek().copied() {
                if end.at_seconds() > self.now {
                    break;
                }
                self.ends.pop();
                self.end(end.query, end.engine);
            }
            let wait = self.decide();
            let next_end = self
                .ends
                .peek()
                .map_or(f64::INFINITY, |Reverse(end)| end.at_seconds());
            self.now = (self.now + wait)
                .min(next_query)
                .min(next_end.max(self.now));
        }
    }

    fn admit(&mut self, id: u32) {
        let query = Query {
            id,
            class: CLASS,
            tenant: 0,
            ordering_key: None,
            remaining_time: QUERY_LIMIT_SECONDS,
            estimated_work: None,
            estimated_memory: None,
            data_set: id % 50,
            endpoint_subset: None,
        };
        self.module.admit(self.now, query);
    }

    /// Carries out all decisions that are due; returns the seconds until the next.
    fn decide(&mut self) -> f64 {
        for _ in 0..MAX_DECISIONS_PER_MOMENT {
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
        1.0 / MICROSECONDS_PER_SECOND
    }

    fn place(&mut self, id: u32) {
        if let Placement::Attempt { engine, .. } = self.module.place(self.now, id) {
            let at = (self.now + self.load.work_seconds) * MICROSECONDS_PER_SECOND;
            self.ends.push(Reverse(ScheduledEnd {
                at_microseconds: at as u64,
                query: id,
                engine,
            }));
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
        // A query ends with its first success, so there is no follow-up.
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
