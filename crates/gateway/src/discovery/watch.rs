//! Watches the change log and passes on each numbered event once and in order.
//!
//! [`ConnectionSet`] decides which connections to open and close, and [`EventSequence`] whether an event is applied.
//! This module performs the I/O for both. Errors of connections are logged and lead to further connections; the watch
//! itself never fails.

use super::connection::{self, OpenError};
use super::connection_set::{Action, ConnectionId, ConnectionSet, LogCloseReason, Received};
use super::event::{Event, NameIndex};
use super::sequence::{EventOutcome, EventSequence, SequenceError};
use super::stream::{EventParser, EventTooLong};
use crate::discovery::reconnect::ReconnectBackoff;
use crate::supervision::Supervisor;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch::{self, error::RecvError};
use tokio::time::{sleep_until, Instant};

/// The error that ended a connection.
#[derive(Debug, Error)]
enum WatchError {
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error("reading from the change log failed: {0}")]
    Read(#[from] hyper::Error),
    #[error(transparent)]
    TooLong(#[from] EventTooLong),
    #[error(transparent)]
    Sequence(#[from] SequenceError),
    #[error("the change log connection delivered no complete line in time")]
    Silent,
}

/// A step in the life of a connection.
enum LogStep {
    /// The log answered with status 200. Contains the body to read events from.
    Opened(Incoming),
    /// Bytes of the body arrived. Contains the rest of the body and these bytes.
    Received(Incoming, Bytes),
    /// The connection ended: `Ok` if the log closed the stream regularly, otherwise with the error.
    Ended(Result<(), WatchError>),
}

/// A step, and the connection that took it.
struct ConnectionStep {
    id: ConnectionId,
    step: LogStep,
}

/// Opens a connection to the log.
async fn open(log: SocketAddr, last_event: u64, supervisor: Supervisor) -> LogStep {
    match connection::open(log, last_event, &supervisor).await {
        Ok(body) => LogStep::Opened(body),
        Err(error) => LogStep::Ended(Err(error.into())),
    }
}

/// Reads the next bytes of a body.
async fn read(mut body: Incoming) -> LogStep {
    match body.frame().await {
        None => LogStep::Ended(Ok(())),
        Some(Err(error)) => LogStep::Ended(Err(error.into())),
        Some(Ok(frame)) => LogStep::Received(body, frame.into_data().unwrap_or_default()),
    }
}

/// The state of a connection to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogConnectionState {
    /// The connection is being opened; the log has not answered yet.
    Connecting,
    /// The log has answered, and events are being read.
    Streaming,
}

/// A connection that is open or being opened. Dropping it closes it.
struct LogConnection {
    id: ConnectionId,
    state: LogConnectionState,
    parser: EventParser,
    /// The pending I/O of the connection.
    next_step: Pin<Box<dyn Future<Output = LogStep> + Send>>,
}

impl LogConnection {
    fn open(id: ConnectionId, log: SocketAddr, last_event: u64, supervisor: Supervisor) -> Self {
        LogConnection {
            id,
            state: LogConnectionState::Connecting,
            parser: EventParser::default(),
            next_step: Box::pin(open(log, last_event, supervisor)),
        }
    }
}

/// Waits for the next step of any connection; forever if there is no connection.
async fn next_step(connections: &mut [LogConnection]) -> ConnectionStep {
    poll_fn(|context| {
        for connection in connections.iter_mut() {
            if let Poll::Ready(step) = connection.next_step.as_mut().poll(context) {
                let id = connection.id;
                return Poll::Ready(ConnectionStep { id, step });
            }
        }
        Poll::Pending
    })
    .await
}

/// Waits until the address of the log differs from `current`.
///
/// # Errors
///
/// Returns an error if the sender of the address is dropped first.
async fn address_change(
    log: &mut watch::Receiver<SocketAddr>,
    current: SocketAddr,
) -> Result<(), RecvError> {
    log.wait_for(|address| *address != current).await?;
    Ok(())
}

/// A watch on the change log.
pub struct ChangeLogWatch {
    /// The address of the log, which a configuration reload may change.
    log: watch::Receiver<SocketAddr>,
    sequence: EventSequence,
    /// Called with each accepted event.
    apply: Box<dyn FnMut(Event) + Send>,
    connections: Vec<LogConnection>,
    /// Whether the loss of the log has been logged and no connection established since.
    is_lost: bool,
    reconnect: ReconnectBackoff,
    supervisor: Supervisor,
    /// The moment from which the times passed to the connection set are counted.
    started: Instant,
}

impl ChangeLogWatch {
    /// Creates a watch on the log at the current address in `log`. `last_event` is the number of the last event that
    /// was applied before; each later one is passed to `apply`. `names` resolves the names of zones and kinds, and
    /// `reconnect` sets the pace of connections.
    pub fn new(
        log: watch::Receiver<SocketAddr>,
        last_event: u64,
        names: NameIndex,
        apply: Box<dyn FnMut(Event) + Send>,
        reconnect: ReconnectBackoff,
        supervisor: Supervisor,
    ) -> Self {
        ChangeLogWatch {
            log,
            sequence: EventSequence::new(last_event, names),
            apply,
            connections: Vec::new(),
            is_lost: false,
            reconnect,
            supervisor,
            started: Instant::now(),
        }
    }

    /// Follows the log until the future is dropped; it never completes. An error of a connection is logged as a warning
    /// only if no other connection is streaming, and only once until the log answers a connection again.
    ///
    /// It may be called again after a panic. It then opens new connections; an event whose handling panicked is not
    /// applied again.
    pub async fn follow(&mut self) {
        if !self.connections.is_empty() {
            let last_event = self.sequence.last();
            tracing::error!(
                last_event,
                "change log watch begins again after a panic; the last event may not be applied"
            );
            self.connections.clear();
        }
        let mut addresses = self.log.clone();
        let mut set = ConnectionSet::new(self.reconnect.clone());
        let mut address = *addresses.borrow_and_update();
        loop {
            self.run_actions(&mut set, address);
            let next_poll = self.started + set.next_poll_at();
            tokio::select! {
                biased;
                // The log at the new address continues the event numbers of the old one, so the sequence is kept. The
                // old log is no longer read.
                Ok(()) = address_change(&mut addresses, address) => {
                    address = *addresses.borrow_and_update();
                    self.connections.clear();
                    set.address_changed(self.now());
                }
                next = next_step(&mut self.connections) => {
                    self.handle_step(&mut set, next);
                }
                () = sleep_until(next_poll) => {}
            }
        }
    }

    /// Returns the current time for the connection set.
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Runs the actions of the connection set that are due.
    fn run_actions(&mut self, set: &mut ConnectionSet, log: SocketAddr) {
        while let Some(action) = set.poll(self.now()) {
            match action {
                Action::Open(id) => self.open(id, log),
                Action::Close(id, reason) => self.close(id, reason),
            }
        }
    }

    fn open(&mut self, id: ConnectionId, log: SocketAddr) {
        let last_event = self.sequence.last();
        let open_connections = self.connections.len();
        if open_connections > 0 {
            tracing::info!(
                open_connections,
                last_event,
                "all open change log connections are overdue; opening another one"
            );
        }
        self.connections.push(LogConnection::open(
            id,
            log,
            last_event,
            self.supervisor.clone(),
        ));
    }

    fn close(&mut self, id: ConnectionId, reason: LogCloseReason) {
        tracing::debug!(?reason, "change log connection closed");
        self.connections.retain(|connection| connection.id != id);
        if reason == LogCloseReason::Silent {
            self.log_failure(&WatchError::Silent);
        }
    }

    /// Handles a step of a connection. A step of a connection that is no longer open is ignored.
    fn handle_step(&mut self, set: &mut ConnectionSet, next: ConnectionStep) {
        let ConnectionStep { id, step } = next;
        let mut connections = self.connections.iter();
        let Some(index) = connections.position(|connection| connection.id == id) else {
            return;
        };
        let now = self.now();
        let result = match step {
            LogStep::Opened(body) => {
                self.opened(set, index, now, body);
                return;
            }
            LogStep::Received(body, bytes) => {
                self.connections[index].next_step = Box::pin(read(body));
                match self.received(set, index, now, &bytes) {
                    Ok(()) => return,
                    Err(error) => Err(error),
                }
            }
            LogStep::Ended(result) => result,
        };
        set.ended(id, now);
        self.connections.remove(index);
        match result {
            Ok(()) => {
                let last_event = self.sequence.last();
                tracing::info!(last_event, "the change log ended the event stream");
            }
            Err(error) => self.log_failure(&error),
        }
    }

    fn opened(&mut self, set: &mut ConnectionSet, index: usize, now: Duration, body: Incoming) {
        tracing::info!(
            last_event = self.sequence.last(),
            "connected to the change log"
        );
        self.is_lost = false;
        let connection = &mut self.connections[index];
        connection.state = LogConnectionState::Streaming;
        connection.next_step = Box::pin(read(body));
        set.received(connection.id, now, Received::default());
    }

    /// Parses bytes that a connection received, and applies the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error that ends the connection: an event is too long, malformed or follows a gap.
    fn received(
        &mut self,
        set: &mut ConnectionSet,
        index: usize,
        now: Duration,
        bytes: &[u8],
    ) -> Result<(), WatchError> {
        let LogConnection { id, parser, .. } = &mut self.connections[index];
        let fields_before = parser.completed_fields;
        let events = parser.feed(bytes)?;
        let received = Received {
            bytes: bytes.len(),
            completed_fields: parser.completed_fields - fields_before,
            unfinished: parser.is_unfinished(),
        };
        set.received(*id, now, received);
        for event in events {
            match self.sequence.accept(&event)? {
                EventOutcome::Duplicate => continue,
                EventOutcome::Skipped => {}
                EventOutcome::Due(event) => (self.apply)(event),
            }
            set.event_received(*id);
        }
        Ok(())
    }

    /// Logs the error of a connection. It is a warning that the log is lost if no other connection is streaming and the
    /// loss has not been logged yet, otherwise a debug message.
    fn log_failure(&mut self, error: &WatchError) {
        let last_event = self.sequence.last();
        let is_streaming =
            |connection: &LogConnection| connection.state == LogConnectionState::Streaming;
        if self.connections.iter().any(is_streaming) {
            tracing::debug!(%error, last_event, "change log connection failed; another one is still streaming");
            return;
        }
        if self.is_lost {
            tracing::debug!(%error, last_event, "another change log connection failed; the change log is still lost");
            return;
        }
        tracing::warn!(%error, last_event, "change log lost");
        self.is_lost = true;
    }
}

#[cfg(test)]
mod tests;
