//! Records non-idempotent queries on disk before their first attempt is sent, so that a later process of the gateway
//! does not send them again.
//!
//! The crate `garnetwall_ledger` reads, writes and interprets the records. This module converts their times between the
//! gateway's clock and the machine's clock since boot, which all processes share until the machine is rebooted.

use crate::system::boot_clock::BootClock;
use crate::system::clock::{Clock, MILLIS_PER_SECOND};
use crate::system::os_error::is_transient;
pub use garnetwall_ledger::journal::RecoveredQuery;
use garnetwall_ledger::journal::{FileStorage, Journal, JournalError, StartedJournal};
use garnetwall_ledger::records::{Boot, StartedQuery, RUN_TIME_MARGIN};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Duration above which a write is logged as slow.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// Whether a query may be sent to an engine, as [`QueryJournal::record_before_send`] decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    /// The query is recorded, or the plan names no journal.
    Granted,
    /// The query could not be recorded, so that a later process would not know that it may have run.
    Denied,
}

/// The query journal of a gateway. The default value is for plans without a journal: it records nothing and permits
/// every send.
#[derive(Default)]
pub struct QueryJournal {
    open: Option<OpenJournal>,
}

/// An open journal, with the two clocks between which the times of its records are converted.
struct OpenJournal {
    journal: Journal,
    clock: Clock,
    boot_clock: BootClock,
}

impl OpenJournal {
    /// Converts `may_run_until_ms` of a record from the gateway's clock to the clock of this boot.
    fn to_boot_clock(&self, record: StartedQuery) -> StartedQuery {
        let remaining_ms = record
            .may_run_until_ms
            .saturating_sub(millis(self.clock.now()));
        StartedQuery {
            may_run_until_ms: self.boot_clock.millis() + remaining_ms,
            ..record
        }
    }

    /// Writes a record and waits until it is on the disk.
    async fn write_record(&self, record: StartedQuery) -> Result<(), JournalError> {
        let (done, written) = oneshot::channel();
        let on_written = move |result| {
            // The channel is closed if the caller has stopped waiting; such a caller does not send the query.
            let _ = done.send(result);
        };
        self.journal
            .record_started(self.to_boot_clock(record), Box::new(on_written));
        written.await.unwrap_or(Err(JournalError::Stopped))
    }
}

impl QueryJournal {
    /// Opens the journal of the gateway named `gateway` in a directory.
    ///
    /// `longest_deadline` is the longest deadline of any query class, in seconds. `on_recovered` is called once the
    /// journal has been read, with the queries that an earlier process recorded. A transient failure of the disk is no
    /// error: the journal keeps retrying, and [`record_before_send`] permits no query until it succeeds.
    ///
    /// [`record_before_send`]: QueryJournal::record_before_send
    ///
    /// # Errors
    ///
    /// The journal cannot be opened, for a reason that is not transient. The error text contains its path.
    pub fn open(
        directory: &str,
        gateway: &str,
        clock: Clock,
        longest_deadline: f64,
        on_recovered: impl FnOnce(Vec<RecoveredQuery>) + Send + 'static,
    ) -> io::Result<QueryJournal> {
        let path = Path::new(directory).join(format!("{gateway}.once-only"));
        let shown_path = path.display().to_string();
        let boot_clock = BootClock::start();
        let on_journal_read = move |records: Vec<RecoveredQuery>| {
            let queries = recovered_queries(records, clock, boot_clock);
            log_recovered(&shown_path, &queries);
            on_recovered(queries);
        };
        let boot = Boot {
            boot_id: boot_clock.boot_id,
            longest_query_run_ms: millis(longest_deadline) + RUN_TIME_MARGIN.as_millis() as u64,
        };
        let StartedJournal {
            journal,
            restore_result,
        } = Journal::start(
            FileStorage::new(&path),
            boot,
            move || boot_clock.millis(),
            Box::new(on_journal_read),
        )?;
        check_opened(&path, restore_result)?;
        Ok(QueryJournal {
            open: Some(OpenJournal {
                journal,
                clock,
                boot_clock,
            }),
        })
    }

    /// Records on disk that a non-idempotent query is about to be sent.
    ///
    /// The write has no timeout of its own, so the caller bounds the wait by the query's deadline. A caller that stops
    /// waiting must not send the query.
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
                "slow write to the query journal, non-idempotent queries are delayed"
            );
        }
        match result {
            Ok(()) => SendPermission::Granted,
            Err(error) => {
                tracing::error!(%error, "query journal write failed, non-idempotent query not sent");
                SendPermission::Denied
            }
        }
    }

    /// Records that all attempts of a query have provably ended.
    pub fn record_end(&self, query_key: u64) {
        if let Some(open) = &self.open {
            open.journal.record_finished(query_key);
        }
    }
}

/// Returns the error of opening the journal, with the path in its text. A transient error is only logged, since the
/// journal retries.
fn check_opened(path: &Path, opened: io::Result<()>) -> io::Result<()> {
    let path = path.display();
    match opened {
        Ok(()) => Ok(()),
        Err(error) if is_transient(&error) => {
            tracing::error!(%path, %error, "query journal not open yet, no non-idempotent query is sent until it is");
            Ok(())
        }
        Err(error) => Err(io::Error::new(error.kind(), format!("{path}: {error}"))),
    }
}

/// Converts `may_run_until_ms` of recovered records from the clock of this boot to the gateway's clock.
fn recovered_queries(
    records: Vec<RecoveredQuery>,
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
    records.into_iter().map(convert).collect()
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

/// Converts seconds to whole milliseconds, rounded down; negative values become 0.
pub fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * MILLIS_PER_SECOND) as u64
}
