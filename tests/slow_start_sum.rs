//! Tests that all gateways together keep the slow-start budget of an engine although each decides on its own. A
//! simulation runs many controllers and checks the sum of the work that they send to engines in slow start.

use garnetwall::api::*;
use garnetwall::controller::AdmissionController;
use std::collections::BTreeSet;

/// Time step of the simulation, in seconds. All events of a step happen at the same time.
const STEP: f64 = 0.05;
const SLOW_START: SlowStart = SlowStart {
    initial_fraction: 0.35,
    duration: 10.0,
    overload_multiple: 3.0,
    window: 2.0,
};
const CORES: [f64; 2] = [8.0, 16.0];

/// SplitMix64 generator.
struct TestRng(u64);

impl TestRng {
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ self.0 >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ z >> 31) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns an exponentially distributed number with mean 1, for the time between two arrivals.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.uniform()).ln()
    }
}

/// Query class: its share of the queries, its mean work and its deadline, both in seconds.
#[derive(Clone, Copy)]
struct Class {
    share: f64,
    work: f64,
    deadline: f64,
}

const LIGHT: [Class; 2] = [
    Class {
        share: 0.75,
        work: 0.1,
        deadline: 2.0,
    },
    Class {
        share: 0.25,
        work: 0.5,
        deadline: 8.0,
    },
];
const HEAVY: [Class; 2] = [
    Class {
        share: 0.8,
        work: 0.5,
        deadline: 6.0,
    },
    Class {
        share: 0.2,
        work: 1.5,
        deadline: 20.0,
    },
];

#[derive(Clone)]
struct Scenario {
    gateways: usize,
    /// Number of gateways in the settings.
    configured_gateways: f64,
    classes: [Class; 2],
    /// Start time, in seconds, and kind of each engine that goes through slow start.
    starts: Vec<(f64, usize)>,
    /// Number of engines of each kind that have finished slow start.
    warm_per_kind: usize,
    /// Seconds from a start until the first gateway is notified of it.
    notify_delay: f64,
    /// Seconds from the first to the last notification of a start.
    notify_spread: f64,
    /// Whether the engines were listed before their start, so that gateways send to them before they are notified.
    preexisting: bool,
    /// Time before which no query arrives, in seconds.
    first_query_at: f64,
    /// Times, in seconds, at which gateways restart, and the fraction of the gateways that does.
    restarts: Vec<(f64, f64)>,
    /// Whether a restarted gateway may get another engine subset.
    new_members_on_restart: bool,
    /// Number of engines that each gateway uses; `None` for all.
    subset_size: Option<usize>,
    /// Number of gateways per engine that the endpoints give if there are subsets; `None` for the expected number.
    gateways_per_engine: Option<f64>,
    /// Traffic of each gateway in the busiest tenth, relative to the mean of the others.
    busiest_weight: f64,
    /// Arriving work, as a multiple of the capacity of all engines after slow start.
    demand: f64,
    /// Whether engines answer as fast as with a single query, so that only the slow-start budget limits the gateways.
    uncontended: bool,
    /// Whether queries come with work estimates.
    estimates: bool,
    seed: u64,
}

impl Scenario {
    fn new(gateways: usize, seed: u64) -> Scenario {
        Scenario {
            gateways,
            configured_gateways: gateways as f64,
            classes: LIGHT,
            starts: vec![(1.0, 0)],
            warm_per_kind: 0,
            notify_delay: 0.0,
            notify_spread: 0.0,
            preexisting: false,
            first_query_at: 0.0,
            restarts: Vec::new(),
            new_members_on_restart: false,
            subset_size: None,
            gateways_per_engine: None,
            busiest_weight: 5.0,
            demand: 2.0,
            uncontended: true,
            estimates: false,
            seed,
        }
    }

    fn mean_work(&self) -> f64 {
        self.classes.iter().map(|c| c.share * c.work).sum()
    }

