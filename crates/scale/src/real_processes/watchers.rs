//! Watchers: each reads the change log over a real connection and records only the times at which it receives events.

use super::http_client::ConnectError;
use super::observations::Recorder;
use bytes::Bytes;
use http_body_util::BodyExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{sleep, timeout, Instant};

/// A stream that carries no bytes for this time has failed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Upper limit of the random delay before a watcher reconnects.
const MAX_RECONNECT_DELAY_MS: u64 = 1_000;
/// Number of connections opened between two pauses; the change log's accept queue has room for them.
const CONNECTS_AT_ONCE: usize = 200;
const CONNECT_INTERVAL: Duration = Duration::from_millis(20);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of bytes stored from the start of a line; enough for the event's number.
const PREFIX_BYTES: usize = 32;

/// Running watchers. They end with the runtime.
pub struct Watchers {
    connected: Arc<AtomicUsize>,
}

impl Watchers {
    /// Starts `count` watchers that have already received the events up to `last`.
    pub async fn start(count: usize, log: SocketAddr, last: u64, recorder: &Recorder) -> Watchers {
        let connected = Arc::new(AtomicUsize::new(0));
        for number in 0..count {
            let random = SmallRng::seed_from_u64(number as u64);
            let (recorder, connected) = (recorder.clone(), connected.clone());
            let watcher = Watcher {
                log,
                last,
                recorder,
                connected,
                random,
            };
            tokio::spawn(watcher.follow());
            if number % CONNECTS_AT_ONCE == CONNECTS_AT_ONCE - 1 {
                sleep(CONNECT_INTERVAL).await;
            }
        }
        Watchers { connected }
    }

    /// Waits until `count` watchers have a stream, at most for `limit`.
    pub async fn wait_connected(&self, count: usize, limit: Duration) {
        let until = Instant::now() + limit;
        while self.connected() < count && Instant::now() < until {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the number of watchers that have a stream.
    pub fn connected(&self) -> usize {
        self.connected.load(Ordering::Relaxed)
    }
}

/// Failure of a watcher's stream; the watcher then reconnects.
#[derive(Debug, Error)]
enum WatchError {
    #[error(transparent)]
    Connect(#[from] ConnectError),
    #[error("change log did not answer in time")]
    NoAnswer,
    #[error("change log sent no bytes in time")]
    Silent,
    #[error(transparent)]
    Stream(#[from] hyper::Error),
}

struct Watcher {
    log: SocketAddr,
    /// Number of the last event received.
    last: u64,
    recorder: Recorder,
    connected: Arc<AtomicUsize>,
    /// Seeded per watcher, so that watchers do not reconnect at the same times.
    random: SmallRng,
}

impl Watcher {
    async fn follow(mut self) {
        loop {
            if let Err(error) = self.follow_once().await {
                tracing::debug!(%error, "watcher lost its stream of the change log; reconnecting");
            }
            let pause = self.random.random_range(0..MAX_RECONNECT_DELAY_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Reads the change log on one connection until the connection ends.
    async fn follow_once(&mut self) -> Result<(), WatchError> {
        let mut connection = super::http_client::connect(self.log).await?;
        let mut request = super::http_client::get("/changes");
        request
            .headers_mut()
            .insert("last-event-id", http::HeaderValue::from(self.last));
        let answer = timeout(SILENCE_TIMEOUT, connection.send_request(request)).await;
        let response = answer.map_err(|_| WatchError::NoAnswer)??;
        self.connected.fetch_add(1, Ordering::Relaxed);
        let end = self.read(response.into_body()).await;
        self.connected.fetch_sub(1, Ordering::Relaxed);
        end
    }

    async fn read(&mut self, mut body: hyper::body::Incoming) -> Result<(), WatchError> {
        let mut parser = EventNumberParser::default();
        loop {
            let frame = timeout(SILENCE_TIMEOUT, body.frame())
                .await
                .map_err(|_| WatchError::Silent)?;
            let Some(frame) = frame else { return Ok(()) };
            let Ok(bytes) = frame?.into_data() else {
                continue;
            };
            for number in parser.feed(&bytes) {
                self.record_received(number);
            }
        }
    }

    fn record_received(&mut self, number: u64) {
        let now = self.recorder.now();
        let mut observations = self.recorder.observations();
        // An event with the whole list covers all changes up to its number.
        for change in observations
            .changes
            .iter_mut()
            .rev()
            .take_while(|change| change.number > self.last)
        {
            if change.number <= number {
                change.seconds.push(now - change.appended);
            }
        }
        self.last = self.last.max(number);
    }
}

/// Parses the numbers of events from a stream's bytes. Stores only the start of the unfinished line.
#[derive(Default)]
pub struct EventNumberParser {
    start: Vec<u8>,
    /// Number of the unfinished event, which an empty line completes.
    number: Option<u64>,
}

impl EventNumberParser {
    /// Parses the next bytes and returns the numbers of the events that they complete.
    pub fn feed(&mut self, bytes: &Bytes) -> Vec<u64> {
        let mut complete = Vec::new();
        let mut parts = bytes.split(|byte| *byte == b'\n').peekable();
        while let Some(part) = parts.next() {
            let missing = PREFIX_BYTES
                .saturating_sub(self.start.len())
                .min(part.len());
            self.start.extend_from_slice(&part[..missing]);
            if parts.peek().is_some() {
                complete.extend(self.parse_field());
            }
        }
        complete
    }

    /// Parses the line in `start` and clears it. Returns the event's number if the line completes an event.
    fn parse_field(&mut self) -> Option<u64> {
        let field = std::mem::take(&mut self.start);
        if field.is_empty() {
            return self.number.take();
        }
        let number = field
            .strip_prefix(b"id: ")
            .and_then(|text| std::str::from_utf8(text).ok()?.parse().ok());
        self.number = number.or(self.number);
        None
    }
}
