//! Writes the log to standard error without blocking the threads that log.
//!
//! Entries pass through a bounded queue to a writer thread, so that serving does not wait for the reader of the log.
//! Entries that do not fit in the queue are dropped, and their number is logged after the next entry that is written.
//! An entry that cannot be written, for example because the reader has exited, is dropped as well.

use crate::metrics::count_panic;
use crate::supervision::catch_panic_of_call;
use nix::errno::Errno;
use std::fmt::Display;
use std::fs::File;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of entries that wait to be written: some minutes of entries at the usual level, at most a megabyte.
const QUEUE_CAPACITY: usize = 4096;
/// Maximum time for which the exit waits for queued entries. It is short because SIGKILL may follow closely on the last
/// answer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Pause of the writer thread before it retries a write that would block.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Maximum time for which a failing program waits for its error message to be written.
const PRINT_ERROR_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts of queued and written entries, which tell when all entries are written.
#[derive(Clone, Default)]
struct EntryCounts {
    queued: Arc<AtomicUsize>,
    written: Arc<AtomicUsize>,
}

/// The handle of the running log.
pub struct Log {
    counts: EntryCounts,
    dropped: ErrorCounter,
    /// Never dropped, because its drop may print to standard output and block on the reader there.
    _worker: std::mem::ManuallyDrop<WorkerGuard>,
}

impl Log {
    /// Starts the log, and routes panics to it. The filter is taken from `GARNETWALL_LOG`, or is `info` if the variable
    /// is unset or invalid.
    ///
    /// # Errors
    ///
    /// The descriptor of standard error cannot be duplicated, or the system has no thread for the log.
    pub fn start() -> io::Result<Log> {
        let filter =
            EnvFilter::try_from_env("GARNETWALL_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
        let counts = EntryCounts::default();
        let dropped = Arc::new(OnceLock::new());
        // Writes use a duplicated descriptor, since the standard library's lock on standard error would be held while
        // the reader stalls.
        let stderr = File::from(io::stderr().as_fd().try_clone_to_owned()?);
        let log_writer = LogWriter {
            stderr,
            written: counts.written.clone(),
            dropped: dropped.clone(),
            dropped_reported: 0,
        };
        let builder = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUE_CAPACITY);
        let (queue, worker) = start_worker(builder.thread_name("log"), log_writer)?;
        let counter = queue.error_counter();
        // The cell is set only here, so this cannot fail.
        let _ = dropped.set(counter.clone());
        let queued = counts.queued.clone();
        let writer = move || CountingQueue {
            queue: queue.clone(),
            queued: queued.clone(),
        };
        tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(writer)
            .with_ansi(false)
            .log_internal_errors(false)
            .init();
        route_panics_to_log();
        Ok(Log {
            counts,
            dropped: counter,
            _worker: std::mem::ManuallyDrop::new(worker),
        })
    }

    /// Waits until all entries are written, but at most 50 ms.
    pub fn flush(&self) {
        let started = Instant::now();
        while !self.is_flushed() && started.elapsed() < FLUSH_TIMEOUT {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }

    fn is_flushed(&self) -> bool {
        let written = self.counts.written.load(Ordering::Acquire);
        written + self.dropped.dropped_lines() >= self.counts.queued.load(Ordering::Acquire)
    }
}

/// Replaces the default panic hook, which would write to standard error directly and block on its reader.
fn route_panics_to_log() {
    std::panic::set_hook(Box::new(|panic| {
        count_panic();
        let thread = thread::current();
        tracing::error!(thread = thread.name(), %panic, "thread panicked");
    }));
}

/// Starts the thread that writes the log.
///
/// # Errors
///
/// The system has no thread.
fn start_worker(
    builder: NonBlockingBuilder,
    writer: LogWriter,
) -> io::Result<(NonBlocking, WorkerGuard)> {
    // The builder panics if the system has no thread, so this is asked for first.
    thread::Builder::new().spawn(|| ())?;
    let started = catch_panic_of_call(|| builder.finish(writer));
    started.map_err(|_| Errno::EAGAIN.into())
}

/// Puts entries into the queue and counts them.
struct CountingQueue {
    queue: NonBlocking,
    queued: Arc<AtomicUsize>,
}

impl Write for CountingQueue {
    fn write(&mut self, entry: &[u8]) -> io::Result<usize> {
        self.queued.fetch_add(1, Ordering::AcqRel);
        self.queue.write(entry)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes entries to standard error. It runs in the writer thread, the only one that may block on the reader of the
/// log.
struct LogWriter {
    stderr: File,
    written: Arc<AtomicUsize>,
    dropped: Arc<OnceLock<ErrorCounter>>,
    /// Number of dropped entries that the log has reported so far.
    dropped_reported: usize,
}

impl LogWriter {
    /// Writes an entry completely, or drops the rest of it if the write fails.
    fn write_entry(&mut self, entry: &[u8]) {
        let mut unwritten = entry;
        while !unwritten.is_empty() {
            match self.stderr.write(unwritten) {
                Ok(0) => return,
                Ok(written) => unwritten = &unwritten[written..],
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    thread::sleep(WRITE_RETRY_PAUSE)
                }
                Err(_) => return,
            }
        }
    }

    /// Logs the number of entries dropped since the last report, if there are any.
    fn report_dropped(&mut self) {
        let dropped = self.dropped.get().map_or(0, ErrorCounter::dropped_lines);
        if dropped <= self.dropped_reported {
            return;
        }
        let newly_dropped = dropped - self.dropped_reported;
        self.dropped_reported = dropped;
        let entry = format!(
            "WARN garnetwall_gateway::system::log: log entries dropped dropped={newly_dropped}\n"
        );
        self.write_entry(entry.as_bytes());
    }
}

impl Write for LogWriter {
    fn write(&mut self, entry: &[u8]) -> io::Result<usize> {
        self.write_entry(entry);
        self.report_dropped();
        self.written.fetch_add(1, Ordering::AcqRel);
        Ok(entry.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Prints the error that ends the program to standard error; returns after at most 500 ms even if the reader stalls.
pub fn print_error(error: &impl Display) {
    let text = format!("garnetwall: {error}\n");
    let (done, written) = mpsc::channel();
    let print = move || {
        // This fails if the reader has exited; the message is lost then.
        let _ = io::stderr().write_all(text.as_bytes());
        let _ = done.send(());
    };
    // Without a thread the message is lost, since a reader that stalls must not hold up the exit.
    let _ = thread::Builder::new().spawn(print);
    let _ = written.recv_timeout(PRINT_ERROR_TIMEOUT);
}
