//! What the gateway uses of its machine: clocks, signals, sockets and their budget, the log, and error codes of the system.

pub mod boot_clock;
pub mod budgeted_stream;
pub mod clock;
pub mod log;
pub mod os_error;
pub mod resource_budget;
pub mod send_gate;
pub mod signals;
pub mod socket;
pub mod stall_detector;
pub mod write_timeout;
