//! Clients that send real queries at a told rate, and keep what came of each.

use super::experiment::{Experiment, Slip};
use super::facts::{Group, Outcome, Query, Recorder};
use super::gateways::{Gateways, LIMIT_MS};
use super::http_client::{self, CallError, Connection};
use super::roster;
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

/// Clients close idle connections after 4 s; these keep so many at a gateway, and close the others at once.
const IDLE_CONNECTIONS: usize = 64;
const IDLE_AT_MOST: Duration = Duration::from_secs(4);
/// Protocol: a query that crosses a close within this time is sent again.
const CROSSES_CLOSE: Duration = Duration::from_millis(50);
/// After its limit a client still waits this long, to tell a late answer from none.
const STILL_WAITS: Duration = Duration::from_millis(2_000);
/// Protocol: requests of a key are at least 250 ms apart on new connections.
const KEY_PACE_MS: [u64; 2] = [350, 700];
/// What follows for one key.
pub const QUERIES_PER_SECOND_OF_A_KEY: f64 = 2_000.0 / (KEY_PACE_MS[0] + KEY_PACE_MS[1]) as f64;
const KEY_PAUSE: Duration = Duration::from_millis(100);
/// Work of a query with a key, in milliseconds: often more than the pace, so that queries of a key wait for each other.
const KEYED_WORK_MS: [u64; 2] = [100, 600];
/// Slips show up once in so many queries.
const SLIP_EVERY: u64 = 20;
/// A slip: how much longer a limit is told than it is held to, in milliseconds, and the work that then takes too long.
const LATE_BY_MS: u64 = 2_900;
const LATE_WORK_MS: u64 = 600;
const SLIP_DELAY: Duration = Duration::from_millis(400);

/// All clients of a run.
pub struct Clients {
    experiment: Experiment,
    gateways: Arc<Gateways>,
    engine_ports: Vec<u16>,
    recorder: Recorder,
    next_id: AtomicU64,
    idle: Mutex<HashMap<usize, Vec<(Connection, Instant)>>>,
    open: AtomicUsize,
}

struct Planned {
    gateway: usize,
    group: Group,
    key: Option<u64>,
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

    /// Sends queries for the experiment's time, and waits for their answers.
    pub async fn run(self: Arc<Self>) {
        let until = Instant::now() + Duration::from_secs_f64(self.experiment.seconds);
        let keys = (0..self.experiment.keys as u64)
            .map(|key| tokio::spawn(self.clone().send_key(key, until)));
        let keys: Vec<_> = keys.collect();
        self.clone().send_unkeyed(until).await;
        for key in keys {
            let _ = key.await;
        }
        let longest = Duration::from_millis(LIMIT_MS) + 2 * STILL_WAITS;
        let _ = timeout(longest, self.all_answered()).await;
    }

    async fn all_answered(&self) {
        while self.open.load(Ordering::Relaxed) > 0 {
            sleep(KEY_PAUSE).await;
        }
    }

    fn slips(&self, slip: Slip) -> bool {
        self.experiment.slip == Some(slip)
    }

