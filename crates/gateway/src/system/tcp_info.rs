//! Asks the system when the newest bytes of a TCP connection arrived, whether or not they were read.
//!
//! The system counts in ticks of a monotonic clock, 10 ms long at most. Steps of the wall clock have no effect.

use crate::supervision::catch_panic_of_call;
use nix::errno::Errno;
use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, libc, sockopt_impl};
use std::mem::{offset_of, size_of};
use std::os::fd::AsFd;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Position of `tcpi_last_data_recv` among the 32-bit words of `tcp_info`.
const LAST_DATA_RECEIVED: usize =
    offset_of!(libc::tcp_info, tcpi_last_data_recv) / size_of::<u32>();

/// The first words of `tcp_info`, up to the last one that is used here. The system shortens the struct to the length
/// asked for; how long it is in full depends on the system's version.
type TcpInfoStart = [u32; LAST_DATA_RECEIVED + 1];

sockopt_impl!(
    /// The start of the state of a TCP connection, as described in tcp(7).
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfoStart
);

/// Time after an answer shorter than [`TcpInfoStart`] until the system is asked again.
const RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Earliest time of the next call after a short answer; `None` while answers are whole.
static RETRY_AT: Mutex<Option<Instant>> = Mutex::new(None);

/// The reason for which the system does not tell a time of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ArrivalTimeError {
    /// The call failed.
    #[error("cannot read TCP_INFO: {0}")]
    System(#[from] Errno),
    /// The system's `tcp_info` ends before the time of the last arrival, or its length is wrong.
    #[error("the system's TCP_INFO does not have the time of the last arrival")]
    TooShort,
}

/// Returns how long ago the newest bytes of a connection arrived, without the end of the peer's side.
///
/// # Errors
///
/// The system does not tell. After [`ArrivalTimeError::TooShort`], it is asked again in 10 s.
pub fn time_since_last_arrival(connection: &impl AsFd) -> Result<Duration, ArrivalTimeError> {
    let mut retry_at = RETRY_AT.lock().unwrap_or_else(PoisonError::into_inner);
    if retry_at.is_some_and(|at| Instant::now() < at) {
        return Err(ArrivalTimeError::TooShort);
    }
    // The getter asserts that the system has filled in the whole value.
    let Ok(info) = catch_panic_of_call(|| getsockopt(connection, TcpInfo)) else {
        *retry_at = Some(Instant::now() + RETRY_INTERVAL);
        let error = ArrivalTimeError::TooShort;
        tracing::warn!(%error, "times of arrival unknown; queries of an ordering key that may have overtaken one another are rejected");
        return Err(error);
    };
    *retry_at = None;
    Ok(Duration::from_millis(info?[LAST_DATA_RECEIVED].into()))
}

#[cfg(test)]
mod tests;
