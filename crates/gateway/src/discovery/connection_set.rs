//! Which connections to the change log are open: when a further one is opened beside those that are slow or silent, and which
//! are closed. Decisions without I/O or a clock: it is handed times and what came, and hands back what to do.
//!
//! A connection is never closed only because it is slow: a log may bring its first line, or the end of a long event, a little later
//! each time than any fixed patience. So a further connection is opened beside it, and all stay until one of them brings the next
//! event, falls silent for [`TOLD`], or trickles for [`LONGEST_LINE`]. Times are since any moment that stays the same.

use crate::discovery::reconnect::Reconnect;
use std::time::Duration;

/// Most connections to one log at once.
pub(super) const MOST_OPEN: usize = 3;
/// Protocol: what the log tells counts as told this much later. A connection has at least as long to bring a byte.
pub(super) const TOLD: Duration = Duration::from_secs(7);
/// Without a whole line for this long a connection is silent: two of the comments that the protocol sends each second are missed.
pub(super) const SILENT: Duration = Duration::from_millis(2200);
/// The same for one that was opened beside a silent one, until it has shown that it lives: one comment is missed.
pub(super) const SILENT_BESIDE: Duration = Duration::from_millis(1400);
/// So many bytes of an unfinished line count as life for a time, as a whole line does.
pub(super) const PROGRESS: usize = 16 << 10;
/// But for no longer than this where no other connection is open: another may still tell in time.
pub(super) const LONG_LINE: Duration = Duration::from_millis(6000);
/// A connection that brings bytes, but neither a whole line nor `PROGRESS` of one, is closed after this; behind two that bring much of
/// one, a third is opened after this.
pub(super) const LONGEST_LINE: Duration = Duration::from_secs(20);

/// One connection, never used for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionId(u64);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Nothing has come on it for [`TOLD`], or no whole line for [`LONGEST_LINE`].
    Silent,
    /// Another one has brought the next event, or lives where this one is not needed.
    Redundant,
    /// All that may be open are silent, and a fresh one takes its place.
    Replaced,
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    Open(ConnectionId),
    Close(ConnectionId, CloseReason),
}

/// What has come on a connection: its answer's head counts as nothing of both.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Received {
    pub(super) bytes: usize,
    /// Lines that are now whole.
    pub(super) lines: u64,
    /// An event or a line has begun and is not over.
    pub(super) unfinished: bool,
}

#[derive(Clone, Debug)]
struct Connection {
    id: ConnectionId,
    opened: Duration,
    /// Opened while others were silent, and no event was brought by it yet.
    beside: bool,
    last_byte: Duration,
    last_line: Duration,
    /// The last whole line, or the last time that `PROGRESS` bytes of one had come.
    last_progress: Duration,
    /// Bytes since then.
    bytes: usize,
    unfinished: bool,
}

impl Connection {
    fn new(id: ConnectionId, now: Duration, beside: bool) -> Self {
        Connection {
            id,
            opened: now,
            beside,
            last_byte: now,
            last_line: now,
            last_progress: now,
            bytes: 0,
            unfinished: false,
        }
    }

    fn received(&mut self, now: Duration, received: Received) {
        self.last_byte = now;
        self.bytes += received.bytes;
        self.unfinished = received.unfinished;
        if received.lines > 0 {
            self.last_line = now;
        }
        if received.lines > 0 || self.bytes >= PROGRESS {
            self.last_progress = now;
            self.bytes = 0;
        }
    }

    /// Whether it has brought whole lines for as long as a connection is given.
    fn is_proven(&self) -> bool {
        self.last_line >= self.opened + TOLD
    }

    /// How long it may make no progress.
    fn patience(&self) -> Duration {
        match self.beside && !self.is_proven() {
            true => SILENT_BESIDE,
            false => SILENT,
        }
    }

    /// When another is to be opened beside it, if nothing comes until then.
    fn overdue_at(&self, alone: bool) -> Duration {
        let long_line = if alone { LONG_LINE } else { LONGEST_LINE };
        (self.last_progress + self.patience()).min(self.last_line + long_line)
    }

    /// When it is closed, if nothing comes until then.
    fn silent_at(&self) -> Duration {
        let trickles = (self.last_line + LONGEST_LINE).max(self.last_progress + TOLD);
        trickles.min(self.last_byte + TOLD)
    }

    /// When a fresh one may take its place, if nothing comes until then: once it has had its time.
    fn replaceable_at(&self) -> Duration {
        (self.opened + TOLD).max(self.last_byte + SILENT)
    }
}

/// The connections to one log.
#[derive(Debug)]
pub(super) struct ConnectionSet {
    reconnect: Reconnect,
    /// In the order in which they were opened.
    open: Vec<Connection>,
    opened: u64,
    last_opened: Duration,
    /// No connection is opened earlier: the pace after one that ended.
    not_before: Duration,
    /// The next one beside others is opened so much later than it could be, so that a fleet is not in step.
    jitter: Duration,
    /// Closed by what came on another.
    redundant: Vec<ConnectionId>,
}

