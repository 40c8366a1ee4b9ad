//! Measures an assignment of engines to gateways: work, connections, and moves at a change.

#[cfg(test)]
mod tests;

use super::population::Population;
use super::strategy::{Assignment, Classes};
use crate::statistics::quantile;
use std::collections::HashMap;

/// Quantiles of a distribution over engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Distribution {
    pub p50: f64,
    pub p99: f64,
    pub max: f64,
}

impl Distribution {
    /// Computes the quantiles of `values`. The p99 is the value that 99 in 100 values do not exceed.
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Distribution {
            p50: quantile(&values, 0.5),
            p99: quantile(&values, 0.99),
            max: quantile(&values, 1.0),
        }
    }
}

/// Computes the work of each engine per core, relative to the mean, if each gateway splits its traffic over its subset
/// in proportion to cores. `traffic` is indexed by gateway number.
pub fn work_over_mean(
    population: &Population,
    assignment: &Assignment,
    traffic: &[f64],
) -> Distribution {
    let cores = population.cores();
    let mut work_per_core = vec![0.0; cores.len()];
    for (gateway, held) in population.gateways.iter().zip(&assignment.held) {
        let held_cores: f64 = held.iter().map(|engine| cores[*engine as usize]).sum();
        let per_core = traffic[gateway.number as usize] / held_cores;
        held.iter()
            .for_each(|engine| work_per_core[*engine as usize] += per_core);
    }
    let all_traffic: f64 = population
        .gateways
        .iter()
        .map(|gateway| traffic[gateway.number as usize])
        .sum();
    let mean = all_traffic / cores.iter().sum::<f64>();
    let of_engine = |engine: u32| work_per_core[engine as usize] / mean;
    Distribution::of(population.numbers().into_iter().map(of_engine).collect())
}

/// Counts the engines that no gateway holds.
pub fn engines_without_gateway(population: &Population, assignment: &Assignment) -> usize {
    let mut is_held = vec![false; population.engine_numbers()];
    let held = assignment.held.iter().flat_map(|held| held.iter());
    held.for_each(|engine| is_held[*engine as usize] = true);
    population
        .engines
        .iter()
        .filter(|engine| !is_held[engine.number as usize])
        .count()
}

/// Counts the gateways whose subsets differ or that are in one assignment only.
pub fn differing_gateways(one: &Assignment, other: &Assignment) -> usize {
    let pairs = one.held.iter().zip(&other.held);
    pairs.filter(|(one, other)| one != other).count() + one.held.len().abs_diff(other.held.len())
}

/// Returns the largest sum of the holders' shares of an engine. A share is one over the number of holders that the
/// holder assumes; a sum of 1 is the whole engine.
pub fn largest_sum_of_shares(population: &Population, assignment: &Assignment) -> f64 {
    let mut sums = vec![0.0; population.engine_numbers()];
    for (held, holder_counts) in assignment.held.iter().zip(&assignment.holder_counts) {
        held.iter()
            .zip(holder_counts)
            .for_each(|(engine, holders)| sums[*engine as usize] += 1.0 / holders);
    }
    sums.into_iter().fold(0.0, f64::max)
}

/// Pairs of a gateway and an engine that a change added or removed, for the gateways that stayed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moves {
    pub moved: usize,
    /// Minimum for any strategy that holds as many members after the change: lost members leave, and the difference
    /// joins.
    pub least: usize,
    /// Minimum that restores the size and each kind's floor.
    pub floor: usize,
    /// Number of pairs before the change.
    pub held: usize,
}

impl Moves {
    /// Ratio of the moves to [`Moves::least`]; 1 if nothing moved and nothing had to.
    pub fn over_least(&self) -> f64 {
        ratio(self.moved, self.least)
    }

    /// Ratio of the moves to [`Moves::floor`]; 1 if nothing moved and nothing had to.
    pub fn over_floor(&self) -> f64 {
        ratio(self.moved, self.floor)
    }

    /// Share of the pairs that moved.
    pub fn share(&self) -> f64 {
        self.moved as f64 / self.held.max(1) as f64
    }
}

fn ratio(moved: usize, least: usize) -> f64 {
    match (moved, least) {
        (0, 0) => 1.0,
        (moved, least) => moved as f64 / least.max(1) as f64,
    }
}

