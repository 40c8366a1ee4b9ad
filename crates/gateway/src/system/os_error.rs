//! What an error code of the operating system says: whether the fault lies with this machine, whatever the other end does, and
//! whether it may pass by itself. From Linux's manual pages of accept(2), bind(2), connect(2), socket(2).

use nix::errno::Errno;
use std::io;
use std::time::{Duration, Instant};

/// Between two tries at what failed for a moment.
pub const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// A start is tried for this long at most: a gateway that is not ready in 30 s has failed, and the rest of the start needs time.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

fn code(fault: &io::Error) -> Option<Errno> {
    fault.raw_os_error().map(Errno::from_raw)
}

/// Whether this machine, not the one at the other end, is at fault: it says nothing of the other.
pub fn is_local(fault: &io::Error) -> bool {
    match code(fault) {
        // The table of ports or routes is full for now.
        Some(Errno::EAGAIN) => true,
        Some(code) => is_short_of_resources(code) || is_cut_off(code) || code == Errno::EINTR,
        None => false,
    }
}

/// Whether the same call may succeed soon with nothing done about it.
pub fn may_pass(fault: &io::Error) -> bool {
    is_local(fault)
        || matches!(
            code(fault),
            Some(
                Errno::EADDRINUSE
                    | Errno::ECONNABORTED
                    | Errno::EIO
                    | Errno::ENOSPC
                    | Errno::EDQUOT
            )
        )
}

/// Whether a failed accept leaves no room to accept: at once the next would fail as well.
pub fn needs_pause(fault: &io::Error) -> bool {
    code(fault).is_none_or(is_short_of_resources)
}

fn is_short_of_resources(code: Errno) -> bool {
    matches!(
        code,
        Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM
    )
}

fn is_cut_off(code: Errno) -> bool {
    matches!(
        code,
        Errno::EADDRNOTAVAIL | Errno::ENETDOWN | Errno::ENETUNREACH
    )
}

/// Tries something until it succeeds, fails for good, or has failed for [`START_TIMEOUT`].
///
/// # Errors
///
/// The last one.
pub fn retry_blocking<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match attempt() {
            Err(fault) if may_pass(&fault) && began.elapsed() < START_TIMEOUT => {
                std::thread::sleep(RETRY_PAUSE)
            }
            end => return end,
        }
    }
}

/// The same for as long as the caller waits for it, without holding a thread up.
///
/// # Errors
///
/// The last one.
pub async fn retry<T>(what: &str, mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    let mut told = false;
    loop {
        match attempt() {
            Err(fault) if may_pass(&fault) && began.elapsed() < START_TIMEOUT => {
                if !std::mem::replace(&mut told, true) {
                    tracing::warn!(%fault, what, "failed for now, and is tried again");
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            end => return end,
        }
    }
}
