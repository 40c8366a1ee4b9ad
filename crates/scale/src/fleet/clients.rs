//! What clients send: one seeded stream of queries for each gateway.

use super::experiment::Experiment;
use super::time::SimTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};

/// The part of a query's work that is the same for all of its class; the rest is exponential.
const FIXED_WORK_SHARE: f64 = 0.3;
const KEYS_PER_GATEWAY: u64 = 1 << 20;

/// One query, as its client knows it.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    pub class: usize,
    /// Seconds on one core.
    pub work: f64,
    pub key: Option<u64>,
}

/// The clients of one gateway.
pub struct Clients {
    random: SmallRng,
    gateway: u64,
    rate: f64,
}

/// What all clients share.
pub struct Demand {
    /// Cumulative shares of the classes.
    shares: Vec<f64>,
    /// Mean work of each class in seconds.
    work: Vec<f64>,
    keys: Vec<u64>,
    /// Mean work of all queries.
    pub mean_work: f64,
}

impl Demand {
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

    /// When the next query arrives.
    pub fn next_arrival(&mut self, now: SimTime) -> SimTime {
        let gap: f64 = Exp1.sample(&mut self.random);
        now.after(gap / self.rate)
    }

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

/// Rates of all gateways: a share of them gets several times what the others get.
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
