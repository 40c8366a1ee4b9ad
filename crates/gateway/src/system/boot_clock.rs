//! The machine's clock since it was booted, and the identity of that boot.
//!
//! The clock is monotonic and never set, so times that two processes of one boot have written can be compared. Those of
//! the wall clock cannot: it may be stepped between them.

use nix::time::{clock_gettime, ClockId};
use std::time::Instant;

/// Linux: a UUID that is new at each boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// Hex digits of the UUID that are used: as many as a `u64` holds.
const BOOT_ID_DIGITS: usize = 16;

/// The clock of a boot of the machine.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    /// Identifies the boot; 0 where it is unknown, and times cannot be compared.
    pub boot_id: u64,
    started: Instant,
}

impl BootClock {
    /// The clock of the current boot.
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

    /// Milliseconds since the boot; since this clock was started, where the system does not say.
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
