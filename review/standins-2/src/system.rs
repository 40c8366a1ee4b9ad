//! The few calls of the system that the standard library does not have.

use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;

mod libc {
    extern "C" {
        pub fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        pub fn kill(pid: i32, signal: i32) -> i32;
        pub fn prctl(option: i32, value: u64) -> i32;
    }
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// Makes the close of a connection send a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1_i32, 0];
    // SAFETY: `linger` is a `struct linger` of two ints, which outlives the call.
    unsafe {
        libc::setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr(),
            8,
        )
    };
}

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: plain system call with two numbers.
    unsafe { libc::kill(pid as i32, signal) };
}

/// Lets the system kill the process of a command if this program ends without ending it.
pub fn end_with_parent(command: &mut Command) {
    let ask = || {
        // SAFETY: plain system call with two numbers.
        unsafe { libc::prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
        Ok(())
    };
    // SAFETY: the closure makes one system call and touches no memory of this process.
    unsafe { command.pre_exec(ask) };
}
