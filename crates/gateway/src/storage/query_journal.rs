//! The journal of non-idempotent queries: each is recorded on disk before its first attempt is sent, so that a later process
//! does not send it again. `garnetwall_ledger` decides what the records mean.

use crate::system::boot_clock::BootClock;
use crate::system::clock::{Clock, MILLIS_PER_SECOND};
use crate::system::os_error::is_transient;
pub use garnetwall_ledger::journal::RecoveredQuery;
use garnetwall_ledger::journal::{FileStorage, Journal, JournalError, StartedJournal};
use garnetwall_ledger::records::{Boot, StartedQuery, RUN_MARGIN};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A write that takes longer is logged.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// Whether a query may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    /// It is recorded, or needs no record.
    Granted,
    /// It could not be recorded: a later process would not know of it.
    Denied,
}

/// The journal of a gateway. The default one records nothing, for plans that name no journal.
#[derive(Default)]
pub struct QueryJournal {
    open: Option<OpenJournal>,
}

/// A journal with the clocks that its times are converted between.
struct OpenJournal {
    journal: Journal,
    clock: Clock,
    boot_clock: BootClock,
}

impl OpenJournal {
    /// Converts the end of a record from the gateway's clock to the clock of this boot.
    fn to_boot_clock(&self, record: StartedQuery) -> StartedQuery {
        let remaining_ms = record
            .may_run_until_ms
            .saturating_sub(millis(self.clock.now()));
        StartedQuery {
            may_run_until_ms: self.boot_clock.millis() + remaining_ms,
            ..record
        }
    }

    /// Waits until the record is on the disk.
    async fn write_record(&self, record: StartedQuery) -> Result<(), JournalError> {
        let (done, written) = oneshot::channel();
        let on_written = move |result| {
            // The receiver is gone where the caller stopped waiting, and then nothing is sent.
            let _ = done.send(result);
        };
        self.journal
            .record_started(self.to_boot_clock(record), Box::new(on_written));
        written.await.unwrap_or(Err(JournalError::Stopped))
    }
}

impl QueryJournal {
    /// Opens the journal of a gateway in a directory.
    ///
    /// `longest_deadline` is the longest deadline of any query class, in seconds. `recovered` is called once the journal has been
    /// read. Where the disk fails for now, the journal goes on trying; until it succeeds, [`record_before_send`] allows nothing.
    ///
    /// [`record_before_send`]: QueryJournal::record_before_send
    ///
    /// # Errors
    ///
    /// The journal can't be written, and a later try would fail too; the text names its path.
    pub fn open(
        directory: &str,
        gateway: &str,
        clock: Clock,
        longest_deadline: f64,
        recovered: impl FnOnce(Vec<RecoveredQuery>) + Send + 'static,
    ) -> io::Result<QueryJournal> {
        let path = Path::new(directory).join(format!("{gateway}.once-only"));
        let shown_path = path.display().to_string();
        let boot_clock = BootClock::start();
        let on_recovery = move |found: Vec<RecoveredQuery>| {
            let queries = recovered_queries(found, clock, boot_clock);
            log_recovered(&shown_path, &queries);
            recovered(queries);
        };
        let boot = Boot {
            boot_id: boot_clock.boot_id,
            longest_query_run_ms: millis(longest_deadline) + RUN_MARGIN.as_millis() as u64,
        };
        let StartedJournal { journal, restored } = Journal::start(
            FileStorage::new(&path),
            boot,
            move || boot_clock.millis(),
            Box::new(on_recovery),
        );
        check_start(&path, restored)?;
        Ok(QueryJournal {
            open: Some(OpenJournal {
                journal,
                clock,
                boot_clock,
            }),
        })
    }

    /// Records that a non-idempotent query is about to be sent.
    ///
    /// It takes as long as the disk does: the caller bounds it by the query's deadline. A caller that stops waiting must not send.
    pub async fn record_before_send(&self, record: StartedQuery) -> SendPermission {
        let Some(open) = &self.open else {
            return SendPermission::Granted;
        };
        let started_at = Instant::now();
        let result = open.write_record(record).await;
        let elapsed = started_at.elapsed();
        if elapsed > SLOW_WRITE {
            let elapsed_ms = elapsed.as_millis() as u64;
            tracing::warn!(
                elapsed_ms,
                "query journal is slow: non-idempotent queries wait for it"
            );
        }
        match result {
            Ok(()) => SendPermission::Granted,
            Err(error) => {
                tracing::error!(%error, "query journal not written: non-idempotent query not sent");
                SendPermission::Denied
            }
        }
    }

    /// Records that every attempt of a query has provably ended.
    pub fn record_end(&self, query_key: u64) {
        if let Some(open) = &self.open {
            open.journal.record_finished(query_key);
        }
    }
}

/// Passes on the failure of a start, unless a later try may succeed.
fn check_start(path: &Path, started: io::Result<()>) -> io::Result<()> {
    let path = path.display();
    match started {
        Ok(()) => Ok(()),
        Err(error) if is_transient(&error) => {
            tracing::error!(%path, %error, "query journal not writable yet: no non-idempotent query is sent");
            Ok(())
        }
        Err(error) => Err(io::Error::new(error.kind(), format!("{path}: {error}"))),
    }
}

/// Converts the records of an earlier process from the clock of this boot to the gateway's clock.
fn recovered_queries(
    found: Vec<RecoveredQuery>,
    clock: Clock,
    boot_clock: BootClock,
) -> Vec<RecoveredQuery> {
    let now_ms = millis(clock.now());
    let boot_now_ms = boot_clock.millis();
    let convert = |RecoveredQuery { record, finished }| {
        let remaining_ms = record.may_run_until_ms.saturating_sub(boot_now_ms);
        let record = StartedQuery {
            may_run_until_ms: now_ms + remaining_ms,
            ..record
        };
        RecoveredQuery { record, finished }
    };
    found.into_iter().map(convert).collect()
}

fn log_recovered(path: &str, queries: &[RecoveredQuery]) {
    let unfinished = queries.iter().filter(|query| !query.finished).count();
    tracing::info!(
        path,
        recovered = queries.len(),
        unfinished,
        "query journal read"
    );
}

/// Converts seconds to whole milliseconds; what is negative becomes 0.
pub fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * MILLIS_PER_SECOND) as u64
}
