//! Tests of the measures with small fleets whose results are computed by hand.

use super::*;
use crate::subset_comparison::population::{Engine, Gateway};
use std::sync::Arc;

/// Engines 0 and 1 have 8 cores and kind 0, engines 2 and 3 have 16 cores and kind 1.
fn population(engines: &[u32], gateways: u32) -> Population {
    let engine = |&number: &u32| {
        let kind = number / 2;
        let cores = 8.0 * f64::from(kind + 1);
        Engine {
            number,
            id: format!("e{number}"),
            cores,
            kind,
            zone: 0,
            rack: 0,
        }
    };
    let gateway = |number| Gateway {
        number,
        name: format!("g{number}"),
    };
    Population {
        engines: engines.iter().map(engine).collect(),
        gateways: (0..gateways).map(gateway).collect(),
    }
}

fn assignment(held: &[&[u32]]) -> Assignment {
    Assignment {
        held: held.iter().map(|held| Arc::from(*held)).collect(),
        holder_counts: Vec::new(),
    }
}

/// Requires a size, and a floor for both kinds.
fn required(size: usize, floor: usize) -> Required {
    Required {
        size,
        classes: Classes {
            floor,
            kinds: vec![0, 1],
        },
    }
}

fn assigned<'a>(population: &'a Population, assignment: &'a Assignment) -> Assigned<'a> {
    Assigned {
        population,
        assignment,
    }
}

#[test]
fn a_distribution_ranks_its_values() {
    let distribution = Distribution::of((1..=200).rev().map(f64::from).collect());
    assert_eq!(
        distribution,
        Distribution {
            p50: 100.0,
            p99: 198.0,
            max: 200.0
        }
    );
    assert_eq!(
        Distribution::of(vec![3.0]),
        Distribution {
            p50: 3.0,
            p99: 3.0,
            max: 3.0
        }
    );
}

#[test]
fn work_is_split_by_cores_and_counted_per_core() {
    let fleet = population(&[0, 1, 2, 3], 2);
    // Every gateway holds every engine, so the work is even.
    let even = work_over_mean(
        &fleet,
        &assignment(&[&[0, 1, 2, 3], &[0, 1, 2, 3]]),
        &[1.0, 3.0],
    );
    assert_eq!(
        even,
        Distribution {
            p50: 1.0,
            p99: 1.0,
            max: 1.0
        }
    );
    // The first gateway puts 1 on 8 cores, the second 3 on 32. The mean is 4 on 48 cores, and engine 1 has no work.
    let uneven = work_over_mean(&fleet, &assignment(&[&[0], &[2, 3]]), &[1.0, 3.0]);
    assert_eq!(uneven.max, 1.0 / 8.0 / (4.0 / 48.0));
    assert_eq!(uneven.p50, 3.0 / 32.0 / (4.0 / 48.0));
    assert_eq!(
        engines_without_gateway(&fleet, &assignment(&[&[0], &[2, 3]])),
        1
    );
}

#[test]
fn least_moves_are_the_lost_members_and_their_replacements() {
    let (before, after) = (population(&[0, 1, 2, 3], 2), population(&[1, 2, 3], 2));
    let held = assignment(&[&[0, 2], &[2, 3]]);
    let no_floor = required(2, 0);
    let best = moves(
        assigned(&before, &held),
        assigned(&after, &assignment(&[&[2, 3], &[2, 3]])),
        &no_floor,
    );
    assert_eq!(
        best,
        Moves {
            moved: 2,
            least: 2,
            floor: 2,
            held: 4
        }
    );
    let needless = moves(
        assigned(&before, &held),
        assigned(&after, &assignment(&[&[1, 3], &[1, 2]])),
        &no_floor,
    );
    assert_eq!(
        needless,
        Moves {
            moved: 6,
            least: 2,
            floor: 2,
            held: 4
        }
    );
    // The second gateway lacks an engine of kind 0, whatever its size.
    let with_floor = required(2, 1);
    let moves = moves(
        assigned(&before, &held),
        assigned(&after, &assignment(&[&[1, 2], &[1, 2, 3]])),
        &with_floor,
    );
    assert_eq!(
        moves,
        Moves {
            moved: 3,
            least: 3,
            floor: 3,
            held: 4
        }
    );
}

#[test]
fn the_floor_lets_a_subset_shrink_to_its_size() {
    let (before, after) = (population(&[0, 1, 2, 3], 1), population(&[1, 2, 3], 1));
    let required = required(1, 0);
    let (held, held_after) = (assignment(&[&[0, 2]]), assignment(&[&[2, 3]]));
    let moves = moves(
        assigned(&before, &held),
        assigned(&after, &held_after),
        &required,
    );
    assert_eq!(
        moves,
        Moves {
            moved: 2,
            least: 2,
            floor: 1,
            held: 2
        }
    );
    assert_eq!((moves.over_least(), moves.over_floor()), (1.0, 2.0));
}

#[test]
fn lost_gateways_do_not_count_as_moves() {
    let (before, after) = (population(&[0, 1], 2), population(&[0, 1], 1));
    let required = required(1, 0);
    let moves = moves(
        assigned(&before, &assignment(&[&[0], &[1]])),
        assigned(&after, &assignment(&[&[0]])),
        &required,
    );
    assert_eq!(
        moves,
        Moves {
            moved: 0,
            least: 0,
            floor: 0,
            held: 1
        }
    );
    assert_eq!((moves.over_least(), moves.share()), (1.0, 0.0));
}

#[test]
fn shares_are_summed_over_the_holders_of_an_engine() {
    let fleet = population(&[0, 1], 2);
    let mut assignment = assignment(&[&[0, 1], &[1]]);
    assignment.holder_counts = vec![vec![2.0, 2.0], vec![4.0]];
    assert_eq!(largest_sum_of_shares(&fleet, &assignment), 0.75);
}
