//! Clients that send queries to the gateways at the experiment's rate and record the outcome of each.

use super::endpoint_list;
use super::experiment::{Experiment, InjectedFault};
use super::gateways::{Gateways, LIMIT_MS};
use super::http_client::{self, CallError, Connection};
use super::observations::{Outcome, Query, QueryClass, Recorder};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use serde_json::Value;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Maximum number of idle connections in the pool per gateway; further ones are closed at once.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Time after which an idle connection is not reused. It is closed when a connection to the same gateway is next taken
/// from the pool.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// If a query on a pooled connection fails without a complete answer within this time, the gateway may have closed the
/// connection before the query arrived. The protocol requires the client to send the query again.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
/// Time that a client waits beyond a query's limit, to distinguish a late answer from a lost one.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(2_000);
/// Range of the time between two queries of a key, in milliseconds. The protocol requires at least 250 ms between
/// queries of a key on new connections.
const KEY_INTERVAL_MS: [u64; 2] = [350, 700];
/// Mean rate of the queries of one key, which follows from [`KEY_INTERVAL_MS`].
pub const QUERIES_PER_SECOND_OF_A_KEY: f64 =
    2_000.0 / (KEY_INTERVAL_MS[0] + KEY_INTERVAL_MS[1]) as f64;
const OPEN_QUERIES_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Work of a query with a key, in milliseconds. Often longer than the interval of the key, so that queries of a key
/// wait for each other.
const KEYED_WORK_MS: [u64; 2] = [100, 600];
/// An injected fault affects one in this many queries.
const FAULTY_QUERY_INTERVAL: u64 = 20;
/// Injected fault `LateAnswer`: the recorded limit of a query is shorter than the limit sent to the gateway by this
/// time, in milliseconds. The work of the query, [`FAULTY_WORK_MS`], takes longer than the recorded limit.
const FAULTY_LATENESS_MS: u64 = 2_900;
const FAULTY_WORK_MS: u64 = 600;
/// Injected fault `AttemptAfterAnswer`: time from an answer to the forged attempt that follows it.
const FAULTY_ATTEMPT_DELAY: Duration = Duration::from_millis(400);

/// All clients of a run.
pub struct Clients {
    experiment: Experiment,
    gateways: Arc<Gateways>,
    engine_ports: Vec<u16>,
    recorder: Recorder,
    next_id: AtomicU64,
    idle: Mutex<HashMap<usize, Vec<(Connection, Instant)>>>,
    /// Queries that have no outcome yet.
    open: AtomicUsize,
}

/// A query that is about to be sent.
struct PlannedQuery {
    gateway: usize,
    class: QueryClass,
    key: Option<u64>,
    /// Milliseconds.
    work: u64,
}

impl Clients {
    pub fn new(
        experiment: &Experiment,
        gateways: Arc<Gateways>,
        engine_ports: Vec<u16>,
        recorder: Recorder,
    ) -> Arc<Clients> {
        Arc::new(Clients {
            experiment: experiment.clone(),
            gateways,
            engine_ports,
            recorder,
            next_id: AtomicU64::new(experiment.seed << 32 | 1),
            idle: Mutex::default(),
            open: AtomicUsize::new(0),
        })
    }

    /// Sends queries for the experiment's `seconds`, then waits for their answers, at most for the limit of a query and
    /// twice [`LATE_ANSWER_ALLOWANCE`].
    pub async fn run(self: Arc<Self>) {
        let until = Instant::now() + Duration::from_secs_f64(self.experiment.seconds);
        let keys = (0..self.experiment.keys as u64)
            .map(|key| tokio::spawn(self.clone().send_key(key, until)));
        let keys: Vec<_> = keys.collect();
        self.clone().send_unkeyed(until).await;
        for key in keys {
            let _ = key.await;
        }
        let longest = Duration::from_millis(LIMIT_MS) + 2 * LATE_ANSWER_ALLOWANCE;
        let _ = timeout(longest, self.wait_until_answered()).await;
    }

    async fn wait_until_answered(&self) {
        while self.open.load(Ordering::Relaxed) > 0 {
            sleep(OPEN_QUERIES_CHECK_INTERVAL).await;
        }
    }

    fn injects(&self, injected_fault: InjectedFault) -> bool {
        self.experiment.injected_fault == Some(injected_fault)
    }

