//! Decides when connections to the change log are opened and closed.
//!
//! The decisions need neither I/O nor a clock: the driver, [`super::watch`], passes in the current time and what was
//! received, and gets back actions. Times are durations since a fixed moment that the driver chooses.
//!
//! A connection is never closed only because it is slow. A log may deliver its first bytes, or the end of a long event,
//! slightly later than any fixed timeout on every connection. If each connection were closed at that timeout, the event
//! would never arrive. Instead, backup connections are opened beside a slow one, and the first that delivers the next
//! event stays.
//!
//! Each connection is classified by these criteria, and may meet several of them. A field is one line of the stream,
//! which may also be a comment or blank. Progress means a complete field, or [`PROGRESS_BYTES`] of an unfinished one.
//!
//! - **Overdue**: it has made no progress for [`PROGRESS_TIMEOUT`] ([`BACKUP_PROGRESS_TIMEOUT`] for a backup that is
//!   not proven), or it has completed no field for [`MAX_FIELD_DURATION`] ([`LONE_FIELD_TIMEOUT`] if it is the only
//!   connection). Once all connections are overdue, a backup is opened, up to [`MAX_OPEN`] connections.
//! - **Proven**: it has completed a field [`NOTIFICATION_DEADLINE`] or later after it was opened. Older connections on
//!   which no event has begun are closed as [`LogCloseReason::Redundant`].
//! - **Replaceable**: it was opened at least [`NOTIFICATION_DEADLINE`] ago and has delivered no byte for
//!   [`PROGRESS_TIMEOUT`], or it is the newest connection and has made no progress for that long. If [`MAX_OPEN`]
//!   connections are open and all are overdue, a replaceable one is closed as [`LogCloseReason::Replaced`] and a new
//!   one opened.
//! - **Silent**: it has delivered no byte for [`NOTIFICATION_DEADLINE`]. It is closed as [`LogCloseReason::Silent`].
//! - **Trickling**: it delivers bytes, but has completed no field for [`MAX_FIELD_DURATION`] and made no progress for
//!   [`NOTIFICATION_DEADLINE`]. It is closed as [`LogCloseReason::Silent`].

use crate::discovery::reconnect::ReconnectBackoff;
use std::time::Duration;

/// The maximum number of concurrent connections to one log.
pub(super) const MAX_OPEN: usize = 3;
/// Protocol: a change counts as notified once this time has passed since the log received it. A connection is given at
/// least this long to deliver its next byte.
pub(super) const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(7);
/// The time without progress after which a connection is overdue. The log sends a comment each second, so two are
/// missing by then.
pub(super) const PROGRESS_TIMEOUT: Duration = Duration::from_millis(2200);
/// The time without progress after which a backup connection that is not proven yet is overdue. One of the log's
/// comments is missing by then.
pub(super) const BACKUP_PROGRESS_TIMEOUT: Duration = Duration::from_millis(1400);
/// The number of bytes of an unfinished field that count as progress, as a complete field does.
pub(super) const PROGRESS_BYTES: usize = 16 << 10;
/// The time without a complete field after which the only open connection is overdue. It is shorter than
/// [`NOTIFICATION_DEADLINE`], so that a backup connection may still deliver the event in time.
pub(super) const LONE_FIELD_TIMEOUT: Duration = Duration::from_millis(6000);
/// The time without a complete field after which a connection is overdue if others are open, and is closed if it also
/// makes no other progress.
pub(super) const MAX_FIELD_DURATION: Duration = Duration::from_secs(20);

/// Identifies a connection. Values are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionId(u64);

/// The reason for closing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogCloseReason {
    /// The connection is silent or trickling; both are reported to the operator as the same error.
    Silent,
    /// Another connection has delivered the next event, or a newer one is proven.
    Redundant,
    /// All [`MAX_OPEN`] connections are overdue, and a new connection replaces this one.
    Replaced,
}

/// An action that the driver has to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    Open(ConnectionId),
    Close(ConnectionId, LogCloseReason),
}

/// Data that a connection has delivered. The default value stands for the head of the response, which has no body
/// bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Received {
    pub(super) bytes: usize,
    /// The number of fields that these bytes complete, including comments and blank lines.
    pub(super) completed_fields: u64,
    /// Whether an event or a field has begun and is not complete.
    pub(super) unfinished: bool,
}

/// The role of a connection, which selects its progress timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionRole {
    /// Opened while no other connection was open, or has delivered an event.
    Primary,
    /// Opened while other connections were overdue, and has delivered no event yet.
    Backup,
}

/// Whether a connection is between events or in the middle of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// All events and fields received so far are complete.
    BetweenEvents,
    /// An event or a field has begun and is not complete.
    WithinEvent,
}

#[derive(Clone, Debug)]
struct TrackedConnection {
    id: ConnectionId,
    role: ConnectionRole,
    read_state: ReadState,
    opened_at: Duration,
    last_byte_at: Duration,
    /// When the last field was completed.
    last_field_at: Duration,
    /// When the connection last made progress: it completed a field, or another `PROGRESS_BYTES` of one had arrived.
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

