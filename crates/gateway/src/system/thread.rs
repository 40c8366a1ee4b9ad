//! Starts threads. The system may refuse one for a moment, so that a call which needs a thread has to be able to fail.

use crate::supervision::catch_panic_of_call;
use nix::errno::Errno;
use std::io;
use std::thread::Builder;
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;

/// Runs a call in a new thread. The receiver gets the result, or an error if the call panics.
///
/// # Errors
///
/// The system has no thread; the call was not made.
pub fn run_in_thread<T: Send + 'static>(
    name: &str,
    call: impl FnOnce() -> T + Send + 'static,
) -> io::Result<oneshot::Receiver<T>> {
    let (sender, result) = oneshot::channel();
    Builder::new().name(name.to_owned()).spawn(move || {
        // The caller may have stopped waiting.
        let _ = sender.send(call());
    })?;
    Ok(result)
}

/// Starts a thread of the runtime's pool for blocking calls. Calls of `spawn_blocking` panic while the pool has no
/// thread and the system refuses one. The program keeps the thread for the whole run
/// ([`POOL_THREAD_KEEP_ALIVE`](crate::cli)).
///
/// # Errors
///
/// The system has no thread.
pub fn start_pool_thread() -> io::Result<()> {
    match catch_panic_of_call(|| spawn_blocking(|| ())) {
        Ok(_) => Ok(()),
        Err(_) => Err(Errno::EAGAIN.into()),
    }
}
