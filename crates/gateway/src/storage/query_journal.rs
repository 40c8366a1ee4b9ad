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

/// A promise that takes longer is told.
const SLOW_PROMISE: Duration = Duration::from_millis(500);

/// The journal, where there is one.
#[derive(Default)]
pub struct QueryJournal {
    journal: Option<Kept>,
}

/// A journal, and the clocks that its times are told on.
struct Kept {
    journal: Journal,
    clock: Clock,
    run: BootClock,
}

impl Kept {
    /// The same with its end on the clock of this run of the machine.
    fn on_run_clock(&self, sent: SentQuery) -> SentQuery {
        let left = sent.until.saturating_sub(millis(self.clock.now()));
        SentQuery {
            until: self.run.millis() + left,
            ..sent
        }
    }
}

impl QueryJournal {
    /// Opens the journal of a gateway in a directory; `recovered` is told what may have run before, with ends on the gateway's
    /// clock, once that could be read. A disk that fails for now is tried again, and until it works nothing is promised.
    /// `longest` is the longest limit of a batch in seconds.
    ///
    /// # Errors
    ///
    /// One that can't pass, with the path in the text.
    pub fn open(
        directory: &str,
        gateway: &str,
        clock: Clock,
        longest: f64,
        recovered: impl FnOnce(Vec<(SentQuery, bool)>) + Send + 'static,
    ) -> io::Result<QueryJournal> {
        let path = Path::new(directory).join(format!("{gateway}.once-only"));
        let shown = path.display().to_string();
        let run = BootClock::start();
        let told = move |mut open: Vec<(SentQuery, bool)>| {
            let (here, there) = (millis(clock.now()), run.millis());
            open.iter_mut()
                .for_each(|(sent, _)| sent.until = here + sent.until.saturating_sub(there));
            let may_run = open.iter().filter(|(_, over)| !over).count();
            tracing::info!(
                path = shown,
                known = open.len(),
                may_run,
                "journal of once-only batches opened"
            );
            recovered(open);
        };
        let this = BootRun {
            id: run.run,
            span: millis(longest) + RUN_MARGIN.as_millis() as u64,
        };
        let (journal, begun) = Journal::start(
            FileStorage::new(&path),
            this,
            move || run.millis(),
            Box::new(told),
        );
        match begun {
            Err(fault) if may_pass(&fault) => {
                tracing::error!(path = %path.display(), %fault, "journal can't be written for now: no once-only batch is sent");
            }
            begun => {
                begun.map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", path.display())))?
            }
        }
        Ok(QueryJournal {
            journal: Some(Kept {
                journal,
                clock,
                run,
            }),
        })
    }

    /// Writes down that a once-only batch is about to be sent; whether it may be. It takes as long as the disk does: whoever asks
    /// bounds that by what the batch has left.
    pub async fn record_before_send(&self, sent: SentQuery) -> bool {
        let Some(kept) = &self.journal else {
            return true;
        };
        let (done, written) = oneshot::channel();
        // Whoever no longer waits did not send it.
        kept.journal.record_sent(
            kept.on_run_clock(sent),
            Box::new(move |result| drop(done.send(result))),
        );
        let began = Instant::now();
        let end = written
            .await
            .unwrap_or_else(|_| Err(io::Error::other("the journal has stopped")));
        if began.elapsed() > SLOW_PROMISE {
            tracing::warn!(took = ?began.elapsed(), "journal is slow: once-only batches wait for it");
        }
        match end {
            Ok(()) => true,
            Err(fault) => {
                tracing::error!(%fault, "journal can't be written: no once-only batch is sent");
                false
            }
        }
    }

    /// It is proved over.
    pub fn record_end(&self, id: u64) {
        if let Some(kept) = &self.journal {
            kept.journal.record_finished(id);
        }
    }
}

/// Milliseconds of a time, or of a span, in seconds.
pub fn millis(now: f64) -> u64 {
    (now.max(0.0) * 1000.0) as u64
}
