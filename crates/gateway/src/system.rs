//! Wraps operating system facilities: clocks, signals, sockets, resource budgets, the log and error codes.

pub mod boot_clock;
pub mod budgeted_stream;
pub mod clock;
pub mod listener;
pub mod log;
pub mod os_error;
pub mod resource_budget;
pub mod result_memory;
pub mod send_gate;
pub mod signals;
pub mod socket;
pub mod stall_detector;
pub mod tcp_info;
pub mod thread;
pub mod watched_socket;
pub mod write_timeout;
