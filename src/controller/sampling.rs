//! Random samples of long lists, so that a choice does not walk the whole list of engines.

use super::rng::Rng;
use crate::api::EngineId;

/// `count` different engines of a list, drawn evenly: it walks the list in steps of a random length that shares no
/// divisor with the list's.
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
