//! The signals that a gateway handles: SIGTERM and SIGINT stop it, SIGHUP reloads its configuration.
//!
//! Handlers are installed first of all, so that a signal during the start is neither lost nor ends the process. A handler
//! sets a flag, which cannot fail, and writes to a pipe that wakes the gateway. The flags are polled as well, so that a lost
//! wake-up only delays a signal.

use crate::system::socket::uninterrupted;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream as Pipe;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::{watch, Notify};
use tokio::time::sleep;

/// How often the flags are polled. Less than the time that a stop keeps clear of the earliest SIGKILL.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The installed handlers of SIGTERM, SIGINT and SIGHUP.
pub struct Signals {
    stop: Arc<AtomicBool>,
    hangup: Arc<AtomicBool>,
    /// The end of the pipe that handlers write to; none where the system had no descriptors for it.
    wake_pipe: Option<Pipe>,
}

/// Signals as they arrive.
pub struct SignalEvents {
    /// Becomes true with the first SIGTERM or SIGINT.
    pub stop: watch::Receiver<bool>,
    /// Notified of SIGHUP; several before one is handled count as one.
    pub hangup: Arc<Notify>,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// The system refuses a handler, which it does for none of these signals.
    pub fn install() -> io::Result<Signals> {
        let stop = Arc::new(AtomicBool::new(false));
        let hangup = Arc::new(AtomicBool::new(false));
        flag::register(SIGHUP, hangup.clone())?;
        flag::register(SIGTERM, stop.clone())?;
        flag::register(SIGINT, stop.clone())?;
        Ok(Signals {
            stop,
            hangup,
            wake_pipe: open_wake_pipe().ok(),
        })
    }

    /// Listens for signals in a task of the current runtime, for as long as that runs.
    pub fn listen(self) -> SignalEvents {
        let (stop, stopped) = watch::channel(false);
        let hangup = Arc::new(Notify::new());
        let events = SignalEvents {
            stop: stopped,
            hangup: hangup.clone(),
        };
        tokio::spawn(async move {
            let wake_pipe = self
                .wake_pipe
                .and_then(|pipe| UnixStream::from_std(pipe).ok());
            loop {
                if self.stop.swap(false, Ordering::AcqRel) {
                    stop.send_replace(true);
                }
                if self.hangup.swap(false, Ordering::AcqRel) {
                    hangup.notify_one();
                }
                tokio::select! {
                    () = wait_for_wake(wake_pipe.as_ref()) => {}
                    () = sleep(FLAG_POLL_INTERVAL) => {}
                }
            }
        });
        events
    }
}

/// Opens a pipe that each handler writes to; the end that is read.
fn open_wake_pipe() -> io::Result<Pipe> {
    let (read, write) = Pipe::pair()?;
    read.set_nonblocking(true)?;
    for signal in [SIGHUP, SIGTERM, SIGINT] {
        pipe::register(signal, OwnedFd::from(write.try_clone()?))?;
    }
    Ok(read)
}

/// Waits until a handler has written, and empties the pipe.
async fn wait_for_wake(pipe: Option<&UnixStream>) {
    let Some(pipe) = pipe else {
        return std::future::pending().await;
    };
    let mut bytes = [0; 64];
    if pipe.readable().await.is_ok() {
        // Bytes that stay in the pipe wake again at once.
        let _ = uninterrupted(|| pipe.try_read(&mut bytes));
    }
}
