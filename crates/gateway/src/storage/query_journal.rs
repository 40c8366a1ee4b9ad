//! The journal of non-idempotent queries: each is recorded on disk before its first attempt is sent, so that a later process
//! does not send it again. `garnetwall_ledger` decides what the records mean.

use crate::system::boot_clock::BootClock;
use crate::system::clock::Clock;
use crate::system::os_error::may_pass;
use garnetwall_ledger::journal::{FileStorage, Journal};
use garnetwall_ledger::records::{BootRun, SentQuery, RUN_MARGIN};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A write that takes longer is logged.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// A non-idempotent query that an earlier process sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveredQuery {
    /// Its record, with its end on this gateway's [`Clock`], in milliseconds.
    pub sent: SentQuery,
    /// Every attempt of it has provably ended.
    pub finished: bool,
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
    fn to_boot_clock(&self, sent: SentQuery) -> SentQuery {
        let remaining_ms = sent.until.saturating_sub(millis(self.clock.now()));
        SentQuery {
            until: self.boot_clock.millis() + remaining_ms,
            ..sent
        }
    }

    /// Waits until the record is on the disk.
    async fn write_sent(&self, sent: SentQuery) -> io::Result<()> {
        let (done, written) = oneshot::channel();
        let on_written = move |result| {
            // The receiver is gone where the caller stopped waiting, and then nothing is sent.
            let _ = done.send(result);
        };
        self.journal
            .record_sent(self.to_boot_clock(sent), Box::new(on_written));
        written
            .await
            .unwrap_or_else(|_| Err(io::Error::other("the journal has stopped")))
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
        let on_recovery = move |found: Vec<(SentQuery, bool)>| {
            let queries = recovered_queries(found, clock, boot_clock);
            log_recovered(&shown_path, &queries);
            recovered(queries);
        };
        let boot_run = BootRun {
            id: boot_clock.run,
            span: millis(longest_deadline) + RUN_MARGIN.as_millis() as u64,
        };
        let (journal, started) = Journal::start(
            FileStorage::new(&path),
            boot_run,
            move || boot_clock.millis(),
            Box::new(on_recovery),
        );
        match started {
            Ok(()) => {}
            Err(fault) if may_pass(&fault) => {
                tracing::error!(path = %path.display(), %fault, "journal can't be written for now: no once-only batch is sent");
            }
            Err(fault) => {
                let text = format!("{}: {fault}", path.display());
                return Err(io::Error::new(fault.kind(), text));
            }
        }
        Ok(QueryJournal {
            open: Some(OpenJournal {
                journal,
                clock,
                boot_clock,
            }),
        })
    }

    /// Records that a non-idempotent query is about to be sent. Returns whether it may be sent.
    ///
    /// It takes as long as the disk does: the caller bounds it by the query's deadline. A caller that stops waiting must not send.
    pub async fn record_before_send(&self, sent: SentQuery) -> bool {
        let Some(open) = &self.open else {
            return true;
        };
        let started_at = Instant::now();
        let result = open.write_sent(sent).await;
        let elapsed = started_at.elapsed();
        if elapsed > SLOW_WRITE {
            tracing::warn!(took = ?elapsed, "journal is slow: once-only batches wait for it");
        }
        match result {
            Ok(()) => true,
            Err(fault) => {
                tracing::error!(%fault, "journal can't be written: no once-only batch is sent");
                false
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

/// Converts the records of an earlier process from the clock of this boot to the gateway's clock.
fn recovered_queries(
    found: Vec<(SentQuery, bool)>,
    clock: Clock,
    boot_clock: BootClock,
) -> Vec<RecoveredQuery> {
    let now_ms = millis(clock.now());
    let boot_now_ms = boot_clock.millis();
    let convert = |(sent, finished): (SentQuery, bool)| {
        let until = now_ms + sent.until.saturating_sub(boot_now_ms);
        let sent = SentQuery { until, ..sent };
        RecoveredQuery { sent, finished }
    };
    found.into_iter().map(convert).collect()
}

fn log_recovered(path: &str, queries: &[RecoveredQuery]) {
    let may_run = queries.iter().filter(|query| !query.finished).count();
    tracing::info!(
        path,
        known = queries.len(),
        may_run,
        "journal of once-only batches opened"
    );
}

/// Converts seconds to whole milliseconds; what is negative becomes 0.
pub fn millis(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}
