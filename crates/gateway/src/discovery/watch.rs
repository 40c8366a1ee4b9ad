//! The watch on the change log: numbered events about the list of engines, applied once and in order. Which connections are open
//! is decided by [`ConnectionSet`], what becomes of an event by [`EventSequence`]; this drives both.

use super::connection::{self, OpenError};
use super::connection_set::{Action, CloseReason, ConnectionId, ConnectionSet, Received};
use super::event::{Event, NameIndex};
use super::sequence::{Admission, EventSequence, SequenceError};
use super::stream::{EventTooLong, Stream};
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

/// Until the log is at another address than this.
async fn moved(log: &mut watch::Receiver<SocketAddr>, from: SocketAddr) -> Result<(), RecvError> {
    log.wait_for(|to| *to != from).await.map(drop)
}

/// What ended a connection, other than its log in good order.
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

/// What comes next on a connection.
enum Step {
    /// It was answered.
    Up(Incoming),
    Bytes(Incoming, Bytes),
    AttemptResult(Result<(), WatchError>),
}

async fn open(log: SocketAddr, last: u64) -> Step {
    match connection::open(log, last).await {
        Ok(body) => Step::Up(body),
        Err(fault) => Step::AttemptResult(Err(fault.into())),
    }
}

async fn read(mut body: Incoming) -> Step {
    match body.frame().await {
        None => Step::AttemptResult(Ok(())),
        Some(Err(fault)) => Step::AttemptResult(Err(fault.into())),
        Some(Ok(frame)) => Step::Bytes(body, frame.into_data().unwrap_or_default()),
    }
}

/// An open connection; it closes when it is dropped.
struct Connection {
    id: ConnectionId,
    stream: Stream,
    /// It was answered.
    up: bool,
    next: Pin<Box<dyn Future<Output = Step> + Send>>,
}

impl Connection {
    fn open(id: ConnectionId, log: SocketAddr, last: u64) -> Self {
        Connection {
            id,
            stream: Stream::default(),
            up: false,
            next: Box::pin(open(log, last)),
        }
    }
}

/// The next step of any of the connections; never, where there is none.
async fn next_step(connections: &mut [Connection]) -> (usize, Step) {
    poll_fn(|cx| {
        for (place, connection) in connections.iter_mut().enumerate() {
            if let Poll::Ready(step) = connection.next.as_mut().poll(cx) {
                return Poll::Ready((place, step));
            }
        }
        Poll::Pending
    })
    .await
}

/// Follows the log: where it is and how far it has been applied.
pub struct Watch {
    /// Where the log is; a reload may name another address.
    log: watch::Receiver<SocketAddr>,
    sequence: EventSequence,
    /// Takes each event that is due.
    apply: Box<dyn FnMut(Event) + Send>,
    connections: Vec<Connection>,
    /// The log is lost, and that was logged.
    lost: bool,
    /// What the times of the connection set count from.
    began: Instant,
}

impl Watch {
    /// A watch on the log after an event that was applied already.
    pub fn new(
        log: watch::Receiver<SocketAddr>,
        last: u64,
        names: NameIndex,
        apply: Box<dyn FnMut(Event) + Send>,
    ) -> Self {
        let sequence = EventSequence::new(last, names);
        Watch {
            log,
            sequence,
            apply,
            connections: Vec::new(),
            lost: false,
            began: Instant::now(),
        }
    }

    /// Reads the log for as long as the gateway runs. Faults that follow one another with no connection between are logged once.
    pub async fn follow(mut self, reconnect: Reconnect) {
        let mut moves = self.log.clone();
        let mut set = ConnectionSet::new(reconnect);
        let mut log = *moves.borrow_and_update();
        loop {
            self.act(&mut set, log);
            let wake = self.began + set.wake();
            tokio::select! {
                biased;
                // Nothing of an old place is listened to any more; the numbers go on.
                Ok(()) = moved(&mut moves, log) => {
                    log = *moves.borrow_and_update();
                    self.connections.clear();
                    set.moved(self.now());
                }
                (place, step) = next_step(&mut self.connections) => self.took(&mut set, place, step),
                () = sleep_until(wake) => {}
            }
        }
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Opens and closes what is due.
    fn act(&mut self, set: &mut ConnectionSet, log: SocketAddr) {
        while let Some(action) = set.poll(self.now()) {
            match action {
                Action::Open(id) => {
                    let (open, last) = (self.connections.len(), self.sequence.last());
                    if open > 0 {
                        tracing::info!(
                            open,
                            last,
                            "change log slow: another connection is opened beside"
                        );
                    }
                    self.connections.push(Connection::open(id, log, last));
                }
                Action::Close(id, reason) => {
                    tracing::debug!(?reason, "change log: connection closed");
                    self.connections.retain(|connection| connection.id != id);
                    if reason == CloseReason::Silent {
                        self.tell_lost(&WatchError::Silent);
                    }
                }
            }
        }
    }

    /// Takes in the next step of a connection.
    fn took(&mut self, set: &mut ConnectionSet, place: usize, step: Step) {
        let now = self.now();
        let connection = &mut self.connections[place];
        let id = connection.id;
        let end = match step {
            Step::Up(body) => {
                tracing::info!(last = self.sequence.last(), "change log connected");
                (connection.up, self.lost) = (true, false);
                connection.next = Box::pin(read(body));
                set.received(id, now, Received::default());
                return;
            }
            Step::Bytes(body, bytes) => {
                connection.next = Box::pin(read(body));
                match self.take(set, place, now, &bytes) {
                    Ok(()) => return,
                    Err(fault) => Err(fault),
                }
            }
            Step::AttemptResult(end) => end,
        };
        set.ended(id, now);
        self.connections.remove(place);
        match end {
            Ok(()) => tracing::info!(last = self.sequence.last(), "change log ended its stream"),
            Err(fault) => self.tell_lost(&fault),
        }
    }

    /// Takes in bytes of a connection, and applies the events that are now whole.
    fn take(
        &mut self,
        set: &mut ConnectionSet,
        place: usize,
        now: Duration,
        bytes: &[u8],
    ) -> Result<(), WatchError> {
        let Connection { id, stream, .. } = &mut self.connections[place];
        let lines = stream.lines;
        let events = stream.feed(bytes)?;
        let lines = stream.lines - lines;
        set.received(
            *id,
            now,
            Received {
                bytes: bytes.len(),
                lines,
                unfinished: stream.is_unfinished(),
            },
        );
        for event in events {
            match self.sequence.take(&event)? {
                Admission::Known => continue,
                Admission::PassedOver => {}
                Admission::Due(event) => (self.apply)(event),
            }
            set.advanced(*id);
        }
        Ok(())
    }

    /// Logs that the log can't be read, unless another connection is up.
    fn tell_lost(&mut self, fault: &WatchError) {
        let last = self.sequence.last();
        if self.lost || self.connections.iter().any(|connection| connection.up) {
            tracing::debug!(%fault, last, "change log still lost");
            return;
        }
        tracing::warn!(%fault, last, "change log lost");
        self.lost = true;
    }
}