    fn settings(&self) -> Settings {
        let class = |c: &Class| QueryClass {
            latency_objective: c.deadline / 3.0,
            latency_objective_stretch: 2.0,
            deadline: c.deadline,
            priority_weight: c.work,
            late_value_share: 0.3,
            idempotency: Idempotency::Idempotent,
            in_order: false,
            zones: None,
            kinds: None,
            threads: 1.0,
            loads_data: false,
            waits_for_data_loads: false,
            retry_budget: None,
        };
        Settings {
            classes: self.classes.iter().map(class).collect(),
            tenants: 1,
            gateways: self.configured_gateways,
            kind_cores: CORES.iter().copied().map(Some).collect(),
            load_reporting: LoadReporting::WithAnswers,
            cancellation_allowed: true,
            retry_after_allowed: true,
            max_retry_after: 1.0,
            max_attempts: 4,
            slow_start: Some(SLOW_START),
            ..Settings::default()
        }
    }

    fn endpoint(&self, engine: EngineId, started: bool) -> Endpoint {
        let kind = self.kind(engine);
        let started_at = self
            .starts
            .get(engine)
            .filter(|_| started)
            .map(|(start, _)| *start);
        let engine_gateways = self.subset_size.map(|size| {
            self.gateways_per_engine
                .unwrap_or_else(|| self.expected_gateways_per_engine(size, kind))
        });
        Endpoint {
            engine,
            zone: 0,
            kind,
            cell: 0,
            started_at,
            state: EndpointState::Ready,
            gateways: engine_gateways,
        }
    }

    fn engines(&self) -> usize {
        self.starts.len() + 2 * self.warm_per_kind
    }

    fn kind(&self, engine: EngineId) -> usize {
        self.starts
            .get(engine)
            .map_or(engine % 2, |(_, kind)| *kind)
    }

    /// Returns a gateway's engines, chosen by rendezvous hashing weighted by cores. `name` seeds the hash.
    fn members(&self, name: u64) -> BTreeSet<EngineId> {
        let mut rng = TestRng(name);
        let mut scores: Vec<(f64, EngineId)> = (0..self.engines())
            .map(|e| (rng.exponential() / CORES[self.kind(e)], e))
            .collect();
        scores.sort_by(|a, b| a.0.total_cmp(&b.0));
        scores
            .into_iter()
            .take(self.subset_size.unwrap_or(usize::MAX))
            .map(|(_, e)| e)
            .collect()
    }

    /// Returns the number of gateways that are expected to use an engine of a kind: the mean plus two standard
    /// deviations, as in the gateway's calculation for engine subsets.
    fn expected_gateways_per_engine(&self, size: usize, kind: usize) -> f64 {
        let hold_probability = |t: f64, kind: usize| 1.0 - (-t * CORES[kind]).exp();
        let sum = |t: f64| {
            (0..self.engines())
                .map(|e| hold_probability(t, self.kind(e)))
                .sum::<f64>()
        };
        let (mut low, mut high) = (0.0, 100.0);
        for _ in 0..60 {
            let t = (low + high) / 2.0;
            if sum(t) < size as f64 {
                low = t;
            } else {
                high = t;
            }
        }
        let mean = self.gateways as f64 * hold_probability(high, kind);
        (mean + 2.0 * mean.sqrt()).min(self.gateways as f64)
    }

    /// Returns the number of cores that an engine can use.
    fn effective_cores(&self, now: f64, engine: EngineId) -> f64 {
        let start = self
            .starts
            .get(engine)
            .map_or(f64::NEG_INFINITY, |(start, _)| *start);
        let warmed = ((now - start) / SLOW_START.duration).clamp(0.0, 1.0);
        CORES[self.kind(engine)]
            * (SLOW_START.initial_fraction + (1.0 - SLOW_START.initial_fraction) * warmed)
    }

