//! Stand-ins for the platform of one gateway: engines, the change log, clients, and the program itself as a process.
//! Each follows the protocol page; where the page is silent it acts as a sound server or client would.

pub mod change_log;
pub mod client;
pub mod engine;
pub mod gateway;
pub mod http;
pub mod record;

use std::time::Duration;

/// Milliseconds as a duration.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Whether the disruption of the case is played; `TROUBLE=0` leaves it out.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
