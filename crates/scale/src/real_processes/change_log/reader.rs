//! Serves the change log's connections. Each reader gets a stream of the events after the one in its `last-event-id`.

use super::addresses::gateway_of;
use super::history::{frame, rendered_data, History, PublishedEvent};
use super::shared::Shared;
use crate::real_processes::observations::Delivery;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::channel::{Channel, Sender};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Interval of comments on an idle stream, from the protocol.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
const COMMENT: &[u8] = b":\n\n";
/// Bytes per second that a stream carries while the list does not change.
pub const COMMENT_BYTES_PER_SECOND: f64 = COMMENT.len() as f64;
/// Timeout for a reader to accept bytes; after it the reader's stream is closed.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(10);
/// Header with the number of the last event that the reader has. Without the header, the reader has no events.
const LAST_EVENT: &str = "last-event-id";
/// Injected fault: delay before each write of a slow log.
const SLOW_LOG_DELAY: Duration = Duration::from_millis(1_400);

/// Accepts and serves connections; never returns.
pub async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(stream, shared.clone()))),
            Err(error) => {
                tracing::warn!(%error, "simulated change log can't accept a connection; retrying");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let Ok(local) = stream.local_addr() else {
        return;
    };
    let gateway = gateway_of(local, shared.engine_ports.len());
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = shared.clone();
        async move {
            let last = request
                .headers()
                .get(LAST_EVENT)
                .and_then(|value| value.to_str().ok()?.parse().ok());
            let (sender, body) = Channel::<Bytes, Infallible>::new(1);
            tokio::spawn(
                ReaderStream {
                    shared,
                    gateway,
                    last_number: last.unwrap_or(0),
                }
                .feed(sender),
            );
            Ok::<_, Infallible>(Response::new(body))
        }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// State of one reader's stream.
struct ReaderStream {
    shared: Arc<Shared>,
    gateway: Option<usize>,
    /// The number of the last event sent.
    last_number: u64,
}

impl ReaderStream {
    async fn feed(mut self, mut sender: Sender<Bytes, Infallible>) {
        let mut last = self.shared.last.subscribe();
        loop {
            last.borrow_and_update();
            if self.shared.faults.slow {
                sleep(SLOW_LOG_DELAY).await;
            }
            let due = join_frames(self.take_unsent());
            self.count_bytes(due.len() as u64);
            if !matches!(
                timeout(SLOW_READER_TIMEOUT, sender.send_data(due)).await,
                Ok(Ok(()))
            ) {
                return;
            }
            // `changed` fails only when the log has been dropped, and then the runtime ends this task as well.
            let _ = timeout(COMMENT_INTERVAL, last.changed()).await;
        }
    }

    fn count_bytes(&self, bytes: u64) {
        let counter = match self.gateway {
            Some(gateway) => &self.shared.bytes_to_gateways[gateway],
            None => &self.shared.bytes_to_watchers,
        };
        counter.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the events that this reader has not been sent, or the whole list if some of them are no longer stored.
    /// Advances `last_number` to the last event.
    fn take_unsent(&mut self) -> Vec<Bytes> {
        let shared = self.shared.clone();
        let mut history = shared.history();
        if self.last_number >= history.last {
            return Vec::new();
        }
        let first = history
            .events
            .front()
            .map_or(history.last + 1, |event| event.number);
        let from = std::mem::replace(&mut self.last_number, history.last);
        if from + 1 < first {
            return self.render_whole_list(&mut history);
        }
        let skip = (from + 1 - first) as usize;
        history
            .events
            .iter()
            .skip(skip)
            .map(|event| self.render(event))
            .collect()
    }

    fn render_whole_list(&self, history: &mut History) -> Vec<Bytes> {
        let port = self
            .gateway
            .map_or(0, |gateway| self.shared.engine_ports[gateway]);
        self.record_delivery(history.last);
        vec![frame(history.last, &rendered_data(&history.whole(), port))]
    }

    fn render(&self, event: &PublishedEvent) -> Bytes {
        let Some(gateway) = self.gateway else {
            return event.rendered.clone();
        };
        if event.withheld_from == Some(gateway) {
            // An empty event keeps the numbers without gaps, so that only the change itself is missing.
            return frame(event.number, &json!({"seq": event.number}).to_string());
        }
        self.record_delivery(event.number);
        frame(
            event.number,
            &rendered_data(&event.data, self.shared.engine_ports[gateway]),
        )
    }

    fn record_delivery(&self, number: u64) {
        let Some(gateway) = self.gateway else { return };
        let delivered_at = self.shared.recorder.now();
        self.shared
            .recorder
            .observations()
            .deliveries
            .push(Delivery {
                number,
                gateway,
                delivered_at,
            });
    }
}

/// Concatenates the frames into one write; returns a comment if there are none.
fn join_frames(frames: Vec<Bytes>) -> Bytes {
    match <[Bytes; 1]>::try_from(frames) {
        Ok([one]) => one,
        Err(none) if none.is_empty() => Bytes::from_static(COMMENT),
        Err(several) => Bytes::from(several.concat()),
    }
}
