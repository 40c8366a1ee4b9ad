//! The watch on the change log: numbered events about the list of engines, applied once and in order.

use super::connection::{self, OpenError};
use super::event::{event_of_text, Event, NameIndex};
use super::stream::{Sent, Stream};
use crate::reconnect::Reconnect;
use bytes::Bytes;
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch::{self, error::RecvError};
use tokio::time::{sleep, timeout_at, Instant};

/// Protocol: a comment comes each second, and what the log tells counts as told 7 s later. A stream of which no line has come
/// whole for this long is silent, and so is a connection that has brought none this long after it was begun. Two comments
/// are missed then, so that one that is late costs no new connection; and two silent connections in a row, with a pause after
/// each (`reconnect`), are over 6 s after the last line, when the third is begun.
const SILENT: Duration = Duration::from_millis(2500);

/// How much longer than the dial time a connection may take to come up after ones that took too long: to a log that is crowded it
/// may come up late each time.
const SLOW_CONNECT: [u32; 3] = [1, 4, 10];

/// Until the log is at another address than this.
async fn moved(log: &mut watch::Receiver<SocketAddr>, from: SocketAddr) -> Result<(), RecvError> {
    log.wait_for(|to| *to != from).await.map(drop)
}

/// Follows the log: where it is and how far it has been applied.
pub struct Watch {
    /// Where the log is; a reload may name another address.
    log: watch::Receiver<SocketAddr>,
    /// The number of the event that was applied last.
    last: u64,
    names: NameIndex,
    /// A connection that is not up by then counts as never made.
    dial: Duration,
    /// Takes each event that is due.
    apply: Box<dyn FnMut(Event) + Send>,
    /// The number of the event that was malformed last: it is passed over when it comes again.
    malformed: Option<u64>,
    /// The log is lost, and that was logged.
    lost: bool,
    /// Connections in a row that took too long to come up or to be answered.
    slow: usize,
}

impl Watch {
    /// A watch on the log after an event that was applied already.
    pub fn new(
        log: watch::Receiver<SocketAddr>,
        last: u64,
        names: NameIndex,
        dial: Duration,
        apply: Box<dyn FnMut(Event) + Send>,
    ) -> Self {
        Watch { log, last, names, dial, apply, malformed: None, lost: false, slow: 0 }
    }

    /// Reads the log for as long as the gateway runs, with a fresh connection after every fault. Faults that
    /// follow one another with no connection between are logged once.
    pub async fn follow(mut self, mut reconnect: Reconnect) {
        let mut moves = self.log.clone();
        loop {
            let log = *moves.borrow_and_update();
            let begun = Instant::now();
            let end = tokio::select! {
                biased;
                // An old stream is not listened to any more; the numbers go on.
                Ok(()) = moved(&mut moves, log) => continue,
                end = self.one_connection(log, begun) => end,
            };
            match end {
                Ok(()) => tracing::info!(last = self.last, "change log ended its stream"),
                Err(fault) if !self.lost => {
                    tracing::warn!(%fault, last = self.last, "change log lost");
                    self.lost = true;
                }
                Err(fault) => tracing::debug!(%fault, last = self.last, "change log still lost"),
            }
            tokio::select! {
                Ok(()) = moved(&mut moves, log) => {}
                () = sleep(reconnect.wait(begun.elapsed())) => {}
            }
        }
    }

    /// How long the next connection may take to come up.
    fn connect_timeout(&self) -> Duration {
        let step = self.slow.min(SLOW_CONNECT.len() - 1);
        (self.dial * SLOW_CONNECT[step]).min(SILENT.max(self.dial))
    }

    /// One connection to its end. Only whole lines show that the log lives: each puts off when the next is due.
    async fn one_connection(&mut self, log: SocketAddr, begun: Instant) -> Result<(), String> {
        let connect = self.connect_timeout();
        let mut due = begun + SILENT;
        // Unless something else ends it, it was too slow.
        let slow = std::mem::replace(&mut self.slow, 0) + 1;
        let answer = timeout_at(due, connection::open(log, self.last, connect)).await;
        let mut body = match answer {
            Ok(Ok(body)) => body,
            Ok(Err(OpenError::NotInTime)) | Err(_) => {
                self.slow = slow;
                return Err("no connection or answer in time".into());
            }
            Ok(Err(fault)) => return Err(fault.to_string()),
        };
        tracing::info!(%log, last = self.last, "change log connected");
        self.lost = false;
        let mut stream = Stream::default();
        loop {
            let Ok(frame) = timeout_at(due, body.frame()).await else {
                return Err("silent".into());
            };
            let Some(frame) = frame else { return Ok(()) };
            let bytes = frame.map_err(|e| e.to_string())?.into_data().unwrap_or_else(|_| Bytes::new());
            let lines = stream.lines;
            for sent in stream.feed(&bytes)? {
                self.take(&sent)?;
            }
            if stream.lines > lines {
                due = Instant::now() + SILENT;
            }
        }
    }

    /// Applies an event once and in order. A malformed one ends the connection; when it comes again on the next
    /// it is passed over.
    fn take(&mut self, sent: &Sent) -> Result<(), String> {
        let expected = self.last.saturating_add(1);
        let event = event_of_text(&sent.data, &self.names);
        let number = event.as_ref().map_or(sent.number.unwrap_or(expected), |event| event.number);
        match event {
            _ if number < expected => {}
            Ok(event) if number > expected && !event.whole => {
                return Err(format!("event {number} came where {expected} was due"));
            }
            Ok(event) => {
                self.last = number;
                (self.apply)(event);
            }
            // One that can't be read does not speak for those that were due before it.
            Err(what) if self.malformed == Some(number) && number == expected => {
                tracing::warn!(event = number, what, "event passed over");
                self.last = number;
            }
            Err(what) => {
                self.malformed = Some(number);
                return Err(format!("event {number}: {what}"));
            }
        }
        Ok(())
    }
}
