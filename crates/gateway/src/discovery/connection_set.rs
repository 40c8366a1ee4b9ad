//! Decides which connections to the change log are open: when another is opened beside those without progress, and which
//! are closed.
//!
//! Decisions without I/O or a clock: the driver passes in times and what was received, and gets back actions.
//!
//! A connection is never closed only because it is slow: a log may deliver its first bytes, or the end of a long event, a
//! little after any fixed timeout, each time. So another connection is opened beside it, and all stay until one of them
//! delivers the next event, is silent, which is without a byte for [`NOTIFICATION_DEADLINE`], or trickles for
//! [`MAX_FIELD_DURATION`]. Times are durations since a fixed moment.
//!
//! | a connection is | when | what follows |
//! |---|---|---|
//! | live | it makes progress: a complete field, or [`PROGRESS_BYTES`] of one | no other is opened |
//! | overdue | it makes no progress for [`PROGRESS_TIMEOUT`], an unproven backup for [`BACKUP_PROGRESS_TIMEOUT`], or it is the only one and its field is unfinished for [`LONE_FIELD_TIMEOUT`] | once all are overdue, a backup is opened, up to [`MAX_OPEN`] |
//! | proven | it has delivered complete fields for [`NOTIFICATION_DEADLINE`] | older ones between events are closed |
//! | replaceable | it was open for [`NOTIFICATION_DEADLINE`] and delivered no byte for [`PROGRESS_TIMEOUT`]; or it is the newest and makes no progress for that long | where all [`MAX_OPEN`] are overdue, it is closed for a fresh one |
//! | silent | it delivered no byte for [`NOTIFICATION_DEADLINE`] | it is closed, as [`LogCloseReason::Silent`] |
//! | trickling | it delivers bytes, but completed no field for [`MAX_FIELD_DURATION`] and made no progress for [`NOTIFICATION_DEADLINE`] | as where it is silent |

use crate::discovery::reconnect::Reconnect;
use std::time::Duration;

/// Connections to one log at once, at most.
pub(super) const MAX_OPEN: usize = 3;
/// Protocol: a change counts as notified this long after the log has it. A connection has at least as long for its next byte.
pub(super) const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(7);
/// A connection is overdue after this long without progress: two of the comments that the protocol sends each second are
/// missing.
pub(super) const PROGRESS_TIMEOUT: Duration = Duration::from_millis(2200);
/// The same for a backup connection that is not proven yet: one comment is missing.
pub(super) const BACKUP_PROGRESS_TIMEOUT: Duration = Duration::from_millis(1400);
/// This much of an unfinished field counts as progress, as a complete one does.
pub(super) const PROGRESS_BYTES: usize = 16 << 10;
/// A field may be unfinished for this long on the only connection: a backup may still deliver the event in time.
pub(super) const LONE_FIELD_TIMEOUT: Duration = Duration::from_millis(6000);
/// A connection that delivers bytes, but neither a complete field nor [`PROGRESS_BYTES`] of one, is closed after this. Beside two
/// connections with unfinished fields, a third is opened after this.
pub(super) const MAX_FIELD_DURATION: Duration = Duration::from_secs(20);

/// Identifies a connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionId(u64);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogCloseReason {
    /// It delivered no byte for [`NOTIFICATION_DEADLINE`], or trickled for [`MAX_FIELD_DURATION`]; the log names both so.
    Silent,
    /// Another one has delivered the next event, or is alive and newer.
    Redundant,
    /// All connections are overdue and no more may be open: a fresh one takes its place.
    Replaced,
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    Open(ConnectionId),
    Close(ConnectionId, LogCloseReason),
}

/// What a connection has delivered; all zero for the head of its response.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Received {
    pub(super) bytes: usize,
    /// Fields that are now complete.
    pub(super) completed_fields: u64,
    /// An event or a field has begun and is not complete.
    pub(super) unfinished: bool,
}

/// What a connection is to the set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionRole {
    /// It is the one that is followed: it was opened while no other was, or has delivered the next event.
    Primary,
    /// It was opened beside overdue ones, and has delivered no event yet.
    Backup,
}

/// Whether an event has begun on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// All that was received is complete.
    BetweenEvents,
    /// An event or a field has begun.
    WithinEvent,
}

