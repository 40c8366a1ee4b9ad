//! Hollow watchers: each follows the change log over a real connection and keeps only when it saw which event.

use super::facts::Recorder;
use bytes::Bytes;
use http_body_util::BodyExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A stream of which nothing has come for this long is silent.
const SILENT: Duration = Duration::from_millis(2_500);
/// A watcher connects again after a random time up to this.
const RECONNECT_MS: u64 = 1_000;
/// Connections that come up at a time, so that the log's accept queue holds them.
const AT_A_TIME: usize = 200;
const NEXT_LOT: Duration = Duration::from_millis(20);
/// So much of a line tells its number.
const LINE_START: usize = 32;

/// Watchers that run; they end with the runtime.
pub struct Watchers {
    connected: Arc<AtomicUsize>,
}

impl Watchers {
    /// Starts so many, which have the events up to `last`.
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
            if number % AT_A_TIME == AT_A_TIME - 1 {
                sleep(NEXT_LOT).await;
            }
        }
        Watchers { connected }
    }

    /// How many have a stream.
    pub fn connected(&self) -> usize {
        self.connected.load(Ordering::Relaxed)
    }
}

struct Watcher {
    log: SocketAddr,
    last: u64,
    recorder: Recorder,
    connected: Arc<AtomicUsize>,
    /// Of its own, so that watchers do not connect in step.
    random: SmallRng,
}

impl Watcher {
    async fn follow(mut self) {
        loop {
            if let Err(fault) = self.one_connection().await {
                tracing::debug!(fault, "watcher lost the log");
            }
            let pause = self.random.random_range(0..RECONNECT_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn one_connection(&mut self) -> Result<(), String> {
        let mut connection = super::http_client::connect(self.log)
            .await
            .map_err(|e| e.to_string())?;
        let mut request = super::http_client::get("/changes");
        request
            .headers_mut()
            .insert("last-event-id", http::HeaderValue::from(self.last));
        let answer = timeout(SILENT, connection.send_request(request)).await;
        let response = answer
            .map_err(|_| "no answer")?
            .map_err(|e| e.to_string())?;
        self.connected.fetch_add(1, Ordering::Relaxed);
        let end = self.read(response.into_body()).await;
        self.connected.fetch_sub(1, Ordering::Relaxed);
        end
    }

    async fn read(&mut self, mut body: hyper::body::Incoming) -> Result<(), String> {
        let mut lines = LineStarts::default();
        loop {
            let frame = timeout(SILENT, body.frame()).await.map_err(|_| "silent")?;
            let Some(frame) = frame else { return Ok(()) };
            let Ok(bytes) = frame.map_err(|e| e.to_string())?.into_data() else {
                continue;
            };
            for number in lines.feed(&bytes) {
                self.saw(number);
            }
        }
    }

    fn saw(&mut self, number: u64) {
        let now = self.recorder.now();
        let mut facts = self.recorder.facts();
        // One event of the whole list brings all changes up to its number.
        for change in facts
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

/// Numbers of events out of a stream's bytes, of which nothing is kept but the beginning of the line that is open.
#[derive(Default)]
pub struct LineStarts {
    start: Vec<u8>,
    /// The number of the event that is open; it has come whole with its empty line.
    number: Option<u64>,
}

impl LineStarts {
    pub fn feed(&mut self, bytes: &Bytes) -> Vec<u64> {
        let mut whole = Vec::new();
        let mut parts = bytes.split(|byte| *byte == b'\n').peekable();
        while let Some(part) = parts.next() {
            let room = LINE_START.saturating_sub(self.start.len()).min(part.len());
            self.start.extend_from_slice(&part[..room]);
            if parts.peek().is_some() {
                whole.extend(self.line());
            }
        }
        whole
    }

    fn line(&mut self) -> Option<u64> {
        let line = std::mem::take(&mut self.start);
        if line.is_empty() {
            return self.number.take();
        }
        let number = line
            .strip_prefix(b"id: ")
            .and_then(|text| std::str::from_utf8(text).ok()?.parse().ok());
        self.number = number.or(self.number);
        None
    }
}
