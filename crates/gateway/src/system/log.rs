//! The log on standard error. Lines go through a bounded queue to a thread that writes them, so that nothing that serves waits
//! for who reads them: lines that find the queue full are lost, and their number is logged once lines flow again. A reader that
//! has gone is no fault of the gateway: what can't be written is dropped.

use std::fs::File;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait to be written; some minutes of the usual level, a megabyte at most.
const QUEUED_LINES: usize = 4096;
/// At the end the lines that still wait have this long: a kill may follow the last answer closely.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);
const FLUSH_POLL: Duration = Duration::from_millis(2);
/// A reader that takes nothing now is tried again after this by the thread that writes.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// For a last word on a start that failed.
const ERROR_TIMEOUT: Duration = Duration::from_millis(500);

/// Lines handed over and lines written, to know when all are out.
#[derive(Clone, Default)]
struct Counts {
    queued: Arc<AtomicUsize>,
    written: Arc<AtomicUsize>,
}

/// The running log.
pub struct Log {
    counts: Counts,
    lost: ErrorCounter,
    /// Never dropped: its drop prints to standard output where the reader has stopped, and would wait for that.
    _worker: std::mem::ManuallyDrop<WorkerGuard>,
}

impl Log {
    /// Starts the log at the level that `GARNETWALL_LOG` names, `info` without it.
    ///
    /// # Errors
    ///
    /// Where the system has no descriptor left for it.
    pub fn start() -> io::Result<Log> {
        let filter =
            EnvFilter::try_from_env("GARNETWALL_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
        let counts = Counts::default();
        let lost = Arc::new(OnceLock::new());
        // A descriptor of its own: the lock of the standard library's would be held for as long as the reader has stopped.
        let stderr = File::from(io::stderr().as_fd().try_clone_to_owned()?);
        let output = Output {
            stderr,
            written: counts.written.clone(),
            lost: lost.clone(),
            told: 0,
        };
        let builder = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED_LINES);
        let (queue, worker) = builder.thread_name("log").finish(output);
        let counter = queue.error_counter();
        // It is set here only.
        let _ = lost.set(counter.clone());
        let queued = counts.queued.clone();
        let writer = move || Counted {
            queue: queue.clone(),
            queued: queued.clone(),
        };
        tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(writer)
            .with_ansi(false)
            .log_internal_errors(false)
            .init();
        // The usual hook writes to standard error itself, and would wait there.
        std::panic::set_hook(Box::new(|panic| tracing::error!(%panic, "panic")));
        Ok(Log {
            counts,
            lost: counter,
            _worker: std::mem::ManuallyDrop::new(worker),
        })
    }

    /// Waits until all lines are written, a bounded time only.
    pub fn flush(&self) {
        let began = Instant::now();
        while !self.is_flushed() && began.elapsed() < FLUSH_TIMEOUT {
            thread::sleep(FLUSH_POLL);
        }
    }

    fn is_flushed(&self) -> bool {
        let out = self.counts.written.load(Ordering::Acquire) + self.lost.dropped_lines();
        out >= self.counts.queued.load(Ordering::Acquire)
    }
}

/// Hands lines over, and counts them.
struct Counted {
    queue: NonBlocking,
    queued: Arc<AtomicUsize>,
}

impl Write for Counted {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.queued.fetch_add(1, Ordering::AcqRel);
        self.queue.write(line)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines, in the thread that may wait for their reader.
struct Output {
    stderr: File,
    written: Arc<AtomicUsize>,
    lost: Arc<OnceLock<ErrorCounter>>,
    /// Lost lines that were told.
    told: usize,
}

impl Output {
    /// Writes a line; one that can't be written is dropped.
    fn write_line(&mut self, line: &[u8]) {
        let mut rest = line;
        while !rest.is_empty() {
            match self.stderr.write(rest) {
                Ok(0) => return,
                Ok(n) => rest = &rest[n..],
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {
                    thread::sleep(WRITE_RETRY_PAUSE)
                }
                Err(_) => return,
            }
        }
    }

    /// Says how many lines were lost since that was last said.
    fn tell_lost(&mut self) {
        let lost = self.lost.get().map_or(0, ErrorCounter::dropped_lines);
        if lost > self.told {
            let line = format!(
                "WARN garnetwall_gateway::system::log: lines of the log were lost lost={}\n",
                lost - self.told
            );
            self.told = lost;
            self.write_line(line.as_bytes());
        }
    }
}

impl Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.write_line(line);
        self.tell_lost();
        self.written.fetch_add(1, Ordering::AcqRel);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the reason why the program ends to standard error. It waits for the reader a bounded time only.
pub fn print_error(what: &str) {
    let text = format!("garnetwall: {what}\n");
    let (done, written) = mpsc::channel();
    thread::spawn(move || {
        // Nobody may read it any more.
        let _ = io::stderr().write_all(text.as_bytes());
        let _ = done.send(());
    });
    let _ = written.recv_timeout(ERROR_TIMEOUT);
}