#[derive(Clone, Debug)]
struct TrackedConnection {
    id: ConnectionId,
    role: ConnectionRole,
    read_state: ReadState,
    opened_at: Duration,
    last_byte_at: Duration,
    /// The last complete field.
    last_field_at: Duration,
    /// The last complete field, or the last time that `PROGRESS_BYTES` of one had arrived.
    last_progress_at: Duration,
    bytes_since_progress: usize,
}

impl TrackedConnection {
    fn new(id: ConnectionId, now: Duration, role: ConnectionRole) -> Self {
        TrackedConnection {
            id,
            role,
            read_state: ReadState::BetweenEvents,
            opened_at: now,
            last_byte_at: now,
            last_field_at: now,
            last_progress_at: now,
            bytes_since_progress: 0,
        }
    }

    fn received(&mut self, now: Duration, received: Received) {
        self.last_byte_at = now;
        self.bytes_since_progress += received.bytes;
        self.read_state = match received.unfinished {
            true => ReadState::WithinEvent,
            false => ReadState::BetweenEvents,
        };
        let has_completed_field = received.completed_fields > 0;
        if has_completed_field {
            self.last_field_at = now;
        }
        if has_completed_field || self.bytes_since_progress >= PROGRESS_BYTES {
            self.last_progress_at = now;
            self.bytes_since_progress = 0;
        }
    }

    /// Whether it has delivered complete fields for as long as any connection is given.
    fn is_proven(&self) -> bool {
        self.last_field_at >= self.opened_at + NOTIFICATION_DEADLINE
    }

    /// How long it may make no progress.
    fn progress_timeout(&self) -> Duration {
        match self.role {
            ConnectionRole::Backup if !self.is_proven() => BACKUP_PROGRESS_TIMEOUT,
            ConnectionRole::Backup | ConnectionRole::Primary => PROGRESS_TIMEOUT,
        }
    }

    /// When another is to be opened beside it, unless it delivers something first; its field may be unfinished for
    /// `field_timeout`.
    fn overdue_at(&self, field_timeout: Duration) -> Duration {
        let progress_due_at = self.last_progress_at + self.progress_timeout();
        progress_due_at.min(self.last_field_at + field_timeout)
    }

    /// When it is closed, unless it delivers something first.
    fn close_due_at(&self) -> Duration {
        let trickle_deadline = (self.last_field_at + MAX_FIELD_DURATION)
            .max(self.last_progress_at + NOTIFICATION_DEADLINE);
        trickle_deadline.min(self.last_byte_at + NOTIFICATION_DEADLINE)
    }

    /// When a fresh one may take its place, unless it delivers something first.
    fn replaceable_at(&self) -> Duration {
        (self.opened_at + NOTIFICATION_DEADLINE).max(self.last_byte_at + PROGRESS_TIMEOUT)
    }
}

/// The connections to one log.
#[derive(Debug)]
pub(super) struct ConnectionSet {
    reconnect: Reconnect,
    /// In the order in which they were opened.
    open: Vec<TrackedConnection>,
    opened_count: u64,
    last_opened_at: Duration,
    /// No connection is opened earlier: the backoff after one that ended.
    not_before: Duration,
    /// How much later than it could be the next backup is opened, so that a fleet is not in step.
    jitter: Duration,
    /// Connections to close because of what another one delivered.
    redundant: Vec<ConnectionId>,
}

impl ConnectionSet {
    /// No connection yet; the first is opened at once.
    pub(super) fn new(reconnect: Reconnect) -> Self {
        ConnectionSet {
            reconnect,
            open: Vec::with_capacity(MAX_OPEN),
            opened_count: 0,
            last_opened_at: Duration::ZERO,
            not_before: Duration::ZERO,
            jitter: Duration::ZERO,
            redundant: Vec::with_capacity(MAX_OPEN),
        }
    }

    /// The log has another address: the driver has closed all connections, and the next is opened at once.
    pub(super) fn address_changed(&mut self, now: Duration) {
        self.open.clear();
        self.redundant.clear();
        self.not_before = now;
    }

    /// A connection has delivered something.
    pub(super) fn received(&mut self, id: ConnectionId, now: Duration, received: Received) {
        let Some(index) = self.index(id) else { return };
        self.open[index].received(now, received);
        if !self.open[index].is_proven() {
            return;
        }
        // An older one is not needed beside it, unless an event has begun on that.
        let older: Vec<ConnectionId> = self.open[..index]
            .iter()
            .filter(|connection| connection.read_state == ReadState::BetweenEvents)
            .map(|connection| connection.id)
            .collect();
        self.remove_redundant(|id| older.contains(&id));
    }

