//! Engines over HTTP: starting a dispatch, its news and pages, giving it up, probes; and the list of engines
//! with the indices that the module knows them by.

use crate::changes::{EngineLine, Event};
use crate::clock::span;
use crate::rows;
use crate::sockets::{Budget, Line};
use bytes::Bytes;
use garnetwall::api::{Condition, End, EngineId, Listed, Report};
use garnetwall_settings::Network;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::collections::{HashMap, HashSet};
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, timeout};

/// Protocol: news is held back this long at most.
const NEWS: Duration = Duration::from_millis(250);
/// Protocol: a dispatch that nobody asks for ends after this.
const UNASKED: Duration = Duration::from_secs(2);
/// Protocol: names of the fields.
const ID: HeaderName = HeaderName::from_static("x-trace");
const GROUP: HeaderName = HeaderName::from_static("x-profile");
const PATIENCE: HeaderName = HeaderName::from_static("x-patience");
const NEVER_RAN: &str = "x-declined";
const REPORT: &str = "x-stats";
const ALL_PAGES: &str = "result-pages";
const THIS_PAGE: &str = "result-page";
const WORK: &str = "query-cost";
const MEMORY: &str = "query-need";
/// Engines close idle connections; ours close in this part of that time, so that none crosses.
const IDLE_PART: f64 = 0.5;

/// What goes on to an engine unchanged.
#[derive(Debug, PartialEq)]
pub struct Call {
    pub id: HeaderValue,
    pub group: HeaderValue,
    pub statement: Bytes,
}

/// Where a dispatch goes; it stays there though the list changes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub engine: EngineId,
    address: SocketAddr,
}

/// How a dispatch ended, and what was told with it.
#[derive(Debug)]
pub struct Ended {
    pub end: End,
    pub pages: Vec<Bytes>,
    pub work: Option<f64>,
    pub memory: Option<f64>,
    pub report: Option<Report>,
}

impl Ended {
    pub fn of(end: End) -> Self {
        Ended { end, pages: Vec::new(), work: None, memory: None, report: None }
    }
}

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The engine's machine refused the connection: no process is there.
    Refused,
    /// No connection came up, or it closed before a byte was written.
    Unconnected,
    /// Broken after writing.
    Broken,
    /// No answer by the bound.
    Silent,
    /// An answer out of the protocol.
    Garbled,
}

struct Reply {
    status: StatusCode,
    head: HeaderMap,
    body: Bytes,
}

impl Reply {
    fn number(&self, field: &str) -> Option<f64> {
        let value = self.head.get(field)?.to_str().ok()?.trim().parse::<f64>().ok()?;
        Some(value).filter(|v| v.is_finite() && *v >= 0.0)
    }

    fn report(&self) -> Option<Report> {
        let text = self.head.get(REPORT)?.to_str().ok()?;
        let pairs = text.split(';').filter_map(|pair| pair.split_once(':'));
        let values = pairs.filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)));
        garnetwall_settings::report(values)
    }
}

/// What an answer about a dispatch says.
enum News {
    NotYet,
    Over(End),
    Good,
}

/// The table of outcomes: what each answer proves. An answer out of the protocol may have run.
fn news(reply: &Reply) -> News {
    let never_ran = reply.head.get(NEVER_RAN).is_some_and(|v| v == "1");
    match (reply.status, never_ran) {
        (StatusCode::OK, _) => News::Good,
        (StatusCode::ACCEPTED, _) => News::NotYet,
        (StatusCode::SERVICE_UNAVAILABLE, true) => News::Over(End::Full),
        (StatusCode::GATEWAY_TIMEOUT, true) => News::Over(End::Moot),
        _ => News::Over(End::Errored),
    }
}

pub struct Engines {
    client: Client<Dial, Full<Bytes>>,
    dial: Duration,
    listed: Mutex<List>,
    known: watch::Sender<bool>,
}

#[derive(Default)]
struct List {
    ids: HashMap<String, EngineId>,
    lines: Vec<EngineLine>,
    /// Engines whose last call came to nothing.
    out_of_reach: HashSet<EngineId>,
}

