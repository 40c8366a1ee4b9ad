//! The signals that a gateway heeds. They are heeded from the first moment on: what comes during the start is not lost, and
//! ends no process that is still starting.

use crate::system_fault::retry_blocking;
use std::io;
use std::os::unix::net::UnixStream;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// SIGTERM, SIGINT and SIGHUP.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    pub hangup: Hangup,
}

/// SIGHUP: several that come before one is heard count as one.
pub struct Hangup(Signal);

impl Hangup {
    /// Until the next one.
    pub async fn recv(&mut self) -> Option<()> {
        self.0.recv().await
    }
}

impl Signals {
    /// The runtime, and the signals that wake it.
    ///
    /// # Errors
    ///
    /// Where the system refuses descriptors for longer than a start may take.
    pub fn install() -> io::Result<(Runtime, Signals)> {
        let runtime = retry_blocking(|| {
            // The runtime makes such a pair for its signals and panics where it can't.
            UnixStream::pair()?;
            Builder::new_current_thread().enable_all().build()
        })?;
        let entered = runtime.enter();
        let signals = Signals {
            terminate: retry_blocking(|| signal(SignalKind::terminate()))?,
            interrupt: retry_blocking(|| signal(SignalKind::interrupt()))?,
            hangup: Hangup(retry_blocking(|| signal(SignalKind::hangup()))?),
        };
        drop(entered);
        Ok((runtime, signals))
    }

    /// What asks the gateway to end, and what asks it to read its files again.
    pub fn split(self) -> (impl std::future::Future<Output = ()> + Unpin, Hangup) {
        let Signals { mut terminate, mut interrupt, hangup } = self;
        let stop = Box::pin(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
        (stop, hangup)
    }
}
