//! What the gateway takes from its machine: clocks, signals, sockets, the log and error codes of the system.

pub mod boot_clock;
pub mod clock;
pub mod log;
pub mod os_error;
pub mod signals;
pub mod socket;
pub mod stall_detector;
pub mod stream_budget;
