//! Runs of a test by seeds, several at a time.

use std::ops::Range;
use std::panic::catch_unwind;
use std::sync::{Arc, Mutex};
use std::thread::spawn;

/// Pseudo-random numbers from a seed, by splitmix64.
#[derive(Clone)]
pub struct Random(pub u64);

impl Random {
    /// Returns a number from 0 to `n - 1`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }

    /// Returns one of `choices`.
    pub fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }
}

/// Runs the seeds that `GATEWAY_TEST_SEEDS` names, or else the default ones, each a range such as `1..60`, `concurrent` at
/// a time. Panics with the failed seeds once all have run.
pub fn run_seeds(default: &str, concurrent: usize, run: fn(u64)) {
    let named = std::env::var("GATEWAY_TEST_SEEDS").unwrap_or(default.into());
    let next = Arc::new(Mutex::new(range(&named)));
    let failed: Arc<Mutex<Vec<u64>>> = Arc::default();
    let workers: Vec<_> = (0..concurrent)
        .map(|_| {
            let (next, failed) = (next.clone(), failed.clone());
            spawn(move || loop {
                let Some(seed) = next.lock().unwrap().next() else {
                    return;
                };
                if catch_unwind(|| run(seed)).is_err() {
                    failed.lock().unwrap().push(seed);
                }
            })
        })
        .collect();
    workers
        .into_iter()
        .for_each(|worker| worker.join().unwrap());
    let failed = failed.lock().unwrap();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

fn range(text: &str) -> Range<u64> {
    let (from, to) = text
        .split_once("..")
        .expect("GATEWAY_TEST_SEEDS should be a range such as 1..60");
    from.parse().unwrap()..to.parse().unwrap()
}
