//! The change log: numbered events about the list of engines, applied once and in order.

use crate::desk::Desk;
use crate::engines::Engines;
use crate::reconnect::Reconnect;
use bytes::Bytes;
use garnetwall::api::Condition;
use garnetwall_settings::Names;
use http_body_util::BodyExt;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch::{self, error::RecvError};
use tokio::time::{sleep, timeout_at, Instant};

/// Protocol: the path of the log and the field that names the last event had.
const PATH: &str = "/changes";
pub const LAST_EVENT: &str = "last-event-id";
/// Protocol: a comment comes each second, and what the log tells counts as told 7 s later. A stream of which no line has come
/// whole for this long is silent, and so is a connection that has brought none this long after it was begun. Two comments
/// are missed then, so that one that is late costs no new connection; and two silent connections in a row, with a pause after
/// each (`reconnect`), are over 6 s after the last line, when the third is begun.
const SILENT: Duration = Duration::from_millis(2500);
/// More than any list in one event; what is longer is no event.
const LONGEST_EVENT: usize = 4 << 20;

/// One numbered change.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub number: u64,
    /// The whole list, or only what has changed.
    pub whole: bool,
    pub lines: Vec<EngineLine>,
}

/// An engine as the log has it; `came_up` is in Unix seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLine {
    pub id: String,
    pub address: SocketAddr,
    pub zone: u32,
    pub kind: usize,
    pub cell: u32,
    pub came_up: Option<f64>,
    pub condition: Condition,
}

/// Decodes an event, or says what is wrong with it.
pub fn event(json: &Value, names: &Names) -> Result<Event, String> {
    let number = json.get("seq").and_then(Value::as_u64).ok_or("seq: a number expected")?;
    let Some(fleet) = json.get("fleet") else {
        return Ok(Event { number, whole: false, lines: Vec::new() });
    };
    let whole = fleet.get("full").and_then(Value::as_bool).ok_or("fleet.full: true or false expected")?;
    let lines = fleet.get("servers").and_then(Value::as_array).ok_or("fleet.servers: a list expected")?;
    let line = |(i, one): (usize, &Value)| {
        engine_line(one, names).map_err(|what| format!("fleet.servers.{i}.{what}"))
    };
    Ok(Event { number, whole, lines: lines.iter().enumerate().map(line).collect::<Result<_, _>>()? })
}

fn engine_line(json: &Value, names: &Names) -> Result<EngineLine, String> {
    let text =
        |key: &str| json.get(key).and_then(Value::as_str).ok_or_else(|| format!("{key}: a text expected"));
    let number = |key: &str| match json.get(key) {
        None | Some(Value::Null) => Ok(0),
        Some(value) => value.as_u64().ok_or_else(|| format!("{key}: a number expected")),
    };
    let index = |key: &str, names: &[String]| match json.get(key) {
        None | Some(Value::Null) => Ok(0),
        Some(Value::String(name)) => names
            .iter()
            .position(|n| *n == name.replace([' ', ','], "_"))
            .ok_or_else(|| format!("{key}: '{name}' is not in the settings")),
        Some(other) => Err(format!("{key}: {other} is no name")),
    };
    let condition = match text("state")? {
        "SERVING" => Condition::Ready,
        "DRAINING" => Condition::Draining,
        "DELETED" => Condition::Gone,
        other => return Err(format!("state: '{other}' is unknown")),
    };
    Ok(EngineLine {
        id: text("id")?.to_string(),
        address: text("addr")?.parse().map_err(|_| "addr: an address with its port expected".to_string())?,
        zone: index("zone", &names.zones)? as u32,
        kind: index("kind", &names.kinds)?,
        cell: u32::try_from(number("cell")?).map_err(|_| "cell: too large".to_string())?,
        came_up: Some(number("started_ms")?).filter(|ms| *ms != 0).map(|ms| ms as f64 / 1000.0),
        condition,
    })
}

/// One server-sent event.
#[derive(Debug, Default, PartialEq)]
pub struct Sent {
    pub number: Option<u64>,
    pub data: Vec<u8>,
}

