//! Decides which load to admit when the capacity of all zones is insufficient, and when rejected queries may be
//! retried.

use super::tolerance::MIN_DIVISOR;
use std::time::Duration;

/// Queries with the same value per unit of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadGroup {
    /// Value per core second of work, derived from the priority weights of the queries.
    pub value_per_work: f64,
    /// The offered load in cores.
    pub load: f64,
}

/// Returns the fraction of each group's load to admit, in the order of `groups`. Groups with the highest value per unit
/// of work are admitted first, until the capacity, in cores, is used up.
pub fn admit_by_value(groups: &[LoadGroup], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..groups.len()).collect();
    order.sort_by(|a, b| {
        groups[*b]
            .value_per_work
            .total_cmp(&groups[*a].value_per_work)
    });
    let mut remaining = capacity.max(0.0);
    let mut fractions = vec![0.0; groups.len()];
    for index in order {
        let load = groups[index].load;
        fractions[index] = if load <= MIN_DIVISOR {
            1.0
        } else {
            (remaining / load).clamp(0.0, 1.0)
        };
        remaining = (remaining - load).max(0.0);
    }
    fractions
}

/// Returns the Retry-After of a rejected query: `wait` times a factor from 0.5 to 1.5. `draw` is a random number from 0
/// to 1; the jitter prevents clients from retrying at the same time.
pub fn retry_after(wait: Duration, draw: f64) -> Duration {
    wait.mul_f64(0.5 + draw.clamp(0.0, 1.0))
}
