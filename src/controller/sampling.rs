//! Draws random samples of long engine lists, so that the choice of an engine need not scan the whole list.

use super::rng::Rng;
use crate::api::EngineId;

/// Draws `count` distinct engines of a list, each with equal probability. The engines are taken from a random position
/// on in steps of a random size that is coprime with the length of the list. `count` must not exceed that length.
pub(super) fn sample(rng: &mut Rng, list: &[EngineId], count: usize) -> Vec<EngineId> {
    let length = list.len();
    let mut draw = || (rng.uniform() * length as f64) as usize % length;
    let mut position = draw();
    let mut step = draw().max(1);
    while greatest_common_divisor(step, length) != 1 {
        step = step % length + 1;
    }
    let mut drawn = Vec::with_capacity(count);
    for _ in 0..count {
        drawn.push(list[position]);
        position = (position + step) % length;
    }
    drawn
}

fn greatest_common_divisor(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}