/// Requirements on a subset: its size and the minimum of each placement class.
#[derive(Clone, Debug)]
pub struct Required {
    pub size: usize,
    pub classes: Classes,
}

/// A population and the engines that its gateways hold.
#[derive(Clone, Copy)]
pub struct Assigned<'a> {
    pub population: &'a Population,
    pub assignment: &'a Assignment,
}

impl<'a> Assigned<'a> {
    /// Iterates over the gateways' numbers and the engines that each of them holds.
    fn held_by_gateway(self) -> impl Iterator<Item = (u32, &'a [u32])> {
        let numbers = self
            .population
            .gateways
            .iter()
            .map(|gateway| gateway.number);
        numbers.zip(self.assignment.held.iter().map(|held| &**held))
    }
}

/// Counts the moves of one change.
pub fn moves(before: Assigned, after: Assigned, required: &Required) -> Moves {
    let after_by_number: HashMap<u32, &[u32]> = after.held_by_gateway().collect();
    let remaining = Remaining::new(before.population, after.population);
    let mut moves = Moves {
        moved: 0,
        least: 0,
        floor: 0,
        held: 0,
    };
    for (gateway, held) in before.held_by_gateway() {
        let Some(held_after) = after_by_number.get(&gateway) else {
            continue;
        };
        moves.held += held.len();
        moves.moved += differing(held, held_after);
        let staying = remaining.staying(held);
        let lost = held.len() - staying.len();
        moves.least += lost + held_after.len().abs_diff(staying.len());
        moves.floor += lost + remaining.lacking(&staying, required);
    }
    moves
}

/// Counts the elements that are in only one of two ascending lists.
fn differing(one: &[u32], other: &[u32]) -> usize {
    let (mut one_rest, mut other_rest) = (one, other);
    let mut common = 0;
    while let (Some(first), Some(second)) = (one_rest.first(), other_rest.first()) {
        common += usize::from(first == second);
        let (step_one, step_other) = (first <= second, second <= first);
        one_rest = &one_rest[usize::from(step_one)..];
        other_rest = &other_rest[usize::from(step_other)..];
    }
    one.len() + other.len() - 2 * common
}

/// Engines that remain after a change.
struct Remaining {
    count: usize,
    count_by_kind: Vec<usize>,
    /// Whether an engine remains, by the numbers of the engines before the change.
    remains: Vec<bool>,
    /// Kinds, by the numbers of the engines before the change.
    kinds: Vec<u32>,
}

impl Remaining {
    fn new(before: &Population, after: &Population) -> Self {
        let kinds = before.kinds();
        let numbers = after.numbers();
        let mut remains = vec![false; before.engine_numbers()];
        numbers
            .iter()
            .for_each(|engine| remains[*engine as usize] = true);
        Remaining {
            count: numbers.len(),
            count_by_kind: count_by_kind(&numbers, &kinds),
            remains,
            kinds,
        }
    }

    /// Returns the members that remain.
    fn staying(&self, held: &[u32]) -> Vec<u32> {
        held.iter()
            .copied()
            .filter(|engine| self.remains[*engine as usize])
            .collect()
    }

    /// Counts the engines that have to join to restore the size and each class's floor, as far as engines remain.
    fn lacking(&self, staying: &[u32], required: &Required) -> usize {
        let of_size = required.size.min(self.count).saturating_sub(staying.len());
        let staying_by_kind = count_by_kind(staying, &self.kinds);
        let of_kind = |kind: &u32| {
            let kind = *kind as usize;
            let present = self.count_by_kind.get(kind).copied().unwrap_or(0);
            let staying = staying_by_kind.get(kind).copied().unwrap_or(0);
            required.classes.floor.min(present).saturating_sub(staying)
        };
        let of_kinds: usize = required.classes.kinds.iter().map(of_kind).sum();
        of_size.max(of_kinds)
    }
}

fn count_by_kind(engines: &[u32], kinds: &[u32]) -> Vec<usize> {
    let kind_count = kinds.iter().max().map_or(0, |kind| *kind as usize + 1);
    let mut counts = vec![0; kind_count];
    engines
        .iter()
        .for_each(|engine| counts[kinds[*engine as usize] as usize] += 1);
    counts
}
