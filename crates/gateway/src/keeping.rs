//! What a gateway keeps beyond a batch's answer: the journal of once-only batches on a disk that lasts, and the store of
//! bodies. It hands records over and waits for them; `garnetwall_ledger` and `garnetwall_bodies` decide what they mean.

use crate::clock::Clock;
use garnetwall_bodies::room::Policy;
use garnetwall_bodies::{Disk, Limits, Spool, Store};
use garnetwall_ledger::book::{Sent, WRITTEN_IN};
use garnetwall_ledger::journal::{FileLog, Journal};
use garnetwall_plan::model::Bodies;
use std::io;
use std::path::Path;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The journal, where there is one.
#[derive(Default)]
pub struct Keeper {
    journal: Option<Journal>,
}

impl Keeper {
    /// Opens the journal of a gateway in a directory: itself, and what may have run before.
    ///
    /// # Errors
    ///
    /// With the path in the text.
    pub fn open(directory: &str, gateway: &str, clock: Clock) -> io::Result<(Keeper, Vec<(Sent, bool)>)> {
        let path = Path::new(directory).join(format!("{gateway}.once-only"));
        let (log, held) = FileLog::open(&path)?;
        let (journal, open) = Journal::start(log, &held, move || millis(clock.now()));
        let may_run = open.iter().filter(|(_, over)| !over).count();
        tracing::info!(path = %path.display(), known = open.len(), may_run, "journal of once-only batches opened");
        Ok((Keeper { journal: Some(journal) }, open))
    }

    /// Writes down that a once-only batch is about to be sent; whether it may be.
    pub async fn promise(&self, sent: Sent) -> bool {
        let Some(journal) = &self.journal else { return true };
        let (done, written) = oneshot::channel();
        // Whoever no longer waits did not send it.
        journal.sent(sent, Box::new(move |result| drop(done.send(result))));
        match timeout(WRITTEN_IN, written).await {
            Ok(Ok(Ok(()))) => true,
            Ok(Ok(Err(fault))) => {
                tracing::error!(%fault, "journal can't be written: no once-only batch is sent");
                false
            }
            Ok(Err(_)) | Err(_) => {
                tracing::error!("journal is too slow: a once-only batch was not sent");
                false
            }
        }
    }

    /// It is proved over.
    pub fn over(&self, id: u64) {
        if let Some(journal) = &self.journal {
            journal.over(id);
        }
    }
}

/// The store of bodies that a plan asks for, with a file in its directory where it names one.
///
/// # Errors
///
/// With the path in the text.
pub fn store(bodies: &Bodies, groups: &[String], gateway: &str) -> io::Result<Arc<Store>> {
    let spool = match &bodies.directory {
        Some(directory) => Some(Spool::new(Disk::open(Path::new(directory), gateway)?, bodies.files)),
        None => None,
    };
    let limits = Limits {
        memory: bodies.memory,
        files: bodies.files,
        batch_memory: bodies.batch_memory,
        batch: bodies.batch,
        share: bodies.share,
        unknown_length: bodies.unknown_length,
        must_keep: groups.iter().map(|group| bodies.must_keep.contains(group)).collect(),
    };
    Ok(Store::new(limits, Policy::Largest, spool))
}

/// Says what became of bodies, by group and place.
pub fn tell(store: &Store, groups: &[String]) {
    for ((group, place), counts) in store.counts() {
        let group = groups.get(group).map_or("", String::as_str);
        let (bodies, further, missed) = (counts.bodies, counts.further, counts.missed);
        tracing::info!(group, ?place, bodies, further, missed, "bodies");
    }
}

/// Unix milliseconds of a time on the clock.
pub fn millis(now: f64) -> u64 {
    (now.max(0.0) * 1000.0) as u64
}
