//! Random samples of long lists.

use crate::api::EngineId;
use crate::state::Chance;

/// So many different engines of a list, drawn evenly: steps of a random length that shares no divisor with the list's.
pub(super) fn sample(chance: &mut Chance, list: &[EngineId], many: usize) -> Vec<EngineId> {
    let length = list.len();
    let mut draw = || (chance.draw() * length as f64) as usize % length;
    let (mut at, mut step) = (draw(), draw().max(1));
    while gcd(step, length) != 1 {
        step = step % length + 1;
    }
    let mut drawn = Vec::with_capacity(many);
    for _ in 0..many {
        drawn.push(list[at]);
        at = (at + step) % length;
    }
    drawn
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        gcd(b, a % b)
    }
}
