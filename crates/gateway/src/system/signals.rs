//! Handles the gateway's signals: SIGTERM and SIGINT stop it, SIGHUP reloads its configuration.
//!
//! The handlers are installed before anything else, so that a signal during the start is not lost and does not kill the
//! process. A handler sets a flag, which cannot fail, and writes to a pipe that wakes the listening task. The flags are
//! also polled, so that a lost wake-up only delays a signal.

use crate::supervision::{Supervisor, Task};
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

/// Interval at which the flags are polled. It is less than the time between the exit of a stopped gateway and the
/// earliest SIGKILL, so that a delayed signal still leaves time to exit.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The installed handlers of SIGTERM, SIGINT and SIGHUP.
pub struct Signals {
    stop: Arc<AtomicBool>,
    hangup: Arc<AtomicBool>,
    /// The read end of the pipe that the handlers write to; `None` if the pipe could not be opened.
    wake_pipe: Option<Pipe>,
}

/// Delivers signals to the program as they arrive.
pub struct SignalEvents {
    /// Becomes `true` at the first SIGTERM or SIGINT and stays so.
    pub stop: watch::Receiver<bool>,
    /// Notified at each SIGHUP. Signals that arrive before an earlier one is handled are merged into one notification.
    pub hangup: Arc<Notify>,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// The system refuses a handler, which does not happen for these signals.
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

    /// Starts a task that turns the flags into events. The task runs until the current runtime ends.
    pub fn listen(self, supervisor: &Supervisor) -> SignalEvents {
        let (stop, stopped) = watch::channel(false);
        let hangup = Arc::new(Notify::new());
        let events = SignalEvents {
            stop: stopped,
            hangup: hangup.clone(),
        };
        let listener = SignalListener {
            signals: self,
            stop,
            hangup,
        };
        supervisor.spawn_restarting(Task::Signals, listener, |listener| Box::pin(listener.run()));
        events
    }
}

/// Turns the flags that the handlers set into events.
struct SignalListener {
    signals: Signals,
    stop: watch::Sender<bool>,
    hangup: Arc<Notify>,
}

impl SignalListener {
    /// Never returns.
    async fn run(&mut self) {
        let wake_pipe = self.signals.wake_pipe.take();
        let wake_pipe = wake_pipe.and_then(|pipe| UnixStream::from_std(pipe).ok());
        loop {
            if self.signals.stop.swap(false, Ordering::AcqRel) {
                self.stop.send_replace(true);
            }
            if self.signals.hangup.swap(false, Ordering::AcqRel) {
                self.hangup.notify_one();
            }
            tokio::select! {
                () = wait_for_wake(wake_pipe.as_ref()) => {}
                () = sleep(FLAG_POLL_INTERVAL) => {}
            }
        }
    }
}

/// Opens a pipe, registers its write end with each handler, and returns its read end.
fn open_wake_pipe() -> io::Result<Pipe> {
    let (read, write) = Pipe::pair()?;
    read.set_nonblocking(true)?;
    for signal in [SIGHUP, SIGTERM, SIGINT] {
        pipe::register(signal, OwnedFd::from(write.try_clone()?))?;
    }
    Ok(read)
}

/// Waits until a handler has written to the pipe, then drains the pipe. Without a pipe, waits forever.
async fn wait_for_wake(pipe: Option<&UnixStream>) {
    let Some(pipe) = pipe else {
        return std::future::pending().await;
    };
    let mut bytes = [0; 64];
    if pipe.readable().await.is_ok() {
        // Bytes that remain in the pipe cause another wake-up at once, which is harmless.
        let _ = uninterrupted(|| pipe.try_read(&mut bytes));
    }
}