/// Server-sent events out of the bytes of a stream.
#[derive(Default)]
pub struct Stream {
    rest: Vec<u8>,
    /// So many bytes of the rest have no line feed.
    searched: usize,
    event: Sent,
    /// Lines that have come whole.
    pub lines: u64,
}

impl Stream {
    /// Takes bytes in and gives the events that are now whole; an error where one is too long.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Sent>, String> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.rest.iter().skip(self.searched).position(|b| *b == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=self.searched + end).collect();
            self.searched = 0;
            self.lines += 1;
            let line = line.strip_suffix(b"\n").unwrap_or(&line);
            events.extend(self.line(line.strip_suffix(b"\r").unwrap_or(line)));
        }
        self.searched = self.rest.len();
        if self.rest.len() + self.event.data.len() > LONGEST_EVENT {
            return Err("an event is too long".into());
        }
        Ok(events)
    }

    fn line(&mut self, line: &[u8]) -> Option<Sent> {
        if line.is_empty() {
            return Some(std::mem::take(&mut self.event)).filter(|event| !event.data.is_empty());
        }
        let value = |name: &[u8]| {
            let value = line.strip_prefix(name)?.strip_prefix(b":")?;
            Some(value.strip_prefix(b" ").unwrap_or(value))
        };
        if let Some(number) = value(b"id") {
            self.event.number = std::str::from_utf8(number).ok().and_then(|text| text.parse().ok());
        } else if let Some(data) = value(b"data") {
            if !self.event.data.is_empty() {
                self.event.data.push(b'\n');
            }
            self.event.data.extend_from_slice(data);
        }
        None
    }
}

/// Until the log is at another address than this.
async fn moved(log: &mut watch::Receiver<SocketAddr>, from: SocketAddr) -> Result<(), RecvError> {
    log.wait_for(|to| *to != from).await.map(drop)
}

/// Follows the log: where it is and how far it has been applied.
pub struct Follower {
    /// Where the log is; a reload may name another address.
    pub log: watch::Receiver<SocketAddr>,
    pub last: u64,
    pub names: Names,
    pub engines: Arc<Engines>,
    pub desk: Arc<Desk>,
    /// The number of the event that was malformed last: it is passed over when it comes again.
    pub malformed: Option<u64>,
    /// The log is lost, and that was logged.
    pub lost: bool,
}

impl Follower {
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
                end = self.one_connection(log, begun + SILENT) => end,
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

    /// One connection to its end. Only whole lines show that the log lives: the first is due by `due`, and each puts that off.
    async fn one_connection(&mut self, log: SocketAddr, mut due: Instant) -> Result<(), String> {
        let answer = timeout_at(due, self.engines.open_log(log, PATH, LAST_EVENT, self.last));
        let mut body = answer.await.map_err(|_| "no answer")??;
        tracing::info!(%log, last = self.last, "change log connected");
        self.lost = false;
        let mut stream = Stream::default();
        loop {
            let Some(frame) = timeout_at(due, body.frame()).await.map_err(|_| "silent")? else {
                return Ok(());
            };
            let bytes = frame.map_err(|e| e.to_string())?.into_data().unwrap_or_else(|_| Bytes::new());
            let lines = stream.lines;
            for sent in stream.feed(&bytes)? {
                self.apply(&sent)?;
            }
            if stream.lines > lines {
                due = Instant::now() + SILENT;
            }
        }
    }

    /// Applies an event once and in order. A malformed one ends the connection; when it comes again on the next
    /// it is passed over.
    fn apply(&mut self, sent: &Sent) -> Result<(), String> {
        let expected = self.last.saturating_add(1);
        let json: Value = serde_json::from_slice(&sent.data).unwrap_or(Value::Null);
        let event = event(&json, &self.names);
        let number = event.as_ref().map_or(sent.number.unwrap_or(expected), |event| event.number);
        match event {
            _ if number < expected => {}
            Ok(event) if number > expected && !event.whole => {
                return Err(format!("event {number} came where {expected} was due"));
            }
            Ok(event) => {
                self.last = number;
                self.desk.listed(&self.engines.listed(&event), event.whole);
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

#[cfg(test)]
mod tests;
