//! Stores non-idempotent queries on disk before they are sent, so that no later process sends them again.
//!
//! A dedicated thread writes the records. All records that are waiting when a write begins are stored with one sync
//! (group commit).
//!
//! After a failed write or sync the content of the disk is unknown, so no non-idempotent query may be sent until a
//! complete journal has replaced the stored one. The replacement is retried periodically until it succeeds. The same
//! applies at start: until the journal has been read, the queries that earlier processes sent are unknown.

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
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use writer::{Command, Writer};

/// Handle to the journal of a running gateway. Dropping it waits until the writing thread has written all records and
/// ended. If the storage has failed, the thread ends without writing them.
pub struct Journal {
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

/// Result of [`Journal::start`]: the journal, and whether its storage is usable yet.
pub struct StartedJournal {
    /// The running journal, whether or not its storage is usable.
    pub journal: Journal,
    /// Whether the stored journal could be read and replaced at the start. After an error the journal retries
    /// periodically, and rejects each started query until that succeeds.
    pub restore_result: io::Result<()>,
}

/// A writer that has read the journal, and the commands that it is to carry out.
struct StartedWriter<S, C> {
    writer: Writer<S, C>,
    commands: Receiver<Command>,
}

impl Journal {
    /// Reads the journal in `storage`, replaces it by a compacted one and starts the writing thread.
    ///
    /// `boot` is the present boot, and `clock_ms` returns the time of its clock in milliseconds. `recovery` is called
    /// once, on this thread or the writing thread, as soon as the journal has been read.
    ///
    /// # Errors
    ///
    /// The system has no thread. The journal was not read, and `recovery` is not called.
    pub fn start(
        storage: impl JournalStorage + 'static,
        boot: Boot,
        clock_ms: impl Fn() -> u64 + Send + 'static,
        recovery: RecoveryCallback,
    ) -> io::Result<StartedJournal> {
        let (start, started) = channel::<StartedWriter<_, _>>();
        let thread = std::thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || {
                if let Ok(StartedWriter { writer, commands }) = started.recv() {
                    writer.run(&commands);
                }
            })?;
        let mut writer = Writer::new(storage, boot, clock_ms, recovery);
        let restore_result = writer.restore();
        let (commands, receiver) = channel();
        // This fails only after the thread has ended, and it ends after it has received the writer.
        let _ = start.send(StartedWriter {
            writer,
            commands: receiver,
        });
        let journal = Journal {
            commands,
            thread: Some(thread),
        };
        Ok(StartedJournal {
            journal,
            restore_result,
        })
    }

    /// Records that a non-idempotent query is about to be sent. The query may be sent once `on_written` was called with
    /// `Ok`; after an error it must not be sent.
    pub fn record_started(&self, query: StartedQuery, on_written: WriteCallback) {
        let command = Command::Write(Record::Started(query), Some(on_written));
        let Err(unsent) = self.commands.send(command) else {
            return;
        };
        if let Command::Write(_, Some(on_written)) = unsent.0 {
            on_written(Err(JournalError::Stopped));
        }
    }

    /// Records that no attempt of a query runs any more. No caller waits for this record: if it is lost, a later
    /// process pauses the query's ordering key and answers its id as failed, which is safe.
    pub fn record_finished(&self, query_key: u64) {
        let command = Command::Write(Record::Finished { query_key }, None);
        // If the journal has stopped, the query stays recorded as one that may still run, which is safe.
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
