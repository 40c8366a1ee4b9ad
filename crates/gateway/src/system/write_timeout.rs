//! Fails writes on a connection whose peer has stopped reading.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Sleep};

/// Maximum time for which a write may be pending because the peer does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The write timeout of one connection. The timer runs while a write is pending and restarts with the next pending
/// write.
#[derive(Debug, Default)]
pub struct WriteTimeout(Option<Pin<Box<Sleep>>>);

impl WriteTimeout {
    /// Returns the result of polling a write, or an error of the kind [`io::ErrorKind::TimedOut`] once the write has
    /// been pending for 10 s.
    pub fn apply(
        &mut self,
        cx: &mut Context,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.0 = None;
            return result;
        }
        let timeout = self.0.get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        timeout
            .as_mut()
            .poll(cx)
            .map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}
