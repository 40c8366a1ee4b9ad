//! Classifies error codes of the operating system: whether the cause is local to this machine, and whether it is transient.
//!
//! After Linux's manual pages of accept(2), bind(2), connect(2) and socket(2).

use nix::errno::Errno;
use std::io;
use std::time::{Duration, Instant};

/// Pause between attempts at a call that failed with a transient error.
pub const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long a step of the start is retried: a gateway that is not ready within 30 s has failed, and the rest of the start
/// needs time as well.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

fn code(error: &io::Error) -> Option<Errno> {
    error.raw_os_error().map(Errno::from_raw)
}

/// Whether the cause is on this machine; such an error says nothing of the other end.
pub fn is_local(error: &io::Error) -> bool {
    match code(error) {
        // The table of ports or routes is full.
        Some(Errno::EAGAIN) => true,
        Some(code) => {
            is_short_of_resources(code) || is_network_unreachable(code) || code == Errno::EINTR
        }
        None => false,
    }
}

/// Whether the error is transient: the same call may succeed soon.
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

/// Whether an accept failed for lack of resources, so that the next one would fail at once as well.
pub fn needs_pause(error: &io::Error) -> bool {
    code(error).is_none_or(is_short_of_resources)
}

fn is_short_of_resources(code: Errno) -> bool {
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

/// Retries a call until it succeeds, fails with a lasting error, or has failed for [`START_TIMEOUT`]. Blocks the thread.
///
/// # Errors
///
/// The error of the last attempt.
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

/// The same as [`retry_blocking`] without blocking the thread; `step` names in the log what is retried.
///
/// # Errors
///
/// The error of the last attempt.
pub async fn retry<T>(step: &str, mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    let mut is_logged = false;
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && started.elapsed() < START_TIMEOUT => {
                if !is_logged {
                    tracing::warn!(%error, step, "start step failed, retrying");
                    is_logged = true;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}
