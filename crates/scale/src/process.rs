//! What this process has used, by its own clock and its own pages.

use rustix::time::{clock_gettime, ClockId};
use std::io;
use std::time::Duration;

/// The field of `/proc/self/statm` that holds the resident pages.
const RESIDENT_FIELD: usize = 1;

/// Processor time of all threads of this process since its start. Other load of the machine hardly shows in it.
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}

/// Bytes of memory that are resident now.
///
/// # Errors
///
/// Where the system does not report it.
pub fn resident_bytes() -> io::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(RESIDENT_FIELD)
        .and_then(|word| word.parse::<u64>().ok());
    let pages =
        pages.ok_or_else(|| io::Error::other("/proc/self/statm: a number of pages expected"))?;
    Ok(pages * rustix::param::page_size() as u64)
}