    fn run(&self) -> Vec<Vec<Sent>> {
        let mut rng = TestRng(self.seed);
        let engines = self.engines();
        let work = self.demand * (0..engines).map(|e| CORES[self.kind(e)]).sum::<f64>();
        let weights: Vec<f64> = (0..self.gateways)
            .map(|_| {
                if rng.uniform() < 0.1 {
                    self.busiest_weight
                } else {
                    0.5 + rng.uniform()
                }
            })
            .collect();
        let rate = work / self.mean_work() / weights.iter().sum::<f64>();
        let mut gateways: Vec<Gateway> = Vec::new();
        for weight in weights {
            let seed = (rng.uniform() * 1e15) as u64;
            let notified = self
                .starts
                .iter()
                .map(|(start, _)| start + self.notify_delay + self.notify_spread * rng.uniform())
                .collect();
            let members = self.members(seed);
            gateways.push(Gateway::new(
                self,
                0.0,
                seed,
                rate * weight,
                notified,
                members,
            ));
        }
        let mut traffic = Traffic {
            sent: self.starts.iter().map(|_| Vec::new()).collect(),
            running: vec![0.0; engines],
        };
        let end = self
            .starts
            .iter()
            .map(|(start, _)| start + SLOW_START.duration)
            .fold(0.0, f64::max);
        let mut restarts = self.restarts.clone();
        for now in (0..)
            .map(|n| f64::from(n) * STEP)
            .take_while(|now| *now < end)
        {
            if let Some((_, fraction)) = restarts.first().copied().filter(|(at, _)| *at <= now) {
                restarts.remove(0);
                for g in &mut gateways {
                    if rng.uniform() < fraction {
                        let seed = (rng.uniform() * 1e15) as u64;
                        let notified =
                            self.starts.iter().zip(&g.notified).map(|((start, _), t)| {
                                if *start <= now {
                                    now
                                } else {
                                    *t
                                }
                            });
                        g.in_flight
                            .iter()
                            .for_each(|pending| traffic.running[pending.engine] -= 1.0);
                        let members = if self.new_members_on_restart {
                            self.members(seed)
                        } else {
                            g.members.clone()
                        };
                        *g = Gateway::new(self, now, seed, g.rate, notified.collect(), members);
                    }
                }
            }
            gateways
                .iter_mut()
                .for_each(|g| g.run_step(self, now, &mut rng, &mut traffic));
        }
        traffic.sent
    }
}

/// Work sent to an engine in slow start, and whether its gateway had been notified of the start.
struct Sent {
    at: f64,
    work: f64,
    notified: bool,
}

struct Traffic {
    sent: Vec<Vec<Sent>>,
    /// Number of queries that run on each engine and share its cores.
    running: Vec<f64>,
}

struct InFlight {
    ends: f64,
    latency: f64,
    id: QueryId,
    engine: EngineId,
    attempt: u32,
}

struct Gateway {
    controller: AdmissionController,
    rate: f64,
    next_arrival_at: f64,
    wake_at: f64,
    notified: Vec<f64>,
    listed: Vec<bool>,
    members: BTreeSet<EngineId>,
    /// Class, true work in seconds and number of attempts of each query.
    queries: Vec<(usize, f64, u32)>,
    in_flight: Vec<InFlight>,
}

