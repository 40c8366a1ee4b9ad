//! The signals that a gateway heeds, from the first moment on: one that comes during the start is not lost, and ends no process
//! that is still starting.
//!
//! A handler sets a flag, which can't fail, and writes to a pipe that wakes the gateway. The flags are looked at now and then
//! as well, so that a wake that got lost delays a signal and no more.

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

/// The flags are looked at this often where nothing wakes the gateway: inside what the end keeps clear of the earliest kill.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// SIGTERM, SIGINT and SIGHUP, heeded.
pub struct Signals {
    stop: Arc<AtomicBool>,
    hangup: Arc<AtomicBool>,
    /// What the handlers write to; none where the system had no descriptors for it.
    wake: Option<Pipe>,
}

/// Signals as they are heard.
pub struct Heard {
    /// Whether the gateway was asked to end.
    pub stop: watch::Receiver<bool>,
    /// Told of SIGHUP; several before one is heard count as one.
    pub hangup: Arc<Notify>,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Where the system refuses a handler, which it does for no signal of these.
    pub fn install() -> io::Result<Signals> {
        let (stop, hangup) = <(Arc<AtomicBool>, Arc<AtomicBool>)>::default();
        flag::register(SIGHUP, hangup.clone())?;
        flag::register(SIGTERM, stop.clone())?;
        flag::register(SIGINT, stop.clone())?;
        let wake = wake_pipe().ok();
        Ok(Signals { stop, hangup, wake })
    }

    /// Hears signals in a task of its own, for as long as the runtime runs that this is called in.
    pub fn heed(self) -> Heard {
        let (stop, stopped) = watch::channel(false);
        let hangup = Arc::new(Notify::new());
        let heard = Heard {
            stop: stopped,
            hangup: hangup.clone(),
        };
        tokio::spawn(async move {
            let wake = self.wake.and_then(|pipe| UnixStream::from_std(pipe).ok());
            loop {
                if self.stop.swap(false, Ordering::AcqRel) {
                    stop.send_replace(true);
                }
                if self.hangup.swap(false, Ordering::AcqRel) {
                    hangup.notify_one();
                }
                tokio::select! {
                    () = woken(wake.as_ref()) => {}
                    () = sleep(LOOK_EVERY) => {}
                }
            }
        });
        heard
    }
}

/// A pipe to which each handler writes.
fn wake_pipe() -> io::Result<Pipe> {
    let (read, write) = Pipe::pair()?;
    read.set_nonblocking(true)?;
    for signal in [SIGHUP, SIGTERM, SIGINT] {
        pipe::register(signal, OwnedFd::from(write.try_clone()?))?;
    }
    Ok(read)
}

/// Until a handler has written, and reads that away.
async fn woken(pipe: Option<&UnixStream>) {
    let Some(pipe) = pipe else {
        return std::future::pending().await;
    };
    let mut bytes = [0; 64];
    if pipe.readable().await.is_ok() {
        // What is not read wakes again at once.
        let _ = uninterrupted(|| pipe.try_read(&mut bytes));
    }
}
