//! Asks the system when the newest bytes of a TCP connection arrived, whether or not they were read.
//!
//! The system counts in ticks of a monotonic clock, 10 ms long at most. Steps of the wall clock have no effect.

use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, libc, sockopt_impl};
use std::os::fd::AsFd;
use std::time::Duration;

sockopt_impl!(
    /// The state of a TCP connection, as described in tcp(7).
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info
);

/// Returns how long ago the newest bytes of a connection arrived, without the end of the peer's side. Returns `None` if
/// the system does not tell.
pub fn time_since_last_arrival(connection: &impl AsFd) -> Option<Duration> {
    let info = getsockopt(connection, TcpInfo).ok()?;
    Some(Duration::from_millis(info.tcpi_last_data_recv.into()))
}

#[cfg(test)]
mod tests;
