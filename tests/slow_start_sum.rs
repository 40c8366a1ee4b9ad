//! What all gateways together send a engine in slow start, each of them deciding alone: a plain world that plays many
//! instances of the module and judges the sum by the rule on engines in slow start.

use garnetwall::api::*;
use garnetwall::controller::AdmissionController;
use std::collections::BTreeSet;

/// Seconds between two moments of the world: all that falls into one is done in step.
const STEP: f64 = 0.05;
const COLD: SlowStart = SlowStart {
    initial_fraction: 0.35,
    duration: 10.0,
    overload_multiple: 3.0,
    window: 2.0,
};
const CORES: [f64; 2] = [8.0, 16.0];

/// SplitMix64.
struct TestRng(u64);

impl TestRng {
    fn even(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ self.0 >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ z >> 31) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Between two arrivals, in means.
    fn gap(&mut self) -> f64 {
        -(1.0 - self.even()).ln()
    }
}

/// A query class's share of the queries, its mean work in seconds and the limit.
#[derive(Clone, Copy)]
struct Class {
    share: f64,
    work: f64,
    limit: f64,
}

const LIGHT: [Class; 2] = [
    Class {
        share: 0.75,
        work: 0.1,
        limit: 2.0,
    },
    Class {
        share: 0.25,
        work: 0.5,
        limit: 8.0,
    },
];
const HEAVY: [Class; 2] = [
    Class {
        share: 0.8,
        work: 0.5,
        limit: 6.0,
    },
    Class {
        share: 0.2,
        work: 1.5,
        limit: 20.0,
    },
];

#[derive(Clone)]
struct Day {
    gateways: usize,
    /// Gateways that the settings tell of.
    known_gateways: f64,
    classes: [Class; 2],
    /// When engines start, and their kind; and how many warm ones of each kind there are.
    starts: Vec<(f64, usize)>,
    warm: usize,
    /// Seconds until gateways are notified of a start, and those within which they all are.
    blind: f64,
    late: f64,
    /// The engines were there before they started, so that gateways not notified still send to them.
    known: bool,
    /// No query comes before.
    quiet: f64,
    /// At these times these parts of the gateways end and start anew, under names of their own where `renamed`.
    restarts: Vec<(f64, f64)>,
    renamed: bool,
    /// Engines that each gateway works with; all where it is none.
    subset: Option<usize>,
    /// Gateways that hold an engine, as a subset's gateways are notified; worked out where it is none.
    holders: Option<f64>,
    /// Traffic of the busiest tenth of the gateways, over that of a usual one.
    busiest: f64,
    /// Work that comes, in what all engines could do once warm.
    demand: f64,
    /// Engines answer as though each query had them alone: only the budget holds gateways back.
    quick: bool,
    /// Estimates come with the queries.
    estimates: bool,
    seed: u64,
}

impl Day {
    fn new(gateways: usize, seed: u64) -> Day {
        Day {
            gateways,
            known_gateways: gateways as f64,
            classes: LIGHT,
            starts: vec![(1.0, 0)],
            warm: 0,
            blind: 0.0,
            late: 0.0,
            known: false,
            quiet: 0.0,
            restarts: Vec::new(),
            renamed: false,
            subset: None,
            holders: None,
            busiest: 5.0,
            demand: 2.0,
            quick: true,
            estimates: false,
            seed,
        }
    }

    fn mean_work(&self) -> f64 {
        self.classes.iter().map(|c| c.share * c.work).sum()
    }

    fn settings(&self) -> Settings {
        let class = |c: &Class| QueryClass {
            latency_objective: c.limit / 3.0,
            latency_objective_stretch: 2.0,
            deadline: c.limit,
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
            gateways: self.known_gateways,
            kind_cores: CORES.iter().copied().map(Some).collect(),
            load_reporting: LoadReporting::WithAnswers,
            cancellation_allowed: true,
            retry_after_allowed: true,
            max_retry_after: 1.0,
            max_attempts: 4,
            slow_start: Some(COLD),
            ..Settings::default()
        }
    }

    fn line(&self, engine: EngineId, started: bool) -> Endpoint {
        let kind = self.kind(engine);
        let started_at = self
            .starts
            .get(engine)
            .filter(|_| started)
            .map(|(up, _)| *up);
        let holders = self.subset.map(|size| {
            self.holders
                .unwrap_or_else(|| self.gateways_with(size, kind))
        });
        Endpoint {
            engine,
            zone: 0,
            kind,
            cell: 0,
            started_at,
            state: EndpointState::Ready,
            gateways: holders,
        }
    }