impl Gateway {
    fn new(
        scenario: &Scenario,
        now: f64,
        seed: u64,
        rate: f64,
        notified: Vec<f64>,
        members: BTreeSet<EngineId>,
    ) -> Gateway {
        let mut controller = AdmissionController::new(scenario.settings(), seed, now);
        let listed: Vec<bool> = notified.iter().map(|t| *t <= now).collect();
        let is_listed = |e: &EngineId| listed.get(*e).is_none_or(|l| *l || scenario.preexisting);
        let started = |e: EngineId| listed.get(e).copied().unwrap_or_default();
        let endpoints: Vec<Endpoint> = members
            .iter()
            .copied()
            .filter(is_listed)
            .map(|e| scenario.endpoint(e, started(e)))
            .collect();
        controller.update_endpoints(&endpoints, ListScope::Full);
        Gateway {
            controller,
            rate,
            next_arrival_at: now,
            wake_at: now,
            notified,
            listed,
            members,
            queries: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    fn run_step(
        &mut self,
        scenario: &Scenario,
        now: f64,
        rng: &mut TestRng,
        traffic: &mut Traffic,
    ) {
        let mut due = self.wake_at <= now;
        for e in 0..self.listed.len() {
            if !self.listed[e] && self.notified[e] <= now {
                self.listed[e] = true;
                if self.members.contains(&e) {
                    self.controller
                        .update_endpoints(&[scenario.endpoint(e, true)], ListScope::Delta);
                    due = true;
                }
            }
        }
        while let Some(n) = self
            .in_flight
            .iter()
            .position(|pending| pending.ends <= now)
        {
            let pending = self.in_flight.remove(n);
            traffic.running[pending.engine] -= 1.0;
            let work = Some(self.queries[pending.id as usize].1);
            self.end_attempt(now, pending, AttemptEnd::Succeeded, work);
            due = true;
        }
        while self.next_arrival_at <= now {
            self.next_arrival_at += rng.exponential() / self.rate;
            let class_index = usize::from(rng.uniform() > scenario.classes[0].share);
            let class = scenario.classes[class_index];
            let work = class.work * (0.3 + 0.7 * rng.exponential());
            if now < scenario.first_query_at {
                continue;
            }
            let id = self.queries.len() as QueryId;
            let estimated_work = scenario
                .estimates
                .then(|| work * (0.6 + 0.8 * rng.uniform()));
            self.queries.push((class_index, work, 0));
            let remaining_time = class.deadline;
            let query = Query {
                id,
                class: class_index,
                tenant: 0,
                ordering_key: None,
                remaining_time,
                estimated_work,
                estimated_memory: None,
                data_set: 0,
                endpoint_subset: None,
            };
            self.controller.admit(now, query);
            due = true;
        }
        if due {
            self.run_actions(scenario, now, rng, traffic);
        }
    }

    fn end_attempt(&mut self, now: f64, pending: InFlight, end: AttemptEnd, work: Option<f64>) {
        let InFlight {
            latency,
            id,
            engine,
            attempt,
            ..
        } = pending;
        let closed = end == AttemptEnd::Succeeded;
        self.controller.attempt_ended(
            now,
            id,
            AttemptOutcome {
                engine,
                attempt,
                end,
                latency,
                query_finished: closed,
                work,
                memory: None,
            },
        );
    }

    fn run_actions(
        &mut self,
        scenario: &Scenario,
        now: f64,
        rng: &mut TestRng,
        traffic: &mut Traffic,
    ) {
        loop {
            match self.controller.next_action(now) {
                NextAction::Wait(span) => {
                    self.wake_at = now + span;
                    return;
                }
                NextAction::Subscribe => {}
                NextAction::HealthCheck(engine) => {
                    self.controller
                        .health_check_ended(now, engine, AttemptEnd::Succeeded)
                }
                NextAction::Cancel { query: id, attempt } => {
                    if let Some(n) = self
                        .in_flight
                        .iter()
                        .position(|pending| (pending.id, pending.attempt) == (id, attempt))
                    {
                        let pending = self.in_flight.remove(n);
                        traffic.running[pending.engine] -= 1.0;
                        self.end_attempt(now, pending, AttemptEnd::Cancelled, None);
                    }
                }
                NextAction::Place(id) => {
                    let Placement::Attempt {
                        engine,
                        response_timeout,
                        ..
                    } = self.controller.place(now, id)
                    else {
                        continue;
                    };
                    let (_, work, attempts) = &mut self.queries[id as usize];
                    traffic.running[engine] += 1.0;
                    let contention =
                        traffic.running[engine] / scenario.effective_cores(now, engine);
                    let latency = (*work
                        * if scenario.uncontended {
                            0.2
                        } else {
                            contention.max(1.0) * (1.0 + rng.uniform())
                        })
                    .min(response_timeout);
                    let attempt = *attempts;
                    *attempts += 1;
                    if let Some(sent) = traffic.sent.get_mut(engine) {
                        sent.push(Sent {
                            at: now,
                            work: *work,
                            notified: self.listed[engine],
                        });
                    }
                    self.in_flight.push(InFlight {
                        ends: now + latency,
                        latency,
                        id,
                        engine,
                        attempt,
                    });
                }
            }
        }
    }
}

/// Use of the slow-start budget of one engine or, after `combine`, of several.
#[derive(Clone, Copy, Debug, Default)]
struct BudgetUse {
    /// Number of windows in which the work exceeded the limit and over two thirds of it came from gateways that had
    /// been notified of the start.
    violations: usize,
    /// Highest ratio, in any window, of the work from notified gateways to the budget.
    peak_use: f64,
    /// Highest excess, in any window, of that work over the budget, in square roots of the budget (standard
    /// deviations).
    peak_excess: f64,
    /// Highest ratio, in any window, of the work from notified gateways to the limit (the budget plus an allowance for
    /// random variation).
    peak_limit_use: f64,
    /// Work from notified gateways during slow start, as a multiple of the budget, summed over the engines.
    budgets_received: f64,
    engines: f64,
}

impl BudgetUse {
    fn combine(self, other: BudgetUse) -> BudgetUse {
        BudgetUse {
            violations: self.violations + other.violations,
            peak_use: self.peak_use.max(other.peak_use),
            peak_excess: self.peak_excess.max(other.peak_excess),
            peak_limit_use: self.peak_limit_use.max(other.peak_limit_use),
            budgets_received: self.budgets_received + other.budgets_received,
            engines: self.engines + other.engines,
        }
    }
}

/// Measures each window that ends at an attempt during slow start. Work and budget are counted in queries of mean work,
/// so the square root of the budget is the standard deviation of a Poisson-distributed number of queries with that
/// mean. The budget is computed with the initial fraction of cores for the whole of slow start, because the settings
/// give this fraction but not how it rises.
fn measure(sent: &[Sent], start: f64, cores: f64, mean_work: f64) -> BudgetUse {
    let mut usage = BudgetUse {
        engines: 1.0,
        ..BudgetUse::default()
    };
    let (mut first, mut all, mut notified) = (0, 0.0, 0.0);
    for s in sent.iter().filter(|s| s.notified) {
        usage.budgets_received += s.work
            / (SLOW_START.overload_multiple
                * SLOW_START.initial_fraction
                * cores
                * SLOW_START.duration);
    }
    for (n, s) in sent.iter().enumerate() {
        let work_in_queries = |s: &Sent| {
            (
                s.work / mean_work,
                if s.notified { s.work / mean_work } else { 0.0 },
            )
        };
        (all, notified) = (all + work_in_queries(s).0, notified + work_in_queries(s).1);
        while sent[first].at <= s.at - SLOW_START.window || sent[first].at < start {
            let expired = work_in_queries(&sent[first]);
            (all, notified) = (all - expired.0, notified - expired.1);
            first += 1;
            if first > n {
                break;
            }
        }
        if s.at < start || s.at >= start + SLOW_START.duration {
            continue;
        }
        let budget =
            SLOW_START.overload_multiple * SLOW_START.window * SLOW_START.initial_fraction * cores
                / mean_work;
        let limit = budget + 2.0 * budget.sqrt() + 2.0;
        usage.violations += usize::from(all > limit && notified > all * 2.0 / 3.0);
        usage.peak_use = usage.peak_use.max(notified / budget);
        usage.peak_excess = usage.peak_excess.max((notified - budget) / budget.sqrt());
        usage.peak_limit_use = usage.peak_limit_use.max(notified / limit);
    }
    usage
}

fn measure_scenario(scenario: &Scenario) -> BudgetUse {
    let sent = scenario.run();
    let one = |(sent, (start, kind)): (&Vec<Sent>, &(f64, usize))| {
        measure(sent, *start, CORES[*kind], scenario.mean_work())
    };
    sent.iter()
        .zip(&scenario.starts)
        .map(one)
        .reduce(BudgetUse::combine)
        .expect("the scenario has an engine in slow start")
}

fn run_seeds(seeds: u64, scenario: impl Fn(u64) -> Scenario) -> BudgetUse {
    (0..seeds)
        .map(|seed| measure_scenario(&scenario(seed * 7919 + 11)))
        .reduce(BudgetUse::combine)
        .expect("the number of seeds is at least 1")
}

fn simultaneous_starts(kinds: &[usize]) -> Vec<(f64, usize)> {
    kinds.iter().map(|kind| (1.0, *kind)).collect()
}

type ScenarioChange = fn(Scenario) -> Scenario;
const SCENARIOS: [(&str, ScenarioChange); 10] = [
    ("one alone", |base| base),
    ("one of five", |base| Scenario {
        warm_per_kind: 2,
        ..base
    }),
    ("heavy", |base| Scenario {
        classes: HEAVY,
        warm_per_kind: 1,
        ..base
    }),
    ("many", |base| Scenario {
        starts: simultaneous_starts(&[0, 1, 0, 1]),
        warm_per_kind: 1,
        notify_spread: 1.0,
        ..base
    }),
    ("staggered", |base| Scenario {
        starts: (0..4)
            .map(|n| (1.0 + 0.7 * f64::from(n), n as usize % 2))
            .collect(),
        warm_per_kind: 1,
        notify_spread: 1.0,
        preexisting: true,
        ..base
    }),
    ("notified late", |base| Scenario {
        warm_per_kind: 1,
        notify_delay: 3.0,
        ..base
    }),
    ("quiet", |base| Scenario {
        warm_per_kind: 1,
        first_query_at: 5.0,
        ..base
    }),
    ("restarts", |base| Scenario {
        warm_per_kind: 1,
        restarts: (0..8).map(|n| (1.5 + 0.5 * f64::from(n), 0.2)).collect(),
        ..base
    }),
    ("all restart", |base| Scenario {
        warm_per_kind: 1,
        restarts: vec![(2.5, 1.0)],
        ..base
    }),
    ("estimates", |base| Scenario {
        warm_per_kind: 1,
        estimates: true,
        classes: HEAVY,
        ..base
    }),
];

/// Number of engines that a gateway uses in scenarios with subsets: a third to a half of all engines.
const SUBSET_SIZE: usize = 4;
const SUBSET_WARM: usize = 4;
/// Scenarios that make sense with subsets only.
const SUBSET_SCENARIOS: [(&str, ScenarioChange); 2] = [
    ("replaced", |base| Scenario {
        restarts: (0..8).map(|n| (1.5 + 0.5 * f64::from(n), 0.2)).collect(),
        new_members_on_restart: true,
        ..base
    }),
    ("uneven", |base| Scenario {
        starts: simultaneous_starts(&[0, 1]),
        busiest_weight: 20.0,
        ..base
    }),
];

fn with_subsets(scenario: Scenario) -> Scenario {
    Scenario {
        subset_size: Some(SUBSET_SIZE),
        warm_per_kind: SUBSET_WARM,
        ..scenario
    }
}

/// Values of `uncontended` and `demand`: more work than contended engines can do, and two loads at which only the
/// slow-start budget limits the gateways.
const LOADS: [(bool, f64); 3] = [(false, 2.0), (true, 2.0), (true, 5.0)];

/// Runs a scenario under one load with several seeds, and prints and returns the combined budget use.
fn run_scenario(
    name: &str,
    (uncontended, demand): (bool, f64),
    seeds: u64,
    scenario: impl Fn(u64) -> Scenario,
) -> BudgetUse {
    let usage = run_seeds(seeds, |seed| Scenario {
        uncontended,
        demand,
        ..scenario(seed)
    });
    let received = usage.budgets_received / usage.engines;
    println!(
        "{name:12} uncontended {uncontended:5} demand {demand:.1}: violations {:3}, peak {:.2} budgets, \
        excess {:5.2} standard deviations, {:.2} of the limit, received {received:.2} budgets",
        usage.violations, usage.peak_use, usage.peak_excess, usage.peak_limit_use
    );
    usage
}

fn assert_within_budget(measurements: impl Iterator<Item = BudgetUse>, min_received: f64) {
    let usage = measurements
        .reduce(BudgetUse::combine)
        .expect("there is at least one scenario");
    assert!(
        usage.violations == 0 && usage.peak_limit_use <= 1.0,
        "{usage:?}"
    );
    let received = usage.budgets_received / usage.engines;
    println!("engines in slow start received {received:.3} of the budget");
    assert!(
        received >= min_received,
        "engines in slow start received only {received:.3} of the budget"
    );
}

fn check_budget(gateways: usize, runs: u64, min_received: f64) {
    let scenarios = SCENARIOS
        .into_iter()
        .flat_map(|scenario| LOADS.map(|load| (scenario, load)));
    let run = |((name, vary), load): ((&str, ScenarioChange), _)| {
        run_scenario(name, load, runs, |seed| vary(Scenario::new(gateways, seed)))
    };
    assert_within_budget(scenarios.map(run), min_received);
}

fn check_budget_with_subsets(gateways: usize, min_received: f64) {
    let scenarios = SCENARIOS
        .into_iter()
        .chain(SUBSET_SCENARIOS)
        .flat_map(|scenario| [LOADS[0], LOADS[2]].map(|load| (scenario, load)));
    let run = |((name, vary), load): ((&str, ScenarioChange), _)| {
        run_scenario(name, load, 1, |seed| {
            with_subsets(vary(Scenario::new(gateways, seed)))
        })
    };
    assert_within_budget(scenarios.map(run), min_received);
}

#[test]
fn three_gateways_keep_the_budget_and_use_it() {
    check_budget(3, 2, 0.4);
}

#[test]
fn twenty_gateways_keep_the_budget_and_use_it() {
    check_budget(20, 2, 0.4);
}

#[test]
fn thirty_gateways_keep_the_budget_and_use_it() {
    check_budget(30, 2, 0.4);
}

#[test]
fn three_hundred_gateways_keep_the_budget_and_use_it() {
    check_budget(300, 1, 0.25);
}

#[test]
fn nine_hundred_gateways_keep_the_budget() {
    check_budget(900, 1, 0.2);
}

#[test]
fn thirty_gateways_with_subsets_keep_the_budget_and_use_it() {
    check_budget_with_subsets(30, 0.25);
}

#[test]
fn three_hundred_gateways_with_subsets_keep_the_budget_and_use_it() {
    check_budget_with_subsets(300, 0.3);
}

/// The check must fail in each of these scenarios if each gateway with an engine subset assumes to be the only one that
/// uses its engines.
#[test]
fn check_detects_gateways_that_each_assume_to_be_alone_in_a_subset() {
    for (name, vary) in [
        ("one alone", SCENARIOS[0].1),
        ("many", SCENARIOS[3].1),
        ("quiet", SCENARIOS[6].1),
    ] {
        let one_gateway = |base: Scenario| Scenario {
            gateways_per_engine: Some(1.0),
            demand: 5.0,
            ..with_subsets(base)
        };
        let usage = run_seeds(1, |seed| one_gateway(vary(Scenario::new(30, seed))));
        assert!(
            usage.violations > 0 && usage.peak_limit_use > 1.0,
            "{name}: {usage:?}"
        );
    }
}

#[test]
fn check_detects_gateways_that_each_use_the_whole_budget() {
    for (name, vary) in SCENARIOS
        .into_iter()
        .filter(|(name, _)| ["one of five", "many", "quiet"].contains(name))
    {
        let usage = run_seeds(1, |seed| Scenario {
            configured_gateways: 1.0,
            demand: 5.0,
            ..vary(Scenario::new(20, seed))
        });
        assert!(
            usage.violations > 0 && usage.peak_limit_use > 1.0,
            "{name}: {usage:?}"
        );
    }
}