    /// Sends the queries without a key, at exponentially distributed intervals. Each goes to a random gateway or, if
    /// that is not in service, to the next one that is.
    async fn send_unkeyed(self: Arc<Self>, until: Instant) {
        let mut random = SmallRng::seed_from_u64(self.experiment.seed);
        let Ok(gaps) = Exp::new(self.experiment.queries_per_second) else {
            return sleep_until(until).await;
        };
        let mut next = Instant::now();
        loop {
            // A rate of 0 gives infinite gaps, which a `Duration` cannot represent.
            let gap: f64 = gaps.sample(&mut random);
            next += Duration::from_secs_f64(gap.min(self.experiment.seconds));
            if next >= until {
                return sleep_until(until).await;
            }
            sleep_until(next).await;
            let first = random.random_range(0..self.gateways.count());
            let [least, most] = self.experiment.work_ms;
            let work = random.random_range(least..=most);
            let in_service = |n: &usize| self.gateways.in_service(*n);
            let all = (0..self.gateways.count()).map(|n| (first + n) % self.gateways.count());
            if let Some(gateway) = all.into_iter().find(in_service) {
                let planned = PlannedQuery {
                    gateway,
                    class: QueryClass::Report,
                    key: None,
                    work,
                };
                self.clone().spawn(planned);
            }
        }
    }

    /// Sends the queries of one key, all to the same gateway. The next query does not wait for the previous answer,
    /// since ordering queries of a key is the gateway's task.
    async fn send_key(self: Arc<Self>, key: u64, until: Instant) {
        let mut random = SmallRng::seed_from_u64(self.experiment.seed ^ (key + 1) << 20);
        let gateway = key as usize % self.gateways.count();
        while Instant::now() < until {
            let interval = random.random_range(KEY_INTERVAL_MS[0]..=KEY_INTERVAL_MS[1]);
            let work = random.random_range(KEYED_WORK_MS[0]..=KEYED_WORK_MS[1]);
            if self.gateways.in_service(gateway) {
                let planned = PlannedQuery {
                    gateway,
                    class: QueryClass::Load,
                    key: Some(key),
                    work,
                };
                self.clone().spawn(planned);
            }
            sleep(Duration::from_millis(interval)).await;
        }
    }