impl ConnectionSet {
    /// No connection yet; the first is opened at once.
    pub(super) fn new(reconnect: Reconnect) -> Self {
        ConnectionSet {
            reconnect,
            open: Vec::with_capacity(MOST_OPEN),
            opened: 0,
            last_opened: Duration::ZERO,
            not_before: Duration::ZERO,
            jitter: Duration::ZERO,
            redundant: Vec::with_capacity(MOST_OPEN),
        }
    }

    /// The log has moved: the driver has closed all connections, and the next is opened at once.
    pub(super) fn moved(&mut self, now: Duration) {
        self.open.clear();
        self.redundant.clear();
        self.not_before = now;
    }

    /// Something has come on a connection.
    pub(super) fn received(&mut self, id: ConnectionId, now: Duration, received: Received) {
        let Some(place) = self.place(id) else { return };
        self.open[place].received(now, received);
        // Two that live are one too many once the newer has had its time; what is half told on the older is heard out.
        if self.open[place].is_proven() {
            let older = self
                .open
                .iter()
                .take(place)
                .filter(|connection| !connection.unfinished);
            let older: Vec<ConnectionId> = older.map(|connection| connection.id).collect();
            self.remove_redundant(|id| older.contains(&id));
        }
    }

    /// The next event has come on a connection: that one is followed.
    pub(super) fn advanced(&mut self, id: ConnectionId) {
        let Some(place) = self.place(id) else { return };
        self.open[place].beside = false;
        self.remove_redundant(|other| other != id);
    }

    /// A connection has ended.
    pub(super) fn ended(&mut self, id: ConnectionId, now: Duration) {
        let Some(place) = self.place(id) else { return };
        self.open.remove(place);
        self.not_before = now + self.reconnect.wait(now.saturating_sub(self.last_opened));
    }

    /// What is to be done by now; asked again until there is nothing.
    pub(super) fn poll(&mut self, now: Duration) -> Option<Action> {
        if let Some(id) = self.redundant.pop() {
            return Some(Action::Close(id, CloseReason::Redundant));
        }
        if let Some(place) = self
            .open
            .iter()
            .position(|connection| connection.silent_at() <= now)
        {
            return Some(Action::Close(
                self.open.remove(place).id,
                CloseReason::Silent,
            ));
        }
        if self.open_at() > now {
            return None;
        }
        if self.open.len() < MOST_OPEN {
            return Some(Action::Open(self.open(now)));
        }
        let place = self.replaceable(now)?;
        Some(Action::Close(
            self.open.remove(place).id,
            CloseReason::Replaced,
        ))
    }

    /// When to poll next, if nothing comes until then.
    pub(super) fn wake(&self) -> Duration {
        let silent = self.open.iter().map(Connection::silent_at);
        silent.fold(self.open_at(), Duration::min)
    }

    fn place(&self, id: ConnectionId) -> Option<usize> {
        self.open.iter().position(|connection| connection.id == id)
    }

    fn remove_redundant(&mut self, redundant: impl Fn(ConnectionId) -> bool) {
        let gone = self
            .open
            .iter()
            .map(|connection| connection.id)
            .filter(|id| redundant(*id));
        self.redundant.extend(gone);
        self.open.retain(|connection| !redundant(connection.id));
    }

    fn open(&mut self, now: Duration) -> ConnectionId {
        let id = ConnectionId(self.opened);
        self.opened += 1;
        self.open
            .push(Connection::new(id, now, !self.open.is_empty()));
        (self.last_opened, self.not_before) = (now, now);
        self.jitter = self.reconnect.jitter_beside();
        id
    }

    /// When the next connection is due: at its pace, and not while one that is open makes progress.
    fn open_at(&self) -> Duration {
        let alone = self.open.len() == 1;
        let overdue = self
            .open
            .iter()
            .map(|connection| connection.overdue_at(alone))
            .max();
        let Some(overdue) = overdue else {
            return self.not_before;
        };
        let due = self.not_before.max(overdue + self.jitter);
        match self.open.len() < MOST_OPEN {
            true => due,
            false => due.max(self.replacement_at()),
        }
    }

    /// When one that is open may be replaced: any that has had its time, else the newest once it is silent. The others are kept
    /// until they have had theirs, so that a log that is slow each time is heard out.
    fn replacement_at(&self) -> Duration {
        let had_time = self.open.iter().map(Connection::replaceable_at).min();
        let newest = self.open.last().map(|newest| newest.last_progress + SILENT);
        had_time.into_iter().chain(newest).min().unwrap_or_default()
    }

    /// The one that is replaced.
    fn replaceable(&self, now: Duration) -> Option<usize> {
        let had_time = self
            .open
            .iter()
            .position(|connection| connection.replaceable_at() <= now);
        had_time.or(self.open.len().checked_sub(1))
    }
}

#[cfg(test)]
mod tests;
