//! Ends a connection whose write has waited too long.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Sleep};

/// A write that nothing is read of for this long ends the connection: far above any client's patience with
/// its own network.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection's write has waited; it lets none wait for ever.
#[derive(Debug, Default)]
pub struct WriteTimeout(Option<Pin<Box<Sleep>>>);

impl WriteTimeout {
    /// The end of a write as it is, or that of one that has waited too long.
    pub fn bounded(
        &mut self,
        cx: &mut Context,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.0 = None;
            return result;
        }
        let deadline = self.0.get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        deadline
            .as_mut()
            .poll(cx)
            .map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}
