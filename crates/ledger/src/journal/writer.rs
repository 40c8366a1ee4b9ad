//! Implements the thread that writes the journal.

use super::error::JournalError;
use super::state::{JournalState, RecoveredQuery};
use super::storage::JournalStorage;
use crate::records::{Boot, Record};
use std::io;
use std::ops::ControlFlow;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of commands that are carried out with one sync.
const MAX_COMMANDS_PER_SYNC: usize = 4096;
/// Time between two attempts to restore a journal whose storage fails.
const RESTORE_INTERVAL: Duration = Duration::from_millis(250);

/// Callback for one record, called when the record is stored or could not be stored.
pub type WriteCallback = Box<dyn FnOnce(Result<(), JournalError>) + Send>;

/// Callback for the unexpired queries of earlier processes, called once when the journal has been read.
pub type RecoveryCallback = Box<dyn FnOnce(Vec<RecoveredQuery>) + Send>;

/// Message to the writing thread.
pub(super) enum Command {
    /// Write a record. The callback is `None` if no caller waits for the record.
    Write(Record, Option<WriteCallback>),
    /// Write and sync all records sent before, unless the storage has failed, then stop.
    Stop,
}

/// Commands that are carried out with one sync (group commit).
#[derive(Default)]
struct CommitGroup {
    /// Encoded records.
    bytes: Vec<u8>,
    callbacks: Vec<WriteCallback>,
    stop: bool,
}

/// Writes the journal of one process. `C` returns the time of the boot's clock in milliseconds.
pub(super) struct Writer<S, C> {
    storage: S,
    boot: Boot,
    clock_ms: C,
    /// Callback for the queries of earlier processes; `None` once the stored journal has been read.
    recovery: Option<RecoveryCallback>,
    state: JournalState,
    /// Whether the storage holds all confirmed records and accepts further ones. False until the first restore succeeds
    /// and after each failure.
    can_append: bool,
    /// Time of the last restore attempt, or of the last failed write if that is later.
    last_restore: Instant,
}

impl<S: JournalStorage, C: Fn() -> u64> Writer<S, C> {
    pub(super) fn new(storage: S, boot: Boot, clock_ms: C, recovery: RecoveryCallback) -> Self {
        Writer {
            storage,
            boot,
            clock_ms,
            recovery: Some(recovery),
            state: JournalState::default(),
            can_append: false,
            last_restore: Instant::now(),
        }
    }

    /// Carries out commands until [`Command::Stop`] is received or all senders are gone. While the storage fails,
    /// tries to restore it every [`RESTORE_INTERVAL`].
    ///
    /// A panic counts as a failure of the storage: the records in hand are not confirmed, and the journal is restored.
    pub(super) fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let step = catch_unwind(AssertUnwindSafe(|| self.run_step(commands)));
            match step {
                Ok(ControlFlow::Continue(())) => {}
                Ok(ControlFlow::Break(())) => return,
                Err(_) => self.storage_failed(),
            }
        }
    }

    /// Waits for commands and carries them out, or restores the journal if that is due.
    fn run_step(&mut self, commands: &Receiver<Command>) -> ControlFlow<()> {
        let received = if self.can_append {
            commands.recv().map_err(|_| RecvTimeoutError::Disconnected)
        } else {
            commands.recv_timeout(RESTORE_INTERVAL)
        };
        match received {
            Ok(first) => self.commit(first, commands)?,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return ControlFlow::Break(()),
        }
        if !self.can_append && self.last_restore.elapsed() >= RESTORE_INTERVAL {
            // A failed restore is retried after the next interval.
            let _ = self.restore();
        }
        ControlFlow::Continue(())
    }

    /// Records that the content of the storage is unknown, so that nothing is appended until the journal is restored.
    fn storage_failed(&mut self) {
        self.can_append = false;
        self.last_restore = Instant::now();
    }

    /// Carries out `first` and the commands waiting after it, with one sync. Breaks if one of them is
    /// [`Command::Stop`].
    fn commit(&mut self, first: Command, commands: &Receiver<Command>) -> ControlFlow<()> {
        let waiting = std::iter::from_fn(|| commands.try_recv().ok());
        let mut group = CommitGroup::default();
        for command in std::iter::once(first)
            .chain(waiting)
            .take(MAX_COMMANDS_PER_SYNC)
        {
            self.add_to_group(command, &mut group);
        }
        let stop = group.stop;
        if self.can_append {
            self.append(group);
            self.compact_if_needed();
        }
        if stop {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    }

    fn add_to_group(&mut self, command: Command, group: &mut CommitGroup) {
        match command {
            // Rejects the record, so that the query is not sent. Other records are applied to the state, which the next
            // successful restore writes.
            Command::Write(Record::Started(_), Some(callback)) if !self.can_append => {
                callback(Err(JournalError::EarlierWriteFailed));
            }
            Command::Write(record, callback) => {
                group.bytes.extend_from_slice(&record.encode());
                self.state.apply(&record);
                group.callbacks.extend(callback);
            }
            Command::Stop => group.stop = true,
        }
    }

    /// Appends a group and calls its callbacks. Records without a callback are not synced by themselves: they become
    /// durable with the next group that has one.
    fn append(&mut self, group: CommitGroup) {
        let must_sync = !group.callbacks.is_empty() || group.stop;
        let mut written = self.storage.append(&group.bytes);
        if must_sync {
            written = written.and_then(|()| self.storage.sync());
        }
        if written.is_err() {
            self.storage_failed();
        }
        let result = written.map_err(|error| JournalError::Storage(Arc::new(error)));
        for callback in group.callbacks {
            callback(result.clone());
        }
    }

    /// Replaces the journal by a compacted one if most of its records are of no use any more.
    fn compact_if_needed(&mut self) {
        let now_ms = (self.clock_ms)();
        if self.can_append && self.state.forget_expired_and_check_compaction(now_ms) {
            // A failed restore is retried every RESTORE_INTERVAL; until one succeeds, no non-idempotent query is sent.
            let _ = self.restore();
        }
    }

    /// Reads the journal of earlier processes, and passes its unexpired queries to the recovery callback.
    fn recover(&mut self, now_ms: u64) -> io::Result<()> {
        let mut state = JournalState::replay(&self.storage.read()?).state;
        state.resume(self.boot, now_ms);
        self.state = state;
        if let Some(recovery) = self.recovery.take() {
            recovery(self.state.unexpired(now_ms));
        }
        Ok(())
    }

    /// Reads the stored journal unless that has already succeeded, and replaces it by a complete, compacted one.
    pub(super) fn restore(&mut self) -> io::Result<()> {
        self.can_append = false;
        self.last_restore = Instant::now();
        let now_ms = (self.clock_ms)();
        if self.recovery.is_some() {
            self.recover(now_ms)?;
        }
        let complete = self.state.compacted(now_ms);
        self.storage.replace(&complete)?;
        self.can_append = true;
        Ok(())
    }
}
