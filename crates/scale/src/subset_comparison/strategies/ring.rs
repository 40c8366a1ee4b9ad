//! Ring with virtual nodes: a gateway holds the next distinct engines after its own position.

use crate::subset_comparison::population::{Engine, Population};
use crate::subset_comparison::strategy::{Assignment, Strategy};
use std::collections::HashSet;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A point of the ring: its position and the number of its engine.
type Point = (u64, u32);

/// Ring on which each engine has a number of points in proportion to its cores.
pub struct VirtualNodeRing {
    /// Number of points for each core of an engine. Fixed, so that no engine's points depend on those of others.
    pub points_per_core: usize,
}

impl Strategy for VirtualNodeRing {
    fn choose(&self, population: &Population, size: usize) -> Assignment {
        let ring = self.points(population);
        let size = size.min(population.engines.len());
        let held = population
            .gateways
            .iter()
            .map(|gateway| next_distinct(&ring, &gateway.name, size));
        Assignment {
            held: held.collect(),
            holder_counts: Vec::new(),
        }
    }

    fn state_bytes(&self, population: &Population, _size: usize) -> usize {
        let points: usize = population
            .engines
            .iter()
            .map(|engine| self.point_count(engine))
            .sum();
        points * std::mem::size_of::<Point>()
    }
}

impl VirtualNodeRing {
    fn point_count(&self, engine: &Engine) -> usize {
        (engine.cores * self.points_per_core as f64)
            .round()
            .max(1.0) as usize
    }

    fn points(&self, population: &Population) -> Vec<Point> {
        let points_of = |engine: &Engine| {
            let count = self.point_count(engine) as u64;
            let (id, number) = (engine.id.clone(), engine.number);
            (0..count).map(move |replica| (xxh3_64_with_seed(id.as_bytes(), replica), number))
        };
        let mut ring: Vec<Point> = population.engines.iter().flat_map(points_of).collect();
        ring.sort_unstable();
        ring
    }
}

/// Returns the next `size` distinct engines on the ring after the gateway's position.
fn next_distinct(ring: &[Point], gateway: &str, size: usize) -> Arc<[u32]> {
    let place = xxh3_64(gateway.as_bytes());
    let start = ring.partition_point(|(point, _)| *point < place);
    let mut held = HashSet::with_capacity(size);
    for (_, engine) in ring[start..].iter().chain(&ring[..start]) {
        held.insert(*engine);
        if held.len() == size {
            break;
        }
    }
    let mut held: Vec<u32> = held.into_iter().collect();
    held.sort_unstable();
    held.into()
}
