//! Generates the queries of clients, as one seeded random stream per gateway.

use super::experiment::Experiment;
use super::time::SimTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};

/// Share of a class's mean work that every query of the class has. The rest is exponentially distributed.
const FIXED_WORK_SHARE: f64 = 0.3;
/// Size of each gateway's own range of ordering keys, so that gateways share no key.
const KEYS_PER_GATEWAY: u64 = 1 << 20;

/// A query as its client sends it.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    pub class: usize,
    /// Work in core seconds.
    pub work: f64,
    /// Ordering key; `None` for classes without keys.
    pub key: Option<u64>,
}

/// The clients of one gateway.
pub struct Clients {
    random: SmallRng,
    gateway: u64,
    /// Mean queries per second.
    rate: f64,
}

/// Query classes and their work, shared by the clients of all gateways.
pub struct Demand {
    /// Cumulative shares of the classes in the queries, ending at 1.
    shares: Vec<f64>,
    /// Mean work of each class in core seconds.
    work: Vec<f64>,
    /// Number of ordering keys of each class per gateway; 0 for none.
    keys: Vec<u64>,
    /// Mean work of all queries in core seconds.
    pub mean_work: f64,
}

impl Demand {
    /// Scales the work of the classes so that all queries together use the experiment's `utilisation` of all cores.
    pub fn new(experiment: &Experiment, total_cores: f64) -> Demand {
        let gateways = &experiment.gateways;
        let queries_per_second = gateways.rate * gateways.count as f64;
        let mean_work = total_cores * experiment.engines.utilisation / queries_per_second;
        let unscaled = experiment.unscaled_mean_work();
        let all: f64 = experiment.classes.iter().map(|class| class.share).sum();
        let cumulative = |sum: &mut f64, share: f64| {
            *sum += share / all;
            Some(*sum)
        };
        Demand {
            shares: experiment
                .classes
                .iter()
                .map(|class| class.share)
                .scan(0.0, cumulative)
                .collect(),
            work: experiment
                .classes
                .iter()
                .map(|class| class.work / unscaled * mean_work)
                .collect(),
            keys: experiment.classes.iter().map(|class| class.keys).collect(),
            mean_work,
        }
    }
}

impl Clients {
    pub fn new(seed: u64, gateway: usize, rate: f64) -> Clients {
        Clients {
            random: SmallRng::seed_from_u64(seed),
            gateway: gateway as u64,
            rate,
        }
    }

    /// Draws the time of the next arrival; intervals are exponentially distributed.
    pub fn next_arrival(&mut self, now: SimTime) -> SimTime {
        let gap: f64 = Exp1.sample(&mut self.random);
        now.after(gap / self.rate)
    }

    /// Draws a query: its class, work and ordering key.
    pub fn query(&mut self, demand: &Demand) -> Query {
        let drawn: f64 = self.random.random();
        let class = demand
            .shares
            .iter()
            .position(|share| drawn < *share)
            .unwrap_or(demand.shares.len() - 1);
        let spread: f64 = Exp1.sample(&mut self.random);
        let work = demand.work[class] * (FIXED_WORK_SHARE + (1.0 - FIXED_WORK_SHARE) * spread);
        let keys = demand.keys[class];
        let key =
            (keys > 0).then(|| self.gateway * KEYS_PER_GATEWAY + self.random.random_range(0..keys));
        Query { class, work, key }
    }
}

/// Draws the query rates of all gateways in queries per second. Each gateway is, with probability `busy_share`, a busy
/// one that gets `busy_times` the rate of the others; the mean over all gateways is `rate`.
pub fn rates(experiment: &Experiment, random: &mut SmallRng) -> Vec<f64> {
    let gateways = &experiment.gateways;
    let weight = |_| {
        if random.random::<f64>() < gateways.busy_share {
            gateways.busy_times
        } else {
            1.0
        }
    };
    let weights: Vec<f64> = (0..gateways.count).map(weight).collect();
    let mean = weights.iter().sum::<f64>() / gateways.count as f64;
    weights
        .into_iter()
        .map(|weight| gateways.rate * weight / mean)
        .collect()
}
