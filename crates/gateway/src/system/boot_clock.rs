//! This run of the machine, from its start to its end: its identity, and a clock that goes evenly through it and is never set.
//! What two processes of one run wrote can be compared by it; the wall clock may be stepped between them.

use nix::time::{clock_gettime, ClockId};
use std::time::Instant;

/// Where Linux tells which run of the machine this is, as a UUID.
const IDENTITY: &str = "/proc/sys/kernel/random/boot_id";
/// Digits of it that tell one run from another.
const DIGITS: usize = 16;

/// The clock of a run of the machine.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    /// 0 where the run is not known: nothing can be compared then.
    pub run: u64,
    began: Instant,
}

impl BootClock {
    pub fn start() -> BootClock {
        let run = if boot_millis().is_some() {
            identity().unwrap_or(0)
        } else {
            0
        };
        BootClock {
            run,
            began: Instant::now(),
        }
    }

    /// Milliseconds since the machine was started; since this process was, where that is not told.
    pub fn millis(&self) -> u64 {
        let own = || u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        boot_millis().unwrap_or_else(own)
    }
}

fn boot_millis() -> Option<u64> {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let seconds = u64::try_from(now.tv_sec()).ok()?;
    Some(seconds * 1000 + u64::try_from(now.tv_nsec()).ok()? / 1_000_000)
}

fn identity() -> Option<u64> {
    let text = std::fs::read_to_string(IDENTITY).ok()?;
    let digits: String = text
        .chars()
        .filter(char::is_ascii_hexdigit)
        .take(DIGITS)
        .collect();
    u64::from_str_radix(&digits, 16).ok()
}
