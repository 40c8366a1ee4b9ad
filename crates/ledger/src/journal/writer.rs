//! The thread that writes the journal.

use super::error::JournalError;
use super::state::{JournalState, RecoveredQuery};
use super::storage::JournalStorage;
use crate::records::{Boot, Record};
use std::io;
use std::ops::ControlFlow;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Records that are written with one sync at most.
const MAX_RECORDS_PER_SYNC: usize = 4096;
/// The time between two tries to replace a journal whose storage fails.
const RESTORE_INTERVAL: Duration = Duration::from_millis(250);

/// Called once a record is stored, or can't be.
pub type WriteCallback = Box<dyn FnOnce(Result<(), JournalError>) + Send>;

/// Called with the queries of earlier processes whose time is not over, once the journal has been read.
pub type RecoveryCallback = Box<dyn FnOnce(Vec<RecoveredQuery>) + Send>;

/// A message to the writer.
pub(super) enum Command {
    /// Write a record; whoever waits for it has a callback.
    Write(Record, Option<WriteCallback>),
    /// Write what came before, and stop.
    Stop,
}

/// Commands that are carried out with one sync.
#[derive(Default)]
struct CommitGroup {
    bytes: Vec<u8>,
    callbacks: Vec<WriteCallback>,
    stop: bool,
}

/// Writes the journal of one process. `C` is the clock of the boot, in milliseconds.
pub(super) struct Writer<S, C> {
    storage: S,
    boot: Boot,
    clock_ms: C,
    /// Until the journal of earlier processes has been read.
    recovery: Option<RecoveryCallback>,
    state: JournalState,
    /// All that was confirmed to callbacks is stored, and records can be appended to it.
    can_append: bool,
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

    /// Carries out commands until it is told to stop, or nobody can send any more.
    pub(super) fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let received = if self.can_append {
                commands.recv().map_err(|_| RecvTimeoutError::Disconnected)
            } else {
                commands.recv_timeout(RESTORE_INTERVAL)
            };
            let flow = match received {
                Ok(first) => self.commit(first, commands),
                Err(RecvTimeoutError::Timeout) => ControlFlow::Continue(()),
                Err(RecvTimeoutError::Disconnected) => ControlFlow::Break(()),
            };
            if flow.is_break() {
                return;
            }
            if !self.can_append && self.last_restore.elapsed() >= RESTORE_INTERVAL {
                // After a failure it is tried again.
                let _ = self.restore();
            }
        }
    }

    /// Carries out a command and those that wait behind it, and breaks where one of them is to stop.
    fn commit(&mut self, first: Command, commands: &Receiver<Command>) -> ControlFlow<()> {
        let waiting = std::iter::from_fn(|| commands.try_recv().ok());
        let mut group = CommitGroup::default();
        for command in std::iter::once(first)
            .chain(waiting)
            .take(MAX_RECORDS_PER_SYNC)
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
            // A query whose record is not confirmed is not sent, and needs none.
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

    /// Appends a group, and syncs it unless nobody waits for it: then it lasts with the next that somebody waits for.
    fn append(&mut self, group: CommitGroup) {
        let must_sync = !group.callbacks.is_empty() || group.stop;
        let mut written = self.storage.append(&group.bytes);
        if must_sync {
            written = written.and_then(|()| self.storage.sync());
        }
        if written.is_err() {
            self.can_append = false;
            self.last_restore = Instant::now();
        }
        let result = written.map_err(|error| JournalError::Storage(Arc::new(error)));
        for callback in group.callbacks {
            callback(result.clone());
        }
    }

    fn compact_if_needed(&mut self) {
        let now_ms = (self.clock_ms)();
        if self.can_append && self.state.forget_expired_and_check_compaction(now_ms) {
            // After a failure it is tried again each RESTORE_INTERVAL; until then no non-idempotent query is sent.
            let _ = self.restore();
        }
    }

    /// Reads what earlier processes have stored, and hands it to the recovery callback.
    fn recover(&mut self, now_ms: u64) -> io::Result<()> {
        let mut state = JournalState::replay(&self.storage.read()?).state;
        state.resume(self.boot, now_ms);
        self.state = state;
        if let Some(recovery) = self.recovery.take() {
            recovery(self.state.unexpired(now_ms));
        }
        Ok(())
    }

    /// Reads the journal if that has not succeeded yet, and replaces it by a complete one.
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