    /// Whether the connection completed a field at an age of [`NOTIFICATION_DEADLINE`] or more.
    fn is_proven(&self) -> bool {
        self.last_field_at >= self.opened_at + NOTIFICATION_DEADLINE
    }

    /// The time without progress after which the connection is overdue.
    fn progress_timeout(&self) -> Duration {
        match self.role {
            ConnectionRole::Backup if !self.is_proven() => BACKUP_PROGRESS_TIMEOUT,
            ConnectionRole::Backup | ConnectionRole::Primary => PROGRESS_TIMEOUT,
        }
    }

    /// The time at which the connection becomes overdue unless it delivers something first. `field_timeout` is the
    /// longest time that it may take to complete a field.
    fn overdue_at(&self, field_timeout: Duration) -> Duration {
        let progress_due_at = self.last_progress_at + self.progress_timeout();
        progress_due_at.min(self.last_field_at + field_timeout)
    }

    /// The time at which the connection is closed as silent or trickling unless it delivers something first.
    fn close_due_at(&self) -> Duration {
        let trickle_deadline = (self.last_field_at + MAX_FIELD_DURATION)
            .max(self.last_progress_at + NOTIFICATION_DEADLINE);
        trickle_deadline.min(self.last_byte_at + NOTIFICATION_DEADLINE)
    }

    /// The time from which a new connection may replace this one unless it delivers something first.
    fn replaceable_at(&self) -> Duration {
        (self.opened_at + NOTIFICATION_DEADLINE).max(self.last_byte_at + PROGRESS_TIMEOUT)
    }
}

/// The open connections to one change log.
#[derive(Debug)]
pub(super) struct ConnectionSet {
    reconnect: ReconnectBackoff,
    /// The open connections, oldest first.
    open: Vec<TrackedConnection>,
    opened_count: u64,
    last_opened_at: Duration,
    /// The earliest time at which a connection may be opened: the end of the backoff after a connection that ended.
    not_before: Duration,
    /// Random delay of the next backup connection, so that the gateways of a fleet do not open theirs simultaneously.
    jitter: Duration,
    /// Connections that the driver still has to close because another one made them redundant.
    redundant: Vec<ConnectionId>,
}

impl ConnectionSet {
    /// Creates a set without connections. The first [`poll`](Self::poll) opens one.
    pub(super) fn new(reconnect: ReconnectBackoff) -> Self {
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

    /// Forgets all connections, which the driver has closed because the address of the log changed. The next connection
    /// is opened without backoff.
    pub(super) fn address_changed(&mut self, now: Duration) {
        self.open.clear();
        self.redundant.clear();
        self.not_before = now;
    }

    /// Records data that a connection delivered, and marks older connections as redundant once this one is proven.
    pub(super) fn received(&mut self, id: ConnectionId, now: Duration, received: Received) {
        let Some(index) = self.index(id) else { return };
        self.open[index].received(now, received);
        if !self.open[index].is_proven() {
            return;
        }
        // Older connections are redundant, except those that are in the middle of an event.
        let older: Vec<ConnectionId> = self.open[..index]
            .iter()
            .filter(|connection| connection.read_state == ReadState::BetweenEvents)
            .map(|connection| connection.id)
            .collect();
        self.remove_redundant(|id| older.contains(&id));
    }

    /// Records that a connection delivered the next event. It becomes the primary, and all others are closed.
    pub(super) fn event_received(&mut self, id: ConnectionId) {
        let Some(index) = self.index(id) else { return };
        self.open[index].role = ConnectionRole::Primary;
        self.remove_redundant(|other| other != id);
    }

    /// Records that a connection ended, and starts the backoff before the next one is opened.
    pub(super) fn ended(&mut self, id: ConnectionId, now: Duration) {
        let Some(index) = self.index(id) else { return };
        self.open.remove(index);
        let since_last_opened = now.saturating_sub(self.last_opened_at);
        self.not_before = now + self.reconnect.next_pause(since_last_opened);
    }

    /// Returns the next action that is due at `now`. The driver calls it until it returns `None`.
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

    /// The time of the next [`poll`](Self::poll) unless something is received or a connection ends first.
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

    /// The time at which the next connection is to be opened, or one to be replaced: after the backoff, and once all
    /// open connections are overdue.
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

    /// The earliest time at which an open connection may be replaced: the first
    /// [`replaceable_at`](TrackedConnection::replaceable_at) of any connection, or the time at which the newest has
    /// made no progress for [`PROGRESS_TIMEOUT`]. Older connections are kept for at least [`NOTIFICATION_DEADLINE`], so
    /// that a log that is slow on every connection can still deliver.
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

    /// The index of the connection to replace: the oldest that is past its
    /// [`replaceable_at`](TrackedConnection::replaceable_at), otherwise the newest.
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
