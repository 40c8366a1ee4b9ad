//! Measures the processor time and the memory growth of pieces of work.

use crate::process;
use std::hint::black_box;
use std::io;
use std::time::Duration;

/// Time for which short work is repeated, since reading the clock takes a fraction of a microsecond.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(20);
/// Maximum number of repeats.
const MAX_REPEATS: u64 = 100_000;

/// Returns the processor time of `work`, in microseconds, and its result.
pub fn timed<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let before = process::processor_time();
    let result = work();
    (microseconds(process::processor_time() - before), result)
}

/// Repeats `work` and returns its mean processor time, in microseconds. The argument of `work` is the number of earlier
/// repeats.
pub fn timed_repeatedly<T>(mut work: impl FnMut(u64) -> T) -> f64 {
    let before = process::processor_time();
    let mut repeats = 0;
    loop {
        drop(black_box(work(repeats)));
        repeats += 1;
        let spent = process::processor_time() - before;
        if spent >= MIN_MEASURED_TIME || repeats >= MAX_REPEATS {
            return microseconds(spent) / repeats as f64;
        }
    }
}

/// Returns the mean processor time of `work` per item, in microseconds, without the time to create the items.
pub fn timed_each<I, T>(items: Vec<I>, mut work: impl FnMut(I) -> T) -> f64 {
    let count = items.len().max(1) as f64;
    let (spent, ()) = timed(|| {
        items
            .into_iter()
            .for_each(|item| drop(black_box(work(item))))
    });
    spent / count
}

/// Returns the growth of resident memory during `work`, in bytes, and the result of `work`.
///
/// # Errors
///
/// The system does not report the resident memory.
pub fn memory_growth<T>(work: impl FnOnce() -> T) -> io::Result<(f64, T)> {
    let before = process::resident_bytes()?;
    let result = work();
    let after = process::resident_bytes()?;
    Ok((after.saturating_sub(before) as f64, result))
}

fn microseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
