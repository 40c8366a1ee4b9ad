//! Stub engines, whose work is a timer. For each gateway, one listener serves the addresses of all engines: a
//! connection's local port identifies the gateway, and its local address the engine.

mod health;

pub use health::Health;

use super::endpoint_list::{self, EngineId};
use super::observations::{self, Attempt, Recorder};
use super::uneven_engines::UnevenEngines;
use bytes::Bytes;
use health::drive_while_up;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// Time that a poll waits for the end of the query, from the protocol.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// A query that is not polled for this time ends, by the protocol.
const ABANDONED_AFTER: Duration = Duration::from_secs(observations::ABANDONED_AFTER_SECONDS);
/// Limit on a statement's size; larger than any statement that the clients send.
const MAX_STATEMENT_BYTES: usize = 64 << 10;
/// Text before the work, in milliseconds, in a statement such as `/* work 35 */`.
const WORK_PREFIX: &str = "/* work ";
/// Cores of an engine; each runs one query.
const CORES: f64 = 8.0;
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A query that an engine has accepted and that has not been cancelled.
struct RunningQuery {
    /// Index into [`observations::Observations::attempts`].
    attempt: usize,
    ends: Instant,
    polled_at: Instant,
    rows: Bytes,
    /// Whether a poll has returned the rows.
    ended: bool,
}

struct Engine {
    health: watch::Sender<Health>,
    state: Mutex<EngineState>,
}

#[derive(Default)]
struct EngineState {
    generation: u32,
    /// Accepted queries by their id in `x-trace`.
    queries: HashMap<String, RunningQuery>,
}

impl Engine {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The stub engines of a run.
pub struct Engines {
    engines: Vec<Engine>,
    recorder: Recorder,
    /// Number of open connections, by gateway.
    connections: Vec<AtomicUsize>,
    /// Number of connections accepted since the start, by gateway.
    connections_made: Vec<AtomicUsize>,
    /// Set if most engines decline attempts, an injected fault.
    uneven: Option<UnevenEngines>,
    /// Port at which each gateway reaches the engines.
    pub ports: Vec<u16>,
}

impl Engines {
    /// Starts the engines and one listener per gateway. `uneven` injects a fault: most engines decline attempts.
    pub async fn start(
        engines: usize,
        gateways: usize,
        recorder: Recorder,
        uneven: bool,
    ) -> std::io::Result<Arc<Engines>> {
        let engine = || Engine {
            health: watch::Sender::new(Health::Up),
            state: Mutex::default(),
        };
        let mut listeners = Vec::with_capacity(gateways);
        for _ in 0..gateways {
            listeners.push(TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).await?);
        }
        let ports = listeners
            .iter()
            .map(|listener| Ok(listener.local_addr()?.port()));
        let engines = Arc::new(Engines {
            engines: std::iter::repeat_with(engine).take(engines).collect(),
            recorder,
            connections: (0..gateways).map(|_| AtomicUsize::new(0)).collect(),
            connections_made: (0..gateways).map(|_| AtomicUsize::new(0)).collect(),
            uneven: uneven.then(UnevenEngines::default),
            ports: ports.collect::<std::io::Result<_>>()?,
        });
        for (gateway, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(engines.clone().accept(listener, gateway));
        }
        Ok(engines)
    }

    /// Number of connections to engines that a gateway has open.
    pub fn connections(&self, gateway: usize) -> usize {
        self.connections[gateway].load(Ordering::Relaxed)
    }

    /// Number of connections to engines that a gateway has opened since the start.
    pub fn connections_made(&self, gateway: usize) -> usize {
        self.connections_made[gateway].load(Ordering::Relaxed)
    }

    /// Ends the engine process at this slot and all queries that it runs. The next engine there has a new generation.
    pub fn kill(&self, slot: usize) {
        let engine = &self.engines[slot];
        engine.health.send_replace(Health::Down);
        let now = self.recorder.now();
        let mut state = engine.state();
        state.generation += 1;
        for running in state
            .queries
            .drain()
            .map(|(_, running)| running)
            .filter(|running| !running.ended)
        {
            self.recorder.observations().attempts[running.attempt].end(now);
        }
    }

    pub fn health(&self, slot: usize) -> Health {
        *self.engines[slot].health.borrow()
    }