    /// A connection has delivered the next event: it is followed, and the others are closed.
    pub(super) fn event_received(&mut self, id: ConnectionId) {
        let Some(index) = self.index(id) else { return };
        self.open[index].role = ConnectionRole::Primary;
        self.remove_redundant(|other| other != id);
    }

    /// A connection has ended.
    pub(super) fn ended(&mut self, id: ConnectionId, now: Duration) {
        let Some(index) = self.index(id) else { return };
        self.open.remove(index);
        let since_last_opened = now.saturating_sub(self.last_opened_at);
        self.not_before = now + self.reconnect.next_pause(since_last_opened);
    }

    /// The next action that is due; to be polled until there is none.
    pub(super) fn poll(&mut self, now: Duration) -> Option<Action> {
        if let Some(id) = self.redundant.pop() {
            return Some(Action::Close(id, LogCloseReason::Redundant));
        }
        let mut open = self.open.iter();
        if let Some(index) = open.position(|connection| connection.close_due_at() <= now) {
            return Some(self.close(index, LogCloseReason::Silent));
        }
        if self.next_open_at() > now {
            return None;
        }
        if self.open.len() < MAX_OPEN {
            return Some(Action::Open(self.open(now)));
        }
        let index = self.index_to_replace(now)?;
        Some(self.close(index, LogCloseReason::Replaced))
    }

    /// When to poll next, unless something is received first.
    pub(super) fn next_poll_at(&self) -> Duration {
        let closes = self.open.iter().map(TrackedConnection::close_due_at);
        closes.fold(self.next_open_at(), Duration::min)
    }

    fn index(&self, id: ConnectionId) -> Option<usize> {
        self.open.iter().position(|connection| connection.id == id)
    }

    fn close(&mut self, index: usize, reason: LogCloseReason) -> Action {
        Action::Close(self.open.remove(index).id, reason)
    }

    fn remove_redundant(&mut self, is_redundant: impl Fn(ConnectionId) -> bool) {
        let redundant = self
            .open
            .iter()
            .map(|connection| connection.id)
            .filter(|id| is_redundant(*id));
        self.redundant.extend(redundant);
        self.open.retain(|connection| !is_redundant(connection.id));
    }

    fn open(&mut self, now: Duration) -> ConnectionId {
        let id = ConnectionId(self.opened_count);
        let role = match self.open.is_empty() {
            true => ConnectionRole::Primary,
            false => ConnectionRole::Backup,
        };
        self.open.push(TrackedConnection::new(id, now, role));
        self.opened_count += 1;
        self.last_opened_at = now;
        self.not_before = now;
        self.jitter = self.reconnect.backup_jitter();
        id
    }

    /// When the next connection is due: after the backoff, and not while an open one makes progress.
    fn next_open_at(&self) -> Duration {
        let field_timeout = match self.open.len() {
            1 => LONE_FIELD_TIMEOUT,
            _ => MAX_FIELD_DURATION,
        };
        let overdue = self
            .open
            .iter()
            .map(|connection| connection.overdue_at(field_timeout))
            .max();
        let Some(all_overdue_at) = overdue else {
            return self.not_before;
        };
        let due_at = self.not_before.max(all_overdue_at + self.jitter);
        match self.open.len() < MAX_OPEN {
            true => due_at,
            false => due_at.max(self.replacement_at()),
        }
    }

    /// When an open one may be replaced: any that has had its time, or else the newest once it makes no progress. The older ones
    /// stay until they have had their time, so that a log that is slow on each connection is still read.
    fn replacement_at(&self) -> Duration {
        let replaceable = self
            .open
            .iter()
            .map(TrackedConnection::replaceable_at)
            .min();
        let newest_overdue = self
            .open
            .last()
            .map(|newest| newest.last_progress_at + PROGRESS_TIMEOUT);
        replaceable
            .into_iter()
            .chain(newest_overdue)
            .min()
            .unwrap_or_default()
    }

    /// The index of the one that is replaced.
    fn index_to_replace(&self, now: Duration) -> Option<usize> {
        let replaceable = self
            .open
            .iter()
            .position(|connection| connection.replaceable_at() <= now);
        replaceable.or(self.open.len().checked_sub(1))
    }
}

#[cfg(test)]
mod tests;
