//! Watches the change log: follows its numbered events, and applies each to the engine list once and in order.
//!
//! [`ConnectionSet`] decides which connections are open, [`EventSequence`] what follows from an event; this drives both.

use super::connection::{self, OpenError};
use super::connection_set::{Action, ConnectionId, ConnectionSet, LogCloseReason, Received};
use super::event::{Event, NameIndex};
use super::sequence::{EventOutcome, EventSequence, SequenceError};
use super::stream::{EventParser, EventTooLong};
use crate::discovery::reconnect::Reconnect;
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

/// Why a connection ended, unless the log closed it in good order.
#[derive(Debug, Error)]
enum WatchError {
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error("broken: {0}")]
    Read(#[from] hyper::Error),
    #[error(transparent)]
    TooLong(#[from] EventTooLong),
    #[error(transparent)]
    Sequence(#[from] SequenceError),
    #[error("silent")]
    Silent,
}

/// What happens next on a connection.
enum LogStep {
    /// The log answered, with this body.
    Opened(Incoming),
    /// Bytes of the body arrived.
    Received(Incoming, Bytes),
    /// The connection ended, in good order or by an error.
    Ended(Result<(), WatchError>),
}

/// The next step of one of the connections.
struct ConnectionStep {
    id: ConnectionId,
    step: LogStep,
}

async fn open(log: SocketAddr, last_event: u64) -> LogStep {
    match connection::open(log, last_event).await {
        Ok(body) => LogStep::Opened(body),
        Err(error) => LogStep::Ended(Err(error.into())),
    }
}

async fn read(mut body: Incoming) -> LogStep {
    match body.frame().await {
        None => LogStep::Ended(Ok(())),
        Some(Err(error)) => LogStep::Ended(Err(error.into())),
        Some(Ok(frame)) => LogStep::Received(body, frame.into_data().unwrap_or_default()),
    }
}

/// How far a connection has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogConnectionState {
    /// The log has not answered yet.
    Connecting,
    /// The log has answered; its events are read.
    Streaming,
}

/// An open connection; it closes when it is dropped.
struct LogConnection {
    id: ConnectionId,
    state: LogConnectionState,
    parser: EventParser,
    next_step: Pin<Box<dyn Future<Output = LogStep> + Send>>,
}

impl LogConnection {
    fn open(id: ConnectionId, log: SocketAddr, last_event: u64) -> Self {
        LogConnection {
            id,
            state: LogConnectionState::Connecting,
            parser: EventParser::default(),
            next_step: Box::pin(open(log, last_event)),
        }
    }
}

/// Waits for the next step of any of the connections; forever where there is none.
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

/// Waits until the log is at another address than this.
async fn address_change(
    log: &mut watch::Receiver<SocketAddr>,
    current: SocketAddr,
) -> Result<(), RecvError> {
    log.wait_for(|address| *address != current).await?;
    Ok(())
}

/// A watch on the change log.
pub struct Watch {
    /// The log's address; a reload may change it.
    log: watch::Receiver<SocketAddr>,
    sequence: EventSequence,
    /// Applies each event that is due.
    apply: Box<dyn FnMut(Event) + Send>,
    connections: Vec<LogConnection>,
    /// Whether the log is lost, and that was logged.
    is_lost: bool,
    /// The moment that the connection set's times count from.
    started: Instant,
}

impl Watch {
    /// A watch on the log at the address that `log` holds. The events up to `last_event` were applied already; each later
    /// one is passed to `apply`.
    pub fn new(
        log: watch::Receiver<SocketAddr>,
        last_event: u64,
        names: NameIndex,
        apply: Box<dyn FnMut(Event) + Send>,
    ) -> Self {
        Watch {
            log,
            sequence: EventSequence::new(last_event, names),
            apply,
            connections: Vec::new(),
            is_lost: false,
            started: Instant::now(),
        }
    }

    /// Follows the log for as long as the future is polled. Successive errors without a connection between them are logged
    /// once.
    pub async fn follow(mut self, reconnect: Reconnect) {
        let mut addresses = self.log.clone();
        let mut set = ConnectionSet::new(reconnect);
        let mut address = *addresses.borrow_and_update();
        loop {
            self.run_actions(&mut set, address);
            let next_poll = self.started + set.next_poll_at();
            tokio::select! {
                biased;
                // The log at a new address continues the numbers of the old one, which is not read any more.
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

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Opens and closes the connections that are due.
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
                "change log slow, opening another connection"
            );
        }
        self.connections
            .push(LogConnection::open(id, log, last_event));
    }

    fn close(&mut self, id: ConnectionId, reason: LogCloseReason) {
        tracing::debug!(?reason, "change log connection closed");
        self.connections.retain(|connection| connection.id != id);
        if reason == LogCloseReason::Silent {
            self.log_failure(&WatchError::Silent);
        }
    }

    /// Handles the next step of a connection.
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
                tracing::info!(last_event, "change log stream ended");
            }
            Err(error) => self.log_failure(&error),
        }
    }

    fn opened(&mut self, set: &mut ConnectionSet, index: usize, now: Duration, body: Incoming) {
        tracing::info!(last_event = self.sequence.last(), "change log connected");
        self.is_lost = false;
        let connection = &mut self.connections[index];
        connection.state = LogConnectionState::Streaming;
        connection.next_step = Box::pin(read(body));
        set.received(connection.id, now, Received::default());
    }

    /// Parses bytes of a connection, and applies the events that they complete.
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

    /// Logs that a connection failed: that the log is lost, once, unless another connection is up.
    fn log_failure(&mut self, error: &WatchError) {
        let last_event = self.sequence.last();
        let is_streaming =
            |connection: &LogConnection| connection.state == LogConnectionState::Streaming;
        if self.connections.iter().any(is_streaming) {
            tracing::debug!(%error, last_event, "change log connection failed, others are open");
            return;
        }
        if self.is_lost {
            tracing::debug!(%error, last_event, "change log still lost");
            return;
        }
        tracing::warn!(%error, last_event, "change log lost");
        self.is_lost = true;
    }
}
