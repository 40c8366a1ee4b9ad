//! Classifies error codes of the operating system as local to this machine or not and as transient or not, and retries
//! calls that fail with transient errors.
//!
//! The classes follow Linux's manual pages of accept(2), bind(2), connect(2), epoll_ctl(2), recv(2), send(2) and socket(2).

use nix::errno::Errno;
use std::io;
use std::time::{Duration, Instant};

/// Pause before a call that failed with a transient error is retried.
pub const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a step of the start is retried. A gateway that is not ready within 30 s counts as failed, and the
/// other steps of the start take part of that time.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

fn code(error: &io::Error) -> Option<Errno> {
    error.raw_os_error().map(Errno::from_raw)
}

/// Whether the cause of the error is on this machine, so that the error does not indicate a fault of the peer.
pub fn is_local(error: &io::Error) -> bool {
    match code(error) {
        // connect(2): no ephemeral port or no entry in the routing cache is free. epoll_ctl(2): too many watches.
        Some(Errno::EAGAIN | Errno::ENOSPC) => true,
        Some(code) => {
            is_resource_exhaustion(code) || is_network_unreachable(code) || code == Errno::EINTR
        }
        None => false,
    }
}

/// Whether the error is transient, so that the same call may succeed soon.
pub fn is_transient(error: &io::Error) -> bool {
    is_local(error)
        || matches!(
            code(error),
            Some(
                Errno::EADDRINUSE
                    | Errno::ECONNABORTED
                    | Errno::EIO
                    | Errno::ENOSPC
                    | Errno::EDQUOT
            )
        )
}

/// Whether a read or write of a connection failed for a reason that passes and has nothing to do with the connection.
pub fn says_nothing_of_connection(error: &io::Error) -> bool {
    code(error).is_some_and(|code| is_resource_exhaustion(code) || code == Errno::EINTR)
}

/// Whether an accept failed for lack of resources or without an error code. The next accept would fail at once too, so
/// the caller pauses before it.
pub fn needs_accept_pause(error: &io::Error) -> bool {
    code(error).is_none_or(is_resource_exhaustion)
}

fn is_resource_exhaustion(code: Errno) -> bool {
    matches!(
        code,
        Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM
    )
}

fn is_network_unreachable(code: Errno) -> bool {
    matches!(
        code,
        Errno::EADDRNOTAVAIL | Errno::ENETDOWN | Errno::ENETUNREACH
    )
}

/// Retries a call until it succeeds, fails with an error that is not transient, or has failed for [`START_TIMEOUT`].
/// Blocks the thread.
///
/// # Errors
///
/// The error of the last call.
pub fn retry_blocking<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && started.elapsed() < START_TIMEOUT => {
                std::thread::sleep(RETRY_PAUSE)
            }
            result => return result,
        }
    }
}

/// Like [`retry_blocking`], but does not block the thread, and logs the first failure. `step` names the step in the log.
///
/// # Errors
///
/// The error of the last call.
pub async fn retry<T>(step: &str, mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    let mut is_logged = false;
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && started.elapsed() < START_TIMEOUT => {
                if !is_logged {
                    tracing::warn!(%error, step, "step failed, retrying");
                    is_logged = true;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}
