//! What is admitted where the capacity of all zones does not suffice, and when the rest may be retried.

use super::tolerance::MIN_DIVISOR;
use std::time::Duration;

/// Queries that are alike in their value for the work that they need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadGroup {
    /// Value for each core second of work, by the priority weights of its queries.
    pub value_per_work: f64,
    /// The load that is offered, in cores.
    pub load: f64,
}

/// Which fraction of each group is admitted where the capacity, in cores, does not suffice for all: those with the most
/// value for their work first. The result is in the order of the groups.
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

/// The Retry-After of a rejected query: about `wait`, with jitter by a number drawn from 0 to 1, so that clients do not
/// return in step.
pub fn retry_after(wait: Duration, draw: f64) -> Duration {
    wait.mul_f64(0.5 + draw.clamp(0.0, 1.0))
}
