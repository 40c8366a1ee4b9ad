//! The engines and gateways of a fleet, drawn by a seed, before and after a change.

use super::experiment::{Experiment, Fleet};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::HashSet;

/// An engine of the list.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Number that stays the same over changes. Gateways do not know it.
    pub number: u32,
    pub id: String,
    pub cores: f64,
    pub kind: u32,
    pub zone: u32,
    pub rack: u32,
}

/// A gateway.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// Number that stays the same over changes.
    pub number: u32,
    pub name: String,
}

/// The engines and gateways that are present at one time.
#[derive(Clone, Debug)]
pub struct Population {
    pub engines: Vec<Engine>,
    pub gateways: Vec<Gateway>,
}

/// A change of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// One engine is lost.
    OneEngine,
    /// All engines of a rack are lost.
    Rack,
    /// All engines of a zone are lost.
    Zone,
    /// A share of the gateways is lost.
    Gateways,
}

impl Change {
    /// All changes, in the order of the figures.
    pub const ALL: [Change; 4] = [
        Change::OneEngine,
        Change::Rack,
        Change::Zone,
        Change::Gateways,
    ];
}

impl Population {
    /// Draws the fleet of a seed. Names contain the seed, so that each seed gives different hashes.
    pub fn draw(experiment: &Experiment, fleet: &Fleet, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let engines = (0..fleet.engines)
            .map(|place| draw_engine(experiment, place, seed, &mut rng))
            .collect();
        let gateway = |number| Gateway {
            number: number as u32,
            name: format!("gateway-{seed}-{number:05}"),
        };
        Population {
            engines,
            gateways: (0..fleet.gateways).map(gateway).collect(),
        }
    }

    /// Returns the fleet after a change. The seed determines what is lost.
    pub fn after(&self, change: Change, experiment: &Experiment, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let example = &self.engines[rng.random_range(0..self.engines.len())];
        match change {
            Change::OneEngine => self.without_engines(|engine| engine.number == example.number),
            Change::Rack => self.without_engines(|engine| engine.rack == example.rack),
            Change::Zone => self.without_engines(|engine| engine.zone == example.zone),
            Change::Gateways => self.without_gateways(experiment.gateways_lost, &mut rng),
        }
    }

    fn without_engines(&self, lost: impl Fn(&Engine) -> bool) -> Self {
        let engines = self
            .engines
            .iter()
            .filter(|engine| !lost(engine))
            .cloned()
            .collect();
        Population {
            engines,
            gateways: self.gateways.clone(),
        }
    }

    fn without_gateways(&self, share: f64, rng: &mut SmallRng) -> Self {
        let lost_count = (self.gateways.len() as f64 * share) as usize;
        let mut numbers: Vec<u32> = self.gateways.iter().map(|gateway| gateway.number).collect();
        numbers.shuffle(rng);
        let lost: HashSet<u32> = numbers.into_iter().take(lost_count).collect();
        let gateways = self
            .gateways
            .iter()
            .filter(|gateway| !lost.contains(&gateway.number))
            .cloned()
            .collect();
        Population {
            engines: self.engines.clone(),
            gateways,
        }
    }

    /// Returns the largest number of a present engine plus one. Lost engines may have smaller numbers.
    pub fn engine_numbers(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.number as usize + 1)
            .max()
            .unwrap_or(0)
    }

    /// Returns the cores of the engines by their number; 0 for lost engines.
    pub fn cores(&self) -> Vec<f64> {
        let mut cores = vec![0.0; self.engine_numbers()];
        self.engines
            .iter()
            .for_each(|engine| cores[engine.number as usize] = engine.cores);
        cores
    }

    /// Returns the kinds of the engines by their number; 0 for lost engines.
    pub fn kinds(&self) -> Vec<u32> {
        let mut kinds = vec![0; self.engine_numbers()];
        self.engines
            .iter()
            .for_each(|engine| kinds[engine.number as usize] = engine.kind);
        kinds
    }

    /// Returns the numbers of all engines, ascending.
    pub fn numbers(&self) -> Vec<u32> {
        self.engines.iter().map(|engine| engine.number).collect()
    }
}

fn draw_engine(experiment: &Experiment, place: usize, seed: u64, rng: &mut SmallRng) -> Engine {
    let rack = place / experiment.rack_engines;
    let kind = draw_kind(experiment, rng);
    Engine {
        number: place as u32,
        id: format!("engine-{seed}-{place:05}"),
        cores: experiment.kinds[kind].cores,
        kind: kind as u32,
        zone: rack as u32 % experiment.zones,
        rack: rack as u32,
    }
}

/// Draws a kind in proportion to the shares of the kinds.
fn draw_kind(experiment: &Experiment, rng: &mut SmallRng) -> usize {
    let all: f64 = experiment.kinds.iter().map(|kind| kind.share).sum();
    let mut left = rng.random::<f64>() * all;
    for (index, kind) in experiment.kinds.iter().enumerate() {
        left -= kind.share;
        if left < 0.0 {
            return index;
        }
    }
    experiment.kinds.len() - 1
}

/// Returns even traffic, by gateway number; the mean is 1.
pub fn even_traffic(gateways: usize) -> Vec<f64> {
    vec![1.0; gateways]
}

/// Returns uneven traffic, by gateway number; the mean is 1. The seed determines the gateways with heavy traffic.
pub fn uneven_traffic(experiment: &Experiment, gateways: usize, seed: u64) -> Vec<f64> {
    let heavy_count = (gateways as f64 * experiment.traffic.heavy_share).round() as usize;
    let heavy = experiment.traffic.heavy_factor;
    let heavy_sum = heavy * heavy_count as f64;
    let light = ((gateways as f64 - heavy_sum) / (gateways - heavy_count).max(1) as f64).max(0.0);
    let mut traffic: Vec<f64> = (0..gateways)
        .map(|place| if place < heavy_count { heavy } else { light })
        .collect();
    traffic.shuffle(&mut SmallRng::seed_from_u64(seed));
    traffic
}
