//! Measures a hollow gateway: the decision module alone, with the query rate and the endpoint list of a real gateway.

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

/// Length of the simulation, in simulated seconds.
pub const SIMULATED_SECONDS: f64 = 5.0;
/// Number of copies in memory when memory is measured. The result is their mean, since the resident memory of a single
/// copy is blurred by the granularity of pages and by pages that were already free.
const GATEWAY_COPIES: usize = 32;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Query class of queries without a key.
const CLASS: usize = 0;
const QUERY_LIMIT_SECONDS: f64 = 3.0;
/// Limit on the decisions at one simulated moment; beyond it the module counts as caught in an endless loop.
const MAX_DECISIONS_PER_MOMENT: usize = 100_000;

/// Cost of the decision module alone.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Processor time per simulated second, as a share of one core, without I/O.
    pub processor_share: f64,
    /// Memory of the module with its endpoint list and, beside a subset, of the whole list. 0 if it fits into pages
    /// that were already free.
    pub resident_bytes: f64,
}

/// Load of a hollow gateway.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub queries_per_second: f64,
    pub work_seconds: f64,
    pub seed: u64,
}

/// State that a gateway keeps in memory for its decisions.
struct GatewayMemory {
    module: AdmissionController,
    /// The whole list, if the module works with a subset of it.
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

/// Simulates the queries of one gateway that uses `endpoints`, and measures its memory and processor time. `whole_list`
/// is set if the endpoints are a subset; the gateway then holds the whole list as well.
///
/// # Errors
/// The memory or processor time can't be read from /proc.
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

/// Creates `engines` ready endpoints spread over `zones`. `holders` is the number of gateways that hold each engine, if
/// the list is a subset.
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

/// The end of an attempt. Ordered by time, the earliest first.
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

/// Simulation of one gateway's queries.
struct Simulation {
    module: AdmissionController,
    load: Load,
    /// Simulated seconds since the start.
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

    /// Carries out all decisions that are due. Returns the seconds until the next one.
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
        // A query ends with its first success, so no follow-up is needed.
        let (FollowUp::Nothing | FollowUp::Answer(_)) =
            self.module.attempt_ended(self.now, id, outcome);
    }
}

fn resident_bytes() -> std::io::Result<f64> {
    let usage = super::process::Usage::of(std::process::id());
    usage
        .map(|usage| usage.resident_bytes as f64)
        .ok_or_else(|| std::io::Error::other("can't read this process's memory use from /proc"))
}

/// Returns the processor time of the current thread, in seconds.
fn thread_seconds() -> std::io::Result<f64> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanoseconds = text
        .split(' ')
        .next()
        .and_then(|word| word.parse::<f64>().ok());
    nanoseconds
        .map(|n| n / 1e9)
        .ok_or_else(|| std::io::Error::other("can't parse /proc/thread-self/schedstat"))
}