    async fn send_unkeyed(self: Arc<Self>, until: Instant) {
        let mut random = SmallRng::seed_from_u64(self.experiment.seed);
        let Ok(gaps) = Exp::new(self.experiment.queries_per_second) else {
            return sleep_until(until).await;
        };
        let mut next = Instant::now();
        loop {
            // A rate of 0 has endless gaps.
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
                let planned = Planned {
                    gateway,
                    group: Group::Report,
                    key: None,
                    work,
                };
                self.clone().spawn(planned);
            }
        }
    }

    /// Queries of one key, all to one gateway; it does not wait for answers, as the gateway has to.
    async fn send_key(self: Arc<Self>, key: u64, until: Instant) {
        let mut random = SmallRng::seed_from_u64(self.experiment.seed ^ (key + 1) << 20);
        let gateway = key as usize % self.gateways.count();
        while Instant::now() < until {
            let pace = random.random_range(KEY_PACE_MS[0]..=KEY_PACE_MS[1]);
            let work = random.random_range(KEYED_WORK_MS[0]..=KEYED_WORK_MS[1]);
            if self.gateways.in_service(gateway) {
                let planned = Planned {
                    gateway,
                    group: Group::Load,
                    key: Some(key),
                    work,
                };
                self.clone().spawn(planned);
            }
            sleep(Duration::from_millis(pace)).await;
        }
    }

    fn spawn(self: Arc<Self>, planned: Planned) {
        self.open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            self.query(planned).await;
            self.open.fetch_sub(1, Ordering::Relaxed);
        });
    }

    async fn query(&self, planned: Planned) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let slips_now = id.is_multiple_of(SLIP_EVERY);
        let late = slips_now && self.slips(Slip::LateAnswer);
        let work = if late { LATE_WORK_MS } else { planned.work };
        let limit_ms = if late {
            LIMIT_MS - LATE_BY_MS
        } else {
            LIMIT_MS
        };
        let key = planned.key.filter(|_| !self.slips(Slip::KeyWithheld));
        let request = request(id, planned.group, key, work);
        if self.slips(Slip::EffectTwice) && planned.group == Group::Load {
            self.attempt_from_nowhere(id, planned.gateway).await;
        }
        let (sent, mut outcome) = self.send(id, &planned, request).await;
        let answered = self.recorder.now();
        if slips_now {
            outcome = self.slip_outcome(outcome);
        }
        let limit = limit_ms as f64 / 1000.0;
        let (gateway, group, key) = (planned.gateway, planned.group, planned.key);
        let query = Query {
            id,
            gateway,
            group,
            key,
            sent,
            limit,
            answered,
            outcome,
        };
        self.recorder.facts().queries.push(query);
        if slips_now && self.slips(Slip::AttemptAfterAnswer) {
            sleep(SLIP_DELAY).await;
            self.attempt_from_nowhere(id, planned.gateway).await;
        }
    }

    /// When the query was sent, and how it ended. One that crosses the close of an idle connection is sent again, once.
    async fn send(
        &self,
        id: u64,
        planned: &Planned,
        request: Request<Full<Bytes>>,
    ) -> (f64, Outcome) {
        let within = Duration::from_millis(LIMIT_MS) + STILL_WAITS;
        let idle = planned
            .key
            .is_none()
            .then(|| self.take_idle(planned.gateway))
            .flatten();
        if let Some(mut connection) = idle {
            let sent = self.recorder.now();
            let answer = http_client::call(&mut connection, request.clone(), within).await;
            let crossed = matches!(answer, Err(CallError::CutShort(_)))
                && self.recorder.now() - sent < CROSSES_CLOSE.as_secs_f64();
            if !crossed {
                return (sent, self.ended(id, planned, connection, answer));
            }
        }
        let connection = http_client::connect(self.gateways.address(planned.gateway)).await;
        let sent = self.recorder.now();
        let Ok(mut connection) = connection else {
            return (sent, Outcome::NotTaken);
        };
        let answer = http_client::call(&mut connection, request, within).await;
        (sent, self.ended(id, planned, connection, answer))
    }

    fn ended(
        &self,
        id: u64,
        planned: &Planned,
        connection: Connection,
        answer: Result<Response<Bytes>, CallError>,
    ) -> Outcome {
        let outcome = outcome(id, answer);
        if matches!(outcome, Outcome::Succeeded { .. }) && planned.key.is_none() {
            self.keep(planned.gateway, connection);
        }
        outcome
    }

    fn slip_outcome(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Succeeded { .. } if self.slips(Slip::LostAnswer) => {
                Outcome::Lost("a slip".into())
            }
            Outcome::Succeeded { engine } if self.slips(Slip::AlteredAnswer) => {
                Outcome::Succeeded {
                    engine: format!("{engine}0"),
                }
            }
            outcome => outcome,
        }
    }

    /// A slip: an attempt that no gateway sent.
    async fn attempt_from_nowhere(&self, id: u64, gateway: usize) {
        let address =
            SocketAddr::from((IpAddr::from(roster::address(0)), self.engine_ports[gateway]));
        let Ok(mut connection) = http_client::connect(address).await else {
            return;
        };
        let mut request = request(id, Group::Report, None, 0);
        *request.uri_mut() = http::Uri::from_static("/c");
        if let Ok(trace) = format!("{id:016x}").parse() {
            request.headers_mut().insert("x-trace", trace);
        }
        let _ = http_client::call(&mut connection, request, STILL_WAITS).await;
    }

    fn take_idle(&self, gateway: usize) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.get_mut(&gateway)?;
        idle.retain(|(connection, since)| {
            since.elapsed() < IDLE_AT_MOST && !connection.is_closed()
        });
        idle.pop().map(|(connection, _)| connection)
    }

    fn keep(&self, gateway: usize, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.entry(gateway).or_default();
        if idle.len() < IDLE_CONNECTIONS && self.gateways.in_service(gateway) {
            idle.push((connection, Instant::now()));
        }
    }
}

fn request(id: u64, group: Group, key: Option<u64>, work: u64) -> Request<Full<Bytes>> {
    let path = match group {
        Group::Report => "/v1/report",
        Group::Load => "/v1/load",
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

/// What an answer says, by the rules of the protocol.
fn outcome(id: u64, answer: Result<Response<Bytes>, CallError>) -> Outcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(CallError::Unconnected(_)) => return Outcome::NotTaken,
        Err(error) => return Outcome::Lost(error.to_string()),
    };
    let Ok(json) = serde_json::from_slice::<Value>(answer.body()) else {
        return Outcome::Garbled(String::from_utf8_lossy(answer.body()).into_owned());
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
        _ => Outcome::Garbled(json.to_string()),
    }
}