    pub fn set_health(&self, slot: usize, health: Health) {
        self.engines[slot].health.send_replace(health);
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, gateway: usize) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(tokio::spawn(self.clone().serve(stream, gateway))),
                Err(error) => {
                    tracing::warn!(%error, "stub engines can't accept a connection; retrying");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves one connection until it ends or its engine's process does.
    async fn serve(self: Arc<Self>, stream: TcpStream, gateway: usize) {
        let _ = stream.set_nodelay(true);
        let slot = stream
            .local_addr()
            .ok()
            .and_then(|local| endpoint_list::slot(local.ip()));
        let Some(slot) = slot.filter(|slot| *slot < self.engines.len()) else {
            return;
        };
        let mut health = self.engines[slot].health.subscribe();
        if *health.borrow_and_update() == Health::Down {
            let _ = stream.set_zero_linger();
            return;
        }
        self.connections[gateway].fetch_add(1, Ordering::Relaxed);
        self.connections_made[gateway].fetch_add(1, Ordering::Relaxed);
        self.recorder
            .observations()
            .connected_engines
            .entry(gateway)
            .or_default()
            .insert(slot);
        let engines = self.clone();
        let service = service_fn(move |request| {
            let engines = engines.clone();
            async move { Ok::<_, Infallible>(engines.call(slot, gateway, request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        drive_while_up(connection, health).await;
        self.connections[gateway].fetch_sub(1, Ordering::Relaxed);
    }

    async fn call(
        &self,
        slot: usize,
        gateway: usize,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_string();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (&head.method, parts.as_slice()) {
            (&Method::GET, ["ping"]) => answer(StatusCode::OK),
            (&Method::GET, ["stats"]) => self.report(slot),
            (&Method::POST, ["c"]) => match Limited::new(body, MAX_STATEMENT_BYTES).collect().await
            {
                Ok(statement) => {
                    self.start_attempt(slot, gateway, &head.headers, &statement.to_bytes())
                        .await
                }
                Err(_) => answer(StatusCode::BAD_REQUEST),
            },
            (&Method::GET, ["c", id, "0"]) => self.poll(slot, id).await,
            (&Method::DELETE, ["c", id]) => self.cancel(slot, id),
            _ => answer(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    fn report(&self, slot: usize) -> Response<Full<Bytes>> {
        let now = Instant::now();
        let state = self.engines[slot].state();
        let running = state
            .queries
            .values()
            .filter(|running| !running.ended && running.ends > now)
            .count();
        let share = (running as f64 / CORES).min(1.0);
        let mut response = answer(StatusCode::OK);
        if let Ok(report) = format!("depth:0;load_share:{share:.2}").parse() {
            response.headers_mut().insert("x-stats", report);
        }
        response
    }

    /// Starts an attempt, and answers as to its first poll; declines the attempt where the injected fault says so.
    async fn start_attempt(
        &self,
        slot: usize,
        gateway: usize,
        head: &HeaderMap,
        statement: &[u8],
    ) -> Response<Full<Bytes>> {
        let id = head
            .get("x-trace")
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default();
        let (Ok(query), Some(work)) = (u64::from_str_radix(id, 16), parse_work(statement)) else {
            return answer(StatusCode::BAD_REQUEST);
        };
        let declined = self
            .uneven
            .as_ref()
            .is_some_and(|uneven| !uneven.accepts(slot, gateway));
        self.record(slot, gateway, query, id, work, declined);
        if declined {
            let mut response = answer(StatusCode::SERVICE_UNAVAILABLE);
            response
                .headers_mut()
                .insert("x-declined", http::HeaderValue::from_static("1"));
            return response;
        }
        self.poll(slot, id).await
    }

    fn record(
        &self,
        slot: usize,
        gateway: usize,
        query: u64,
        id: &str,
        work: Duration,
        declined: bool,
    ) {
        let received_at = self.recorder.now();
        let mut state = self.engines[slot].state();
        let engine = EngineId {
            slot,
            generation: state.generation,
        };
        let attempt = self.recorder.add_attempt(Attempt {
            query,
            gateway,
            engine,
            received_at,
            ended_at: declined.then_some(received_at),
            succeeded: false,
            declined,
            polled_at: received_at,
        });
        if declined {
            return;
        }
        let rows = Bytes::from(format!("{engine}\t{id}\tend\n"));
        let now = Instant::now();
        let running = RunningQuery {
            attempt,
            ends: now + work,
            polled_at: now,
            rows,
            ended: false,
        };
        state.queries.insert(id.to_string(), running);
    }

    /// Waits for the end of a query, at most [`LONG_POLL_TIMEOUT`]. Answers with the rows, or with 202 if the query
    /// still runs.
    async fn poll(&self, slot: usize, id: &str) -> Response<Full<Bytes>> {
        let until = Instant::now() + LONG_POLL_TIMEOUT;
        let Some(ends) = self.record_poll(slot, id) else {
            return answer(StatusCode::INTERNAL_SERVER_ERROR);
        };
        tokio::time::sleep_until(ends.min(until)).await;
        self.poll_answer(slot, id)
    }

    /// Records a poll. Returns the time at which the query ends, or `None` if the query is unknown or was abandoned
    /// before.
    fn record_poll(&self, slot: usize, id: &str) -> Option<Instant> {
        let mut state = self.engines[slot].state();
        let running = state.queries.get_mut(id)?;
        let now = Instant::now();
        if !running.ended
            && now > running.polled_at + ABANDONED_AFTER
            && running.ends > running.polled_at + ABANDONED_AFTER
        {
            return None;
        }
        running.polled_at = now;
        self.recorder.observations().attempts[running.attempt].polled_at = self.recorder.now();
        Some(running.ends)
    }

    fn poll_answer(&self, slot: usize, id: &str) -> Response<Full<Bytes>> {
        let mut state = self.engines[slot].state();
        let Some(running) = state.queries.get_mut(id) else {
            return answer(StatusCode::INTERNAL_SERVER_ERROR);
        };
        running.polled_at = Instant::now();
        if running.ends > running.polled_at {
            self.recorder.observations().attempts[running.attempt].polled_at = self.recorder.now();
            return answer(StatusCode::ACCEPTED);
        }
        running.ended = true;
        let mut observations = self.recorder.observations();
        let attempt = &mut observations.attempts[running.attempt];
        attempt.succeeded = true;
        attempt.end(self.recorder.now());
        drop(observations);
        let mut response = Response::new(Full::new(running.rows.clone()));
        response
            .headers_mut()
            .insert("result-pages", http::HeaderValue::from_static("1"));
        response
    }

    fn cancel(&self, slot: usize, id: &str) -> Response<Full<Bytes>> {
        if let Some(running) = self.engines[slot].state().queries.remove(id) {
            let now = self.recorder.now();
            self.recorder.observations().attempts[running.attempt].end(now);
        }
        answer(StatusCode::NO_CONTENT)
    }
}

fn answer(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Reads the work from a statement; `None` if the statement has no such comment.
fn parse_work(statement: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(statement).ok()?;
    let (_, rest) = text.split_once(WORK_PREFIX)?;
    rest.split(' ')
        .next()?
        .parse()
        .ok()
        .map(Duration::from_millis)
}
