//! Ends a connection whose peer has stopped reading.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Sleep};

/// How long a write may wait for its peer to read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout of a connection's write; it runs while a write is pending.
#[derive(Debug, Default)]
pub struct WriteTimeout(Option<Pin<Box<Sleep>>>);

impl WriteTimeout {
    /// Passes on the result of polling a write; a write that stays pending too long fails with
    /// [`io::ErrorKind::TimedOut`].
    pub fn bounded(
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