impl Engines {
    pub fn new(network: Network, budget: &Budget) -> Self {
        let dial = span(network.dial);
        let connector = Dial { budget: budget.engines.clone(), within: dial };
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(span(network.idle * IDLE_PART))
            .retry_canceled_requests(false)
            .build(connector);
        Engines { client, dial, listed: Mutex::default(), known: watch::Sender::new(false) }
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a change of the list and gives it under the module's indices.
    pub fn listed(&self, event: &Event) -> Vec<Listed> {
        let mut list = self.list();
        if event.whole {
            list.lines.iter_mut().for_each(|l| l.condition = Condition::Gone);
        }
        let lines = event.lines.iter().map(|line| list.take(line)).collect();
        self.known.send_replace(true);
        let count = |c: Condition| list.lines.iter().filter(|l| l.condition == c).count();
        let (ready, draining) = (count(Condition::Ready), count(Condition::Draining));
        tracing::info!(change = event.number, ready, draining, "engine list");
        lines
    }

    /// Until a list of engines is known.
    pub async fn known(&self) {
        // It fails only with the sender gone, which these engines hold.
        let _ = self.known.subscribe().wait_for(|known| *known).await;
    }

    pub fn target(&self, engine: EngineId) -> Option<Target> {
        self.list().lines.get(engine).map(|line| Target { engine, address: line.address })
    }

    /// Starts a dispatch and asks for it without gap until it has ended, or cannot be running any more.
    pub async fn dispatch(&self, target: Target, call: &Call, time_out: f64) -> Ended {
        let mut asked = Instant::now();
        let mut reply = match self.start(target, call, time_out).await {
            Ok(reply) => Ok(reply),
            Err(Fault::Refused | Fault::Unconnected) => return Ended::of(End::Unconnected),
            Err(Fault::Garbled) => return Ended::of(End::Errored),
            // It may have come whole all the same: asking tells.
            Err(Fault::Broken | Fault::Silent) => self.ask(target, call, 0, &mut asked).await,
        };
        loop {
            let told = match reply {
                Ok(told) => told,
                Err(end) => return Ended::of(end),
            };
            asked = Instant::now();
            match news(&told) {
                News::NotYet => reply = self.ask(target, call, 0, &mut asked).await,
                News::Over(end) => return Ended { report: told.report(), ..Ended::of(end) },
                News::Good => return self.fetch(target, call, told, asked).await,
            }
        }
    }

    /// The pages after the first, so that a lost one is still an outcome.
    async fn fetch(&self, target: Target, call: &Call, first: Reply, mut asked: Instant) -> Ended {
        let mut ended = Ended {
            work: first.number(WORK).map(|ms| ms / 1000.0).filter(|v| *v > 0.0),
            memory: first.number(MEMORY).filter(|v| *v > 0.0),
            report: first.report(),
            ..Ended::of(End::Returned)
        };
        let pages = first.number(ALL_PAGES).filter(|n| n.fract() == 0.0 && *n <= rows::PAGES as f64);
        let Some(pages) = pages else {
            tracing::warn!(engine = target.engine, "no usable number of pages");
            return Ended { end: End::Errored, ..ended };
        };
        ended.pages.push(first.body);
        for page in 1..pages as usize {
            let end = match self.ask(target, call, page, &mut asked).await {
                Ok(r) if r.status == StatusCode::OK && r.number(THIS_PAGE) == Some(page as f64) => {
                    asked = Instant::now();
                    ended.pages.push(r.body);
                    continue;
                }
                Ok(r) => {
                    tracing::warn!(engine = target.engine, page, status = r.status.as_u16(), "page lost");
                    End::Errored
                }
                Err(end) => end,
            };
            return Ended { end, ..ended };
        }
        ended
    }

    /// Asks for the news of a dispatch or a page of its result, again while that can tell. The end that it
    /// has otherwise: broken, where no process is there or it went unasked for too long.
    async fn ask(&self, target: Target, call: &Call, page: usize, asked: &mut Instant) -> Result<Reply, End> {
        let path = path(call, Some(page));
        let mut again = false;
        loop {
            let request = request(Method::GET, target.address, &path);
            match self.call(target, request, self.dial + NEWS + self.dial).await {
                Ok(reply) => return Ok(reply),
                Err(Fault::Garbled) => return Err(End::Errored),
                Err(Fault::Refused) => return Err(End::Broken),
                Err(_) if asked.elapsed() > NEWS + UNASKED => return Err(End::Broken),
                Err(_) if again => sleep(self.dial).await,
                Err(_) => again = true,
            }
        }
    }

    async fn start(&self, target: Target, call: &Call, time_out: f64) -> Result<Reply, Fault> {
        let mut request = request(Method::POST, target.address, "/c");
        *request.body_mut() = Full::new(call.statement.clone());
        let head = request.headers_mut();
        head.insert(ID, call.id.clone());
        head.insert(GROUP, call.group.clone());
        head.insert(PATIENCE, HeaderValue::from((time_out * 1000.0).max(1.0) as u64));
        self.call(target, request, self.dial + NEWS + self.dial).await
    }

    /// Gives a dispatch up: it is over once that is answered, or nothing is there to answer it.
    pub async fn give_up(&self, target: Target, call: &Call) {
        let delete = request(Method::DELETE, target.address, &path(call, None));
        if let Err(fault) = self.call(target, delete, self.dial + self.dial).await {
            tracing::debug!(engine = target.engine, ?fault, "giving up was not answered");
        }
    }

    pub async fn probe(&self, engine: EngineId) -> (End, Option<Report>) {
        let Some(target) = self.target(engine) else { return (End::Unconnected, None) };
        let stats = request(Method::GET, target.address, "/stats");
        match self.call(target, stats, self.dial + self.dial).await {
            Ok(reply) if reply.status == StatusCode::OK => (End::Returned, reply.report()),
            Ok(reply) => (End::Errored, reply.report()),
            Err(Fault::Refused | Fault::Unconnected) => (End::Unconnected, None),
            Err(Fault::Silent) => (End::TimedOut, None),
            Err(Fault::Broken | Fault::Garbled) => (End::Broken, None),
        }
    }

    /// Opens the change log after an event, for its stream.
    pub async fn open_log(
        &self,
        log: SocketAddr,
        path: &str,
        field: &'static str,
        last: u64,
    ) -> Result<Incoming, String> {
        let mut request = request(Method::GET, log, path);
        request.headers_mut().insert(HeaderName::from_static(field), HeaderValue::from(last));
        let answer = self.client.request(request).await.map_err(|e| chain(&e))?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            status => Err(format!("status {status}")),
        }
    }