    fn engines(&self) -> usize {
        self.starts.len() + 2 * self.warm
    }

    fn kind(&self, engine: EngineId) -> usize {
        self.starts
            .get(engine)
            .map_or(engine % 2, |(_, kind)| *kind)
    }

    /// A gateway's engines, as rendezvous hashing weighted by cores draws them for its name.
    fn members(&self, name: u64) -> BTreeSet<EngineId> {
        let mut rng = TestRng(name);
        let mut scores: Vec<(f64, EngineId)> = (0..self.engines())
            .map(|e| (rng.gap() / CORES[self.kind(e)], e))
            .collect();
        scores.sort_by(|a, b| a.0.total_cmp(&b.0));
        scores
            .into_iter()
            .take(self.subset.unwrap_or(usize::MAX))
            .map(|(_, e)| e)
            .collect()
    }

    /// The gateways that hold an engine of a kind in the mean, and two roots more, as the rule of subsets has it.
    fn gateways_with(&self, size: usize, kind: usize) -> f64 {
        let held = |t: f64, kind: usize| 1.0 - (-t * CORES[kind]).exp();
        let sum = |t: f64| {
            (0..self.engines())
                .map(|e| held(t, self.kind(e)))
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
        let mean = self.gateways as f64 * held(high, kind);
        (mean + 2.0 * mean.sqrt()).min(self.gateways as f64)
    }

    /// Cores that an engine can use.
    fn able(&self, now: f64, engine: EngineId) -> f64 {
        let up = self
            .starts
            .get(engine)
            .map_or(f64::NEG_INFINITY, |(up, _)| *up);
        let warmed = ((now - up) / COLD.duration).clamp(0.0, 1.0);
        CORES[self.kind(engine)] * (COLD.initial_fraction + (1.0 - COLD.initial_fraction) * warmed)
    }

    fn play(&self) -> Vec<Vec<Sent>> {
        let mut rng = TestRng(self.seed);
        let engines = self.engines();
        let work = self.demand * (0..engines).map(|e| CORES[self.kind(e)]).sum::<f64>();
        let weights: Vec<f64> = (0..self.gateways)
            .map(|_| {
                if rng.even() < 0.1 {
                    self.busiest
                } else {
                    0.5 + rng.even()
                }
            })
            .collect();
        let rate = work / self.mean_work() / weights.iter().sum::<f64>();
        let mut gateways: Vec<Gateway> = Vec::new();
        for weight in weights {
            let seed = (rng.even() * 1e15) as u64;
            let notified = self
                .starts
                .iter()
                .map(|(up, _)| up + self.blind + self.late * rng.even())
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
        let mut world = World {
            sent: self.starts.iter().map(|_| Vec::new()).collect(),
            held: vec![0.0; engines],
        };
        let end = self
            .starts
            .iter()
            .map(|(up, _)| up + COLD.duration)
            .fold(0.0, f64::max);
        let mut restarts = self.restarts.clone();
        for now in (0..)
            .map(|n| f64::from(n) * STEP)
            .take_while(|now| *now < end)
        {
            if let Some((_, part)) = restarts.first().copied().filter(|(at, _)| *at <= now) {
                restarts.remove(0);
                for g in &mut gateways {
                    if rng.even() < part {
                        let seed = (rng.even() * 1e15) as u64;
                        let notified = self.starts.iter().zip(&g.notified).map(|((up, _), t)| {
                            if *up <= now {
                                now
                            } else {
                                *t
                            }
                        });
                        g.out.iter().for_each(|o| world.held[o.engine] -= 1.0);
                        let members = if self.renamed {
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
                .for_each(|g| g.step(self, now, &mut rng, &mut world));
        }
        world.sent
    }
}

/// Work that a gateway sent to a engine in slow start, and whether it had been notified of the start.
struct Sent {
    at: f64,
    work: f64,
    notified: bool,
}

struct World {
    sent: Vec<Vec<Sent>>,
    /// Batches that run on each engine; they share its cores.
    held: Vec<f64>,
}

struct Out {
    ends: f64,
    latency: f64,
    id: QueryId,
    engine: EngineId,
    attempt: u32,
}

struct Gateway {
    c: AdmissionController,
    rate: f64,
    next: f64,
    wake: f64,
    notified: Vec<f64>,
    listed: Vec<bool>,
    members: BTreeSet<EngineId>,
    /// Group, true work and attempts of each query.
    queries: Vec<(usize, f64, u32)>,
    out: Vec<Out>,
}

impl Gateway {
    fn new(
        day: &Day,
        now: f64,
        seed: u64,
        rate: f64,
        notified: Vec<f64>,
        members: BTreeSet<EngineId>,
    ) -> Gateway {
        let mut c = AdmissionController::new(day.settings(), seed, now);
        let listed: Vec<bool> = notified.iter().map(|t| *t <= now).collect();
        let there = |e: &EngineId| listed.get(*e).is_none_or(|l| *l || day.known);
        let started = |e: EngineId| listed.get(e).copied().unwrap_or_default();
        let lines: Vec<Endpoint> = members
            .iter()
            .copied()
            .filter(there)
            .map(|e| day.line(e, started(e)))
            .collect();
        c.update_endpoints(&lines, ListScope::Full);
        Gateway {
            c,
            rate,
            next: now,
            wake: now,
            notified,
            listed,
            members,
            queries: Vec::new(),
            out: Vec::new(),
        }
    }

    fn step(&mut self, day: &Day, now: f64, rng: &mut TestRng, world: &mut World) {
        let mut due = self.wake <= now;
        for e in 0..self.listed.len() {
            if !self.listed[e] && self.notified[e] <= now {
                self.listed[e] = true;
                if self.members.contains(&e) {
                    self.c
                        .update_endpoints(&[day.line(e, true)], ListScope::Delta);
                    due = true;
                }
            }
        }
        while let Some(n) = self.out.iter().position(|o| o.ends <= now) {
            let o = self.out.remove(n);
            world.held[o.engine] -= 1.0;
            let work = Some(self.queries[o.id as usize].1);
            self.over(now, o, AttemptEnd::Succeeded, work);
            due = true;
        }
        while self.next <= now {
            self.next += rng.gap() / self.rate;
            let class_index = usize::from(rng.even() > day.classes[0].share);
            let class = day.classes[class_index];
            let work = class.work * (0.3 + 0.7 * rng.gap());
            if now < day.quiet {
                continue;
            }
            let id = self.queries.len() as QueryId;
            let estimated_work = day.estimates.then(|| work * (0.6 + 0.8 * rng.even()));
            self.queries.push((class_index, work, 0));
            let remaining_time = class.limit;
            let b = Query {
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
            self.c.admit(now, b);
            due = true;
        }
        if due {
            self.pump(day, now, rng, world);
        }
    }

    fn over(&mut self, now: f64, o: Out, end: AttemptEnd, work: Option<f64>) {
        let Out {
            latency,
            id,
            engine,
            attempt,
            ..
        } = o;
        let closed = end == AttemptEnd::Succeeded;
        self.c.attempt_ended(
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

    fn pump(&mut self, day: &Day, now: f64, rng: &mut TestRng, world: &mut World) {
        loop {
            match self.c.next_action(now) {
                NextAction::Wait(span) => {
                    self.wake = now + span;
                    return;
                }
                NextAction::Subscribe => {}
                NextAction::HealthCheck(engine) => {
                    self.c
                        .health_check_ended(now, engine, AttemptEnd::Succeeded)
                }
                NextAction::Cancel { query: id, attempt } => {
                    if let Some(n) = self
                        .out
                        .iter()
                        .position(|o| (o.id, o.attempt) == (id, attempt))
                    {
                        let o = self.out.remove(n);
                        world.held[o.engine] -= 1.0;
                        self.over(now, o, AttemptEnd::Cancelled, None);
                    }
                }
                NextAction::Place(id) => {
                    let Placement::Attempt {
                        engine,
                        response_timeout,
                        ..
                    } = self.c.place(now, id)
                    else {
                        continue;
                    };
                    let (_, work, attempts) = &mut self.queries[id as usize];
                    world.held[engine] += 1.0;
                    let shared = world.held[engine] / day.able(now, engine);
                    let latency = (*work
                        * if day.quick {
                            0.2
                        } else {
                            shared.max(1.0) * (1.0 + rng.even())
                        })
                    .min(response_timeout);
                    let attempt = *attempts;
                    *attempts += 1;
                    if let Some(sent) = world.sent.get_mut(engine) {
                        sent.push(Sent {
                            at: now,
                            work: *work,
                            notified: self.listed[engine],
                        });
                    }
                    self.out.push(Out {
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

/// What the judge saw of one engine or, by `worst`, of many.
#[derive(Clone, Copy, Debug, Default)]
struct Verdict {
    /// Windows in which it fell and over two thirds came from gateways notified of the start.
    broken: usize,
    /// At most in any window: what gateways notified of the start sent over the budget, and its excess in roots.
    filled: f64,
    excess: f64,
    /// At most in any window: the part of budget and chance that was filled.
    near: f64,
    /// Work from gateways notified of the start, in budgets over the slow start; and of how many engines.
    got: f64,
    engines: f64,
}

impl Verdict {
    fn worst(self, o: Verdict) -> Verdict {
        Verdict {
            broken: self.broken + o.broken,
            filled: self.filled.max(o.filled),
            excess: self.excess.max(o.excess),
            near: self.near.max(o.near),
            got: self.got + o.got,
            engines: self.engines + o.engines,
        }
    }
}

/// Judges every window that ends at an attempt while the engine is cold. Its capacity counts as the notified
/// share until it is warm: that is all that is notified, and how it rises to the whole is not.
fn judge(sent: &[Sent], up: f64, cores: f64, mean_work: f64) -> Verdict {
    let mut v = Verdict {
        engines: 1.0,
        ..Verdict::default()
    };
    let (mut first, mut all, mut notified) = (0, 0.0, 0.0);
    for s in sent.iter().filter(|s| s.notified) {
        v.got += s.work / (COLD.overload_multiple * COLD.initial_fraction * cores * COLD.duration);
    }
    for (n, s) in sent.iter().enumerate() {
        let part = |s: &Sent| {
            (
                s.work / mean_work,
                if s.notified { s.work / mean_work } else { 0.0 },
            )
        };
        (all, notified) = (all + part(s).0, notified + part(s).1);
        while sent[first].at <= s.at - COLD.window || sent[first].at < up {
            let gone = part(&sent[first]);
            (all, notified) = (all - gone.0, notified - gone.1);
            first += 1;
            if first > n {
                break;
            }
        }
        if s.at < up || s.at >= up + COLD.duration {
            continue;
        }
        let budget =
            COLD.overload_multiple * COLD.window * COLD.initial_fraction * cores / mean_work;
        let most = budget + 2.0 * budget.sqrt() + 2.0;
        v.broken += usize::from(all > most && notified > all * 2.0 / 3.0);
        v.filled = v.filled.max(notified / budget);
        v.excess = v.excess.max((notified - budget) / budget.sqrt());
        v.near = v.near.max(notified / most);
    }
    v
}

fn judged(day: &Day) -> Verdict {
    let sent = day.play();
    let one = |(sent, (up, kind)): (&Vec<Sent>, &(f64, usize))| {
        judge(sent, *up, CORES[*kind], day.mean_work())
    };
    sent.iter()
        .zip(&day.starts)
        .map(one)
        .reduce(Verdict::worst)
        .expect("a engine in slow start")
}

fn over_seeds(seeds: u64, day: impl Fn(u64) -> Day) -> Verdict {
    (0..seeds)
        .map(|seed| judged(&day(seed * 7919 + 11)))
        .reduce(Verdict::worst)
        .expect("a seed")
}

fn at_once(kinds: &[usize]) -> Vec<(f64, usize)> {
    kinds.iter().map(|kind| (1.0, *kind)).collect()
}

type Change = fn(Day) -> Day;
const DAYS: [(&str, Change); 10] = [
    ("one alone", |d| d),
    ("one of five", |d| Day { warm: 2, ..d }),
    ("heavy", |d| Day {
        classes: HEAVY,
        warm: 1,
        ..d
    }),
    ("many", |d| Day {
        starts: at_once(&[0, 1, 0, 1]),
        warm: 1,
        late: 1.0,
        ..d
    }),
    ("staggered", |d| Day {
        starts: (0..4)
            .map(|n| (1.0 + 0.7 * f64::from(n), n as usize % 2))
            .collect(),
        warm: 1,
        late: 1.0,
        known: true,
        ..d
    }),
    ("notified late", |d| Day {
        warm: 1,
        blind: 3.0,
        ..d
    }),
    ("quiet", |d| Day {
        warm: 1,
        quiet: 5.0,
        ..d
    }),
    ("restarts", |d| Day {
        warm: 1,
        restarts: (0..8).map(|n| (1.5 + 0.5 * f64::from(n), 0.2)).collect(),
        ..d
    }),
    ("all restart", |d| Day {
        warm: 1,
        restarts: vec![(2.5, 1.0)],
        ..d
    }),
    ("estimates", |d| Day {
        warm: 1,
        estimates: true,
        classes: HEAVY,
        ..d
    }),
];

/// Engines that a gateway holds on days with subsets, and warm ones of each kind: a third to a half of all.
const SUBSET_SIZE: usize = 4;
const SUBSET_WARM: usize = 4;
/// Only on days with subsets.
const SUBSET_DAYS: [(&str, Change); 2] = [
    ("replaced", |d| Day {
        restarts: (0..8).map(|n| (1.5 + 0.5 * f64::from(n), 0.2)).collect(),
        renamed: true,
        ..d
    }),
    ("uneven", |d| Day {
        starts: at_once(&[0, 1]),
        busiest: 20.0,
        ..d
    }),
];

fn with_subsets(day: Day) -> Day {
    Day {
        subset: Some(SUBSET_SIZE),
        warm: SUBSET_WARM,
        ..day
    }
}

/// Under demand that the engines can't meet, and where only the budget holds gateways back.
const LOADS: [(bool, f64); 3] = [(false, 2.0), (true, 2.0), (true, 5.0)];

/// The sum over seeds of one day under one load.
fn sum_of(
    name: &str,
    (quick, demand): (bool, f64),
    seeds: u64,
    day: impl Fn(u64) -> Day,
) -> Verdict {
    let v = over_seeds(seeds, |seed| Day {
        quick,
        demand,
        ..day(seed)
    });
    let got = v.got / v.engines;
    println!(
        "{name:12} quick {quick:5} demand {demand:.1}: broken {:3}, {:.2} N, excess {:5.2} roots, \
         {:.2} of budget and chance, got {got:.2}",
        v.broken, v.filled, v.excess, v.near
    );
    v
}

fn check(verdicts: impl Iterator<Item = Verdict>, least: f64) {
    let v = verdicts.reduce(Verdict::worst).expect("a day");
    assert!(v.broken == 0 && v.near <= 1.0, "{v:?}");
    let got = v.got / v.engines;
    println!("got {got:.3} of the budget");
    assert!(got >= least, "starved: {got:.3} of the budget");
}

fn keeps(gateways: usize, seeds: u64, least: f64) {
    let days = DAYS
        .into_iter()
        .flat_map(|day| LOADS.map(|load| (day, load)));
    let sum = |((name, change), load): ((&str, Change), _)| {
        sum_of(name, load, seeds, |seed| change(Day::new(gateways, seed)))
    };
    check(days.map(sum), least);
}

fn keeps_with_subsets(gateways: usize, least: f64) {
    let days = DAYS
        .into_iter()
        .chain(SUBSET_DAYS)
        .flat_map(|day| [LOADS[0], LOADS[2]].map(|load| (day, load)));
    let sum = |((name, change), load): ((&str, Change), _)| {
        sum_of(name, load, 1, |seed| {
            with_subsets(change(Day::new(gateways, seed)))
        })
    };
    check(days.map(sum), least);
}

#[test]
fn three_gateways_keep_the_budget_and_use_it() {
    keeps(3, 2, 0.4);
}

#[test]
fn twenty_gateways_keep_the_budget_and_use_it() {
    keeps(20, 2, 0.4);
}

#[test]
fn thirty_gateways_keep_the_budget_and_use_it() {
    keeps(30, 2, 0.4);
}

#[test]
fn three_hundred_gateways_keep_the_budget_and_use_it() {
    keeps(300, 1, 0.25);
}

#[test]
fn nine_hundred_gateways_keep_the_budget() {
    keeps(900, 1, 0.2);
}

#[test]
fn thirty_gateways_with_subsets_keep_the_budget_and_use_it() {
    keeps_with_subsets(30, 0.25);
}

#[test]
fn three_hundred_gateways_with_subsets_keep_the_budget_and_use_it() {
    keeps_with_subsets(300, 0.3);
}

/// A subset's gateways that count as alone with an engine: the judge finds them on each day.
#[test]
fn check_detects_gateways_that_each_assume_to_be_alone_in_a_subset() {
    for (name, change) in [
        ("one alone", DAYS[0].1),
        ("many", DAYS[3].1),
        ("quiet", DAYS[6].1),
    ] {
        let slip = |d: Day| Day {
            holders: Some(1.0),
            demand: 5.0,
            ..with_subsets(d)
        };
        let v = over_seeds(1, |seed| slip(change(Day::new(30, seed))));
        assert!(v.broken > 0 && v.near > 1.0, "{name}: {v:?}");
    }
}

#[test]
fn check_detects_gateways_that_each_use_the_whole_budget() {
    for (name, change) in DAYS
        .into_iter()
        .filter(|(name, _)| ["one of five", "many", "quiet"].contains(name))
    {
        let v = over_seeds(1, |seed| Day {
            known_gateways: 1.0,
            demand: 5.0,
            ..change(Day::new(20, seed))
        });
        assert!(v.broken > 0 && v.near > 1.0, "{name}: {v:?}");
    }
}
