//! Reads the machine's clock since boot and the identity of the boot.
//!
//! The clock is monotonic and never set, so that times written by two processes during the same boot can be compared.
//! Wall clock times cannot, because the wall clock may be stepped in between.

use nix::time::{clock_gettime, ClockId};
use std::time::Instant;

/// Linux: a file that holds a UUID, which is new at each boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// Number of hex digits of the UUID that make up the boot ID: as many as fit in a `u64`.
const BOOT_ID_DIGITS: usize = 16;

/// A clock of the time since the machine was booted. It tells times of different boots apart by the boot ID.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    /// Identifies the boot. 0 means unknown; times must not be compared with those of another process then.
    pub boot_id: u64,
    started: Instant,
}

impl BootClock {
    /// Creates the clock of the current boot.
    pub fn start() -> BootClock {
        let boot_id = match boot_millis() {
            Some(_) => read_boot_id().unwrap_or(0),
            None => 0,
        };
        BootClock {
            boot_id,
            started: Instant::now(),
        }
    }

    /// Milliseconds since the boot, or since the start of this clock if the system does not provide the boot time.
    pub fn millis(&self) -> u64 {
        boot_millis().unwrap_or_else(|| {
            let elapsed = self.started.elapsed();
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
    }
}

fn boot_millis() -> Option<u64> {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let seconds = u64::try_from(now.tv_sec()).ok()?;
    let nanoseconds = u64::try_from(now.tv_nsec()).ok()?;
    Some(seconds * 1000 + nanoseconds / 1_000_000)
}

fn read_boot_id() -> Option<u64> {
    let text = std::fs::read_to_string(BOOT_ID_FILE).ok()?;
    let digits: String = text
        .chars()
        .filter(char::is_ascii_hexdigit)
        .take(BOOT_ID_DIGITS)
        .collect();
    u64::from_str_radix(&digits, 16).ok()
}
