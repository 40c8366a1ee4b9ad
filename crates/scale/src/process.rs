//! Processor time and resident memory of this process.

use rustix::time::{clock_gettime, ClockId};
use std::io;
use std::time::Duration;

/// Index of the field of `/proc/self/statm` that holds the number of resident pages.
const RESIDENT_FIELD: usize = 1;

/// Returns the processor time of all threads of this process since its start. Other load on the machine hardly
/// affects it, unlike wall-clock time.
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}

/// Returns the resident memory of this process in bytes.
///
/// # Errors
///
/// Returns an error if `/proc/self/statm` cannot be read or parsed.
pub fn resident_bytes() -> io::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(RESIDENT_FIELD)
        .and_then(|word| word.parse::<u64>().ok());
    let pages =
        pages.ok_or_else(|| io::Error::other("/proc/self/statm: no number of resident pages"))?;
    Ok(pages * rustix::param::page_size() as u64)
}