    async fn call(
        &self,
        target: Target,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Reply, Fault> {
        let answer = timeout(within, self.exchange(request)).await.unwrap_or(Err(Fault::Silent));
        self.heard(target, answer.as_ref().err());
        answer
    }

    /// Logs an engine that goes out of reach or comes back, once each.
    fn heard(&self, target: Target, fault: Option<&Fault>) {
        let Target { engine, address } = target;
        match fault {
            None if self.list().out_of_reach.remove(&engine) => {
                tracing::info!(engine, %address, "engine reached again")
            }
            Some(fault) if self.list().out_of_reach.insert(engine) => {
                tracing::warn!(engine, %address, ?fault, "engine out of reach");
            }
            _ => {}
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Reply, Fault> {
        let answer = self.client.request(request).await.map_err(|e| fault(&e))?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, rows::PAGE).collect().await.map_err(|e| {
            if e.is::<LengthLimitError>() {
                Fault::Garbled
            } else {
                Fault::Broken
            }
        })?;
        Ok(Reply { status: head.status, head: head.headers, body: body.to_bytes() })
    }
}

impl List {
    fn take(&mut self, line: &EngineLine) -> Listed {
        let next = self.lines.len();
        let engine = *self.ids.entry(line.id.clone()).or_insert(next);
        match self.lines.get_mut(engine) {
            Some(known) => *known = line.clone(),
            None => self.lines.push(line.clone()),
        }
        Listed {
            engine,
            zone: line.zone,
            kind: line.kind,
            cell: line.cell,
            came_up: line.came_up,
            condition: line.condition,
        }
    }
}

fn path(call: &Call, page: Option<usize>) -> String {
    let id = call.id.to_str().unwrap_or_default();
    page.map_or_else(|| format!("/c/{id}"), |page| format!("/c/{id}/{page}"))
}

fn request(method: Method, address: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    let uri = Uri::builder().scheme("http").authority(address.to_string()).path_and_query(path).build();
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    *request.uri_mut() = uri.unwrap_or_default();
    request
}

/// What the client's error proves. It calls a request cancelled only before any of it was written.
fn fault(error: &hyper_util::client::legacy::Error) -> Fault {
    let mut refused = false;
    let mut unwritten = error.is_connect();
    let mut garbled = false;
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(io) = cause.downcast_ref::<io::Error>() {
            refused |= io.kind() == io::ErrorKind::ConnectionRefused;
        }
        if let Some(hyper) = cause.downcast_ref::<hyper::Error>() {
            unwritten |= hyper.is_canceled();
            garbled |= hyper.is_parse();
        }
        source = cause.source();
    }
    match (unwritten, refused, garbled) {
        (true, true, _) => Fault::Refused,
        (true, false, _) => Fault::Unconnected,
        (false, _, true) => Fault::Garbled,
        (false, _, false) => Fault::Broken,
    }
}

fn chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// Opens connections within the budget and the settings' time.
#[derive(Clone, Debug)]
struct Dial {
    budget: Arc<Semaphore>,
    within: Duration,
}

impl Dial {
    async fn connect(self, uri: Uri) -> io::Result<Line> {
        let address = uri.authority().and_then(|a| a.as_str().parse::<SocketAddr>().ok());
        let address = address.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidInput, "no address"))?;
        let dialled = timeout(self.within, async {
            let permit = self.budget.acquire_owned().await.map_err(io::Error::other)?;
            Ok(Line::new(TcpStream::connect(address).await?, Some(permit)))
        });
        dialled.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl tower_service::Service<Uri> for Dial {
    type Response = Line;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Line>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        Box::pin(self.clone().connect(uri))
    }
}
