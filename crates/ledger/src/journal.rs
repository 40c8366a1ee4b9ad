//! Stores non-idempotent queries on a disk before they are sent, so that no later process sends them again.
//!
//! A thread of its own writes the records. All that waits when a write begins is stored with one sync (group commit).
//!
//! After a failed write or sync it is unknown what the disk holds: no query may be sent until a complete journal has replaced
//! the stored one. That is tried at an interval for as long as it fails. Until the journal was read for the first
//! time it is unknown, too, what earlier processes sent.

mod error;
mod state;
mod storage;
mod writer;

pub use error::JournalError;
pub use state::{JournalState, RecoveredQuery, Replay};
pub use storage::{FileStorage, JournalStorage};
pub use writer::{RecoveryCallback, WriteCallback};

use crate::records::{Boot, Record, StartedQuery};
use std::io;
use std::sync::mpsc::{channel, Sender};
use std::thread::JoinHandle;
use writer::{Command, Writer};

/// The journal of a running gateway. Dropping it waits until all records are written.
pub struct Journal {
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

/// A journal that was started, and whether its storage could be used at once.
pub struct StartedJournal {
    /// The journal, which runs either way.
    pub journal: Journal,
    /// Whether the journal was read and replaced at once. Where that failed it is tried again, and until it succeeds no
    /// query may be sent.
    pub restored: io::Result<()>,
}

impl Journal {
    /// Opens the journal in `storage` in a boot whose clock `clock_ms` gives in milliseconds.
    pub fn start(
        storage: impl JournalStorage + 'static,
        boot: Boot,
        clock_ms: impl Fn() -> u64 + Send + 'static,
        recovery: RecoveryCallback,
    ) -> StartedJournal {
        let mut writer = Writer::new(storage, boot, clock_ms, recovery);
        let restored = writer.restore();
        let (commands, receiver) = channel();
        let thread = std::thread::spawn(move || writer.run(&receiver));
        let journal = Journal {
            commands,
            thread: Some(thread),
        };
        StartedJournal { journal, restored }
    }

    /// Records that a non-idempotent query is about to be sent. It may be sent once `on_written` was called with `Ok`.
    pub fn record_started(&self, query: StartedQuery, on_written: WriteCallback) {
        let command = Command::Write(Record::Started(query), Some(on_written));
        let Err(unsent) = self.commands.send(command) else {
            return;
        };
        if let Command::Write(_, Some(on_written)) = unsent.0 {
            on_written(Err(JournalError::Stopped));
        }
    }

    /// Records that no attempt of a query runs any more. Nobody waits for it: if it is lost, a later process pauses the
    /// query's key and answers its id as failed, which is safe.
    pub fn record_finished(&self, query_key: u64) {
        let command = Command::Write(Record::Finished { query_key }, None);
        // A journal that has stopped keeps the query as one that may run.
        let _ = self.commands.send(command);
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