    fn spawn(self: Arc<Self>, planned: PlannedQuery) {
        self.open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            self.query(planned).await;
            self.open.fetch_sub(1, Ordering::Relaxed);
        });
    }

    async fn query(&self, planned: PlannedQuery) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let faulty = id.is_multiple_of(FAULTY_QUERY_INTERVAL);
        let late = faulty && self.injects(InjectedFault::LateAnswer);
        let work = if late { FAULTY_WORK_MS } else { planned.work };
        let limit_ms = if late {
            LIMIT_MS - FAULTY_LATENESS_MS
        } else {
            LIMIT_MS
        };
        let key = planned
            .key
            .filter(|_| !self.injects(InjectedFault::KeyWithheld));
        let request = request(id, planned.class, key, work);
        if self.injects(InjectedFault::EffectTwice) && planned.class == QueryClass::Load {
            self.send_forged_attempt(id, planned.gateway).await;
        }
        let (started_at, mut outcome) = self.send(id, &planned, request).await;
        let answered_at = self.recorder.now();
        if faulty {
            outcome = self.inject_fault(outcome);
        }
        let limit = limit_ms as f64 / 1000.0;
        let (gateway, class, key) = (planned.gateway, planned.class, planned.key);
        let query = Query {
            id,
            gateway,
            class,
            key,
            started_at,
            limit,
            answered_at,
            outcome,
        };
        self.recorder.observations().queries.push(query);
        if faulty && self.injects(InjectedFault::AttemptAfterAnswer) {
            sleep(FAULTY_ATTEMPT_DELAY).await;
            self.send_forged_attempt(id, planned.gateway).await;
        }
    }

    /// Sends a query, on a pooled connection if there is one and the query has no key. If the gateway may have closed
    /// that connection before the query arrived, sends the query again on a new one. Returns the start time of the last
    /// send, in seconds, and the outcome.
    async fn send(
        &self,
        id: u64,
        planned: &PlannedQuery,
        request: Request<Full<Bytes>>,
    ) -> (f64, Outcome) {
        let within = Duration::from_millis(LIMIT_MS) + LATE_ANSWER_ALLOWANCE;
        let idle = planned
            .key
            .is_none()
            .then(|| self.pooled_connection(planned.gateway))
            .flatten();
        if let Some(mut connection) = idle {
            let started_at = self.recorder.now();
            let answer = http_client::call(&mut connection, request.clone(), within).await;
            let lost_to_close = matches!(answer, Err(CallError::CutShort(_)))
                && self.recorder.now() - started_at < CLOSE_RACE_WINDOW.as_secs_f64();
            if !lost_to_close {
                return (started_at, self.ended(id, planned, connection, answer));
            }
        }
        let connection = http_client::connect(self.gateways.address(planned.gateway)).await;
        let started_at = self.recorder.now();
        let Ok(mut connection) = connection else {
            return (started_at, Outcome::ConnectionRefused);
        };
        let answer = http_client::call(&mut connection, request, within).await;
        (started_at, self.ended(id, planned, connection, answer))
    }

    /// Returns the outcome of a query. Returns the connection to the pool if the query succeeded and has no key.
    fn ended(
        &self,
        id: u64,
        planned: &PlannedQuery,
        connection: Connection,
        answer: Result<Response<Bytes>, CallError>,
    ) -> Outcome {
        let outcome = outcome(id, answer);
        if matches!(outcome, Outcome::Succeeded { .. }) && planned.key.is_none() {
            self.pool_connection(planned.gateway, connection);
        }
        outcome
    }

    fn inject_fault(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Succeeded { .. } if self.injects(InjectedFault::LostAnswer) => {
                Outcome::Lost("injected fault".into())
            }
            Outcome::Succeeded { engine } if self.injects(InjectedFault::AlteredAnswer) => {
                Outcome::Succeeded {
                    engine: format!("{engine}0"),
                }
            }
            outcome => outcome,
        }
    }

    /// Injected fault: sends an attempt directly to an engine, as if a gateway had sent it.
    async fn send_forged_attempt(&self, id: u64, gateway: usize) {
        let address = SocketAddr::from((
            IpAddr::from(endpoint_list::address(0)),
            self.engine_ports[gateway],
        ));
        let Ok(mut connection) = http_client::connect(address).await else {
            return;
        };
        let mut request = request(id, QueryClass::Report, None, 0);
        *request.uri_mut() = http::Uri::from_static("/c");
        if let Ok(trace) = format!("{id:016x}").parse() {
            request.headers_mut().insert("x-trace", trace);
        }
        let _ = http_client::call(&mut connection, request, LATE_ANSWER_ALLOWANCE).await;
    }

    fn pooled_connection(&self, gateway: usize) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.get_mut(&gateway)?;
        idle.retain(|(connection, since)| since.elapsed() < MAX_IDLE && !connection.is_closed());
        idle.pop().map(|(connection, _)| connection)
    }

    fn pool_connection(&self, gateway: usize, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.entry(gateway).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS && self.gateways.in_service(gateway) {
            idle.push((connection, Instant::now()));
        }
    }
}

fn request(id: u64, class: QueryClass, key: Option<u64>, work: u64) -> Request<Full<Bytes>> {
    let path = match class {
        QueryClass::Report => "/v1/report",
        QueryClass::Load => "/v1/load",
    };
    let statement = format!("SELECT * FROM sales_{}.orders /* work {work} */", id % 50);
    let mut request = http_client::get(path);
    *request.method_mut() = http::Method::POST;
    *request.body_mut() = Full::from(statement);
    let fields = [
        ("x-job-id", Some(format!("{id:016x}"))),
        ("x-allow-ms", Some(LIMIT_MS.to_string())),
        ("x-team", Some("acme".to_string())),
        ("x-item", key.map(|key| format!("{key:016x}"))),
    ];
    for (name, value) in fields {
        if let Some(value) = value.and_then(|value| value.parse().ok()) {
            request.headers_mut().insert(name, value);
        }
    }
    request
}

/// Classifies an answer by the rules of the protocol.
fn outcome(id: u64, answer: Result<Response<Bytes>, CallError>) -> Outcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return Outcome::Lost(error.to_string()),
    };
    let Ok(json) = serde_json::from_slice::<Value>(answer.body()) else {
        return Outcome::Malformed(String::from_utf8_lossy(answer.body()).into_owned());
    };
    let busy = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&answer.status());
    if busy || json["error"] == "Busy" {
        return Outcome::Rejected;
    }
    if answer.status() != StatusCode::OK || json.get("error").is_some() {
        return Outcome::Failed;
    }
    match (json["data"][0][0].as_str(), json["data"][0][1].as_str()) {
        (Some(engine), Some(query)) if query == format!("{id:016x}") => Outcome::Succeeded {
            engine: engine.into(),
        },
        _ => Outcome::Malformed(json.to_string()),
    }
}
