//! The log on standard error.
//!
//! Entries go through a bounded queue to a thread that writes them, so that nothing that serves waits for the log's reader.
//! Entries that find the queue full are dropped, and their number is logged once entries flow again. An entry that cannot
//! be written, for example because the reader has exited, is dropped as well.

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

/// Entries that wait to be written: some minutes of the usual level, a megabyte at most.
const QUEUE_CAPACITY: usize = 4096;
/// How long the exit waits for queued entries: SIGKILL may follow the last answer closely.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Pause of the writing thread while the reader accepts nothing.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// How long the exit waits for the reason of a failure to be written.
const PRINT_ERROR_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts of entries, to know when all are written.
#[derive(Clone, Default)]
struct Counts {
    queued: Arc<AtomicUsize>,
    written: Arc<AtomicUsize>,
}

/// The running log.
pub struct Log {
    counts: Counts,
    dropped: ErrorCounter,
    /// Never dropped: its drop may print to standard output, and would wait for the reader of that.
    _worker: std::mem::ManuallyDrop<WorkerGuard>,
}

impl Log {
    /// Starts the log at the level that `GARNETWALL_LOG` names, `info` without it.
    ///
    /// # Errors
    ///
    /// The system has no descriptor left for it.
    pub fn start() -> io::Result<Log> {
        let filter =
            EnvFilter::try_from_env("GARNETWALL_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
        let counts = Counts::default();
        let dropped = Arc::new(OnceLock::new());
        // A descriptor of its own: the standard library's lock would be held for as long as the reader stalls.
        let stderr = File::from(io::stderr().as_fd().try_clone_to_owned()?);
        let output = Output {
            stderr,
            written: counts.written.clone(),
            dropped: dropped.clone(),
            dropped_reported: 0,
        };
        let builder = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUE_CAPACITY);
        let (queue, worker) = builder.thread_name("log").finish(output);
        let counter = queue.error_counter();
        // It is set here only.
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
        // The default hook writes to standard error itself, and would wait for its reader.
        std::panic::set_hook(Box::new(|panic| tracing::error!(%panic, "panic")));
        Ok(Log {
            counts,
            dropped: counter,
            _worker: std::mem::ManuallyDrop::new(worker),
        })
    }

    /// Waits until all entries are written, for 50 ms at most.
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

/// Puts entries into the queue, and counts them.
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

/// Writes entries to standard error, in the thread that may wait for the reader.
struct Output {
    stderr: File,
    written: Arc<AtomicUsize>,
    dropped: Arc<OnceLock<ErrorCounter>>,
    /// Dropped entries that were reported in the log.
    dropped_reported: usize,
}

impl Output {
    /// Writes an entry; one that cannot be written is dropped.
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

    /// Writes how many entries were dropped since the last such report, if any were.
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

impl Write for Output {
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

/// Writes the reason why the program ends to standard error; waits for 500 ms at most.
pub fn print_error(error: &impl Display) {
    let text = format!("garnetwall: {error}\n");
    let (done, written) = mpsc::channel();
    thread::spawn(move || {
        // The reader may have exited.
        let _ = io::stderr().write_all(text.as_bytes());
        let _ = done.send(());
    });
    let _ = written.recv_timeout(PRINT_ERROR_TIMEOUT);
}
