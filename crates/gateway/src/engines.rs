//! Engines over HTTP: starting a dispatch, its news and pages, giving it up, probes; and the list of engines
//! with the indices that the module knows them by.

use crate::changes::{EngineLine, Event};
use crate::clock::span;
use crate::rows;
use crate::sockets::{Budget, Line};
use bytes::Bytes;
use garnetwall::api::{Condition, End, EngineId, Listed, Report};
use garnetwall_settings::Network;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, timeout};

/// Protocol: news is held back this long at most.
const NEWS: Duration = Duration::from_millis(250);
/// Protocol: every time limit on sockets is this much longer.
const LONGER: Duration = Duration::from_millis(50);
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
/// More than any head of an answer; hyper asks for 8 KB at least.
const LONGEST_HEAD: usize = 16 << 10;

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
    /// An answer out of the protocol: spoilt on its way, for all that it tells.
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
    /// A good end with so many pages.
    Good(usize),
    Garbled,
}

/// The table of outcomes: what each answer proves. What is out of the protocol proves nothing.
fn news(reply: &Reply) -> News {
    let never_ran = reply.head.get(NEVER_RAN).is_some_and(|v| v == "1");
    let pages =
        reply.number(ALL_PAGES).filter(|n| n.fract() == 0.0 && (0.0..=rows::PAGES as f64).contains(n));
    match (reply.status, never_ran, pages) {
        (StatusCode::OK, _, Some(pages)) if rows::whole(&reply.body) => News::Good(pages as usize),
        (StatusCode::ACCEPTED, _, _) => News::NotYet,
        (StatusCode::SERVICE_UNAVAILABLE, true, _) => News::Over(End::Full),
        (StatusCode::GATEWAY_TIMEOUT, true, _) => News::Over(End::Moot),
        (StatusCode::INTERNAL_SERVER_ERROR, _, _) => News::Over(End::Errored),
        _ => News::Garbled,
    }
}

pub struct Engines {
    budget: Arc<Semaphore>,
    dial: Duration,
    listed: Mutex<List>,
    known: watch::Sender<bool>,
}

struct List {
    ids: HashMap<String, EngineId>,
    /// By the module's index.
    known: Vec<Known>,
    /// An index is another engine's once its own has been gone for this long: no batch knows of it then.
    kept: Duration,
}

struct Known {
    line: EngineLine,
    gone: Option<Instant>,
    /// Its last call came to nothing.
    out_of_reach: bool,
}

impl Engines {
    pub fn new(network: Network, budget: &Budget, longest: f64) -> Self {
        let dial = span(network.dial);
        let kept = span(longest) + UNASKED;
        let listed = Mutex::new(List { ids: HashMap::new(), known: Vec::new(), kept });
        Engines { budget: budget.engines.clone(), dial, listed, known: watch::Sender::new(false) }
    }

    fn way(&self, target: Target) -> Way<'_> {
        Way { engines: self, target, sender: None, silent: false }
    }

    /// Opens a connection within the budget and the settings' time.
    async fn connect(&self, address: SocketAddr) -> Result<Sender, Fault> {
        let dialled = timeout(self.dial, async {
            let permit = self.budget.clone().acquire_owned().await.map_err(io::Error::other)?;
            let line = Line::new(TcpStream::connect(address).await?, Some(permit));
            let mut builder = http1::Builder::new();
            builder.max_buf_size(LONGEST_HEAD).handshake(line).await.map_err(io::Error::other)
        });
        match dialled.await {
            Ok(Ok((sender, connection))) => {
                tokio::spawn(async move { drop(connection.await) });
                Ok(sender)
            }
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Err(Fault::Refused),
            Ok(Err(_)) | Err(_) => Err(Fault::Unconnected),
        }
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a change of the list and gives it under the module's indices.
    pub fn listed(&self, event: &Event) -> Vec<Listed> {
        let mut list = self.list();
        let now = Instant::now();
        if event.whole {
            list.known.iter_mut().for_each(|known| known.goes(now));
        }
        let lines = event.lines.iter().filter_map(|line| list.take(line, now)).collect();
        self.known.send_replace(true);
        let count = |c: Condition| list.known.iter().filter(|k| k.line.condition == c).count();
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
        self.list().known.get(engine).map(|known| Target { engine, address: known.line.address })
    }

    /// Starts a dispatch and asks for it without gap until it has ended, or cannot be running any more.
    pub async fn dispatch(&self, target: Target, call: &Call, time_out: f64) -> Ended {
        let mut way = self.way(target);
        let first = match way.start(call, time_out).await {
            Err(Fault::Refused | Fault::Unconnected) => return Ended::of(End::Unconnected),
            first => first,
        };
        match way.end(call, first).await {
            Ok((told, pages)) => way.fetch(call, told, pages).await,
            Err(ended) => {
                if ended.end == End::Broken {
                    // It may run on for 2 s unasked, and the next of its key would pass it.
                    self.give_up(target, call).await;
                }
                ended
            }
        }
    }

    /// Gives a dispatch up: it is over once that is answered, or nothing is there to answer it. A call that was
    /// broken off may not have come, so it is made again while the engine may still run the dispatch.
    pub async fn give_up(&self, target: Target, call: &Call) {
        let (mut way, began) = (self.way(target), Instant::now());
        while began.elapsed() < UNASKED {
            let delete = request(Method::DELETE, target.address, &path(call, None));
            match way.call(delete, self.dial + self.dial).await {
                Ok(_) => return,
                Err(fault @ (Fault::Refused | Fault::Unconnected)) => {
                    tracing::debug!(engine = target.engine, ?fault, "nothing there to give up");
                    return;
                }
                Err(Fault::Broken | Fault::Garbled | Fault::Silent) => sleep(LONGER).await,
            }
        }
    }

    pub async fn probe(&self, engine: EngineId) -> (End, Option<Report>) {
        let Some(target) = self.target(engine) else { return (End::Unconnected, None) };
        let stats = request(Method::GET, target.address, "/stats");
        match self.way(target).call(stats, self.dial + self.dial).await {
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
        let mut sender = self.connect(log).await.map_err(|fault| format!("{fault:?}"))?;
        let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            status => Err(format!("status {status}")),
        }
    }

    /// Logs an engine that goes out of reach or comes back, once each.
    fn heard(&self, target: Target, fault: Option<&Fault>) {
        let Target { engine, address } = target;
        let out = match fault {
            Some(Fault::Refused | Fault::Unconnected) => true,
            // It was there to connect to; one that is cut off shows by the next connection.
            Some(Fault::Silent | Fault::Broken | Fault::Garbled) => return,
            None => false,
        };
        let mut list = self.list();
        let Some(known) = list.known.get_mut(engine).filter(|k| k.line.address == address) else { return };
        match (std::mem::replace(&mut known.out_of_reach, out), out) {
            (true, false) => tracing::info!(engine, %address, "engine reached again"),
            (false, true) => tracing::warn!(engine, %address, ?fault, "engine out of reach"),
            _ => {}
        }
    }
}

/// Sends calls over one connection.
type Sender = http1::SendRequest<Full<Bytes>>;

/// The way of one dispatch to its engine: a connection at a time, used by no other batch and given up with
/// whatever was spoilt on it.
struct Way<'a> {
    engines: &'a Engines,
    target: Target,
    sender: Option<Sender>,
    /// The last call was not answered: the next is given more time, in case the engine is only slow.
    silent: bool,
}

impl Way<'_> {
    async fn start(&mut self, call: &Call, time_out: f64) -> Result<Reply, Fault> {
        let mut request = request(Method::POST, self.target.address, "/c");
        *request.body_mut() = Full::new(call.statement.clone());
        let head = request.headers_mut();
        head.insert(ID, call.id.clone());
        head.insert(GROUP, call.group.clone());
        head.insert(PATIENCE, HeaderValue::from((time_out * 1000.0).max(1.0) as u64));
        self.call(request, self.patience()).await
    }

    /// How long news may take once a connection is up.
    fn patience(&self) -> Duration {
        NEWS + if self.silent { self.engines.dial * 2 } else { LONGER }
    }

    /// The answer that tells of a good end, and its number of pages; or how it ended otherwise. A start that was
    /// not answered may have come whole all the same, and a good end is given again: asking tells.
    async fn end(&mut self, call: &Call, first: Result<Reply, Fault>) -> Result<(Reply, usize), Ended> {
        let mut asking = Asking::new();
        let mut answer = first;
        loop {
            let told = match answer {
                Ok(told) => match news(&told) {
                    News::Good(pages) => return Ok((told, pages)),
                    News::Over(End::Errored) => return Err(Ended::of(asking.unknown())),
                    News::Over(end) => return Err(Ended { report: told.report(), ..Ended::of(end) }),
                    News::NotYet => Ok(()),
                    News::Garbled => Err(Fault::Garbled),
                },
                Err(fault) => Err(fault),
            };
            answer = self.ask_on(call, 0, &mut asking, told).await.map_err(Ended::of)?;
        }
    }

    /// The pages after the first, so that a lost one is still an outcome.
    async fn fetch(&mut self, call: &Call, first: Reply, pages: usize) -> Ended {
        let mut ended = Ended {
            work: first.number(WORK).map(|ms| ms / 1000.0).filter(|v| *v > 0.0),
            memory: first.number(MEMORY).filter(|v| *v > 0.0),
            report: first.report(),
            ..Ended::of(End::Returned)
        };
        ended.pages.push(first.body);
        let mut asking = Asking::new();
        for page in 1..pages {
            let mut told = Ok(());
            loop {
                told = match self.ask_on(call, page, &mut asking, told).await {
                    Ok(Ok(r)) if r.status == StatusCode::INTERNAL_SERVER_ERROR => {
                        tracing::debug!(engine = self.target.engine, page, "page lost");
                        return Ended { end: End::Errored, ..ended };
                    }
                    Ok(Ok(r)) if r.number(THIS_PAGE) == Some(page as f64) && rows::whole(&r.body) => {
                        ended.pages.push(r.body);
                        break;
                    }
                    Ok(Ok(_)) => Err(Fault::Garbled),
                    Ok(Err(fault)) => Err(fault),
                    Err(end) => return Ended { end, ..ended },
                };
            }
        }
        ended
    }

    /// Asks for the news of a dispatch or a page of its result, after what came of the last call. The end that it
    /// has where asking can't tell any more: no process is there, or nothing sound came for too long.
    async fn ask_on(
        &mut self,
        call: &Call,
        page: usize,
        asking: &mut Asking,
        told: Result<(), Fault>,
    ) -> Result<Result<Reply, Fault>, End> {
        match told {
            Ok(()) => asking.heard = Instant::now(),
            Err(Fault::Refused) => return Err(End::Broken),
            Err(fault) => {
                self.sender = None;
                if asking.heard.elapsed() > NEWS + UNASKED {
                    return Err(End::Broken);
                }
                asking.lost |= fault != Fault::Garbled;
                if std::mem::replace(&mut asking.again, true) {
                    sleep(self.engines.dial).await;
                }
            }
        }
        asking.again &= told.is_err();
        let request = request(Method::GET, self.target.address, &path(call, Some(page)));
        Ok(self.call(request, self.patience()).await)
    }

    /// One call, on a connection that is up or comes up within its own bound.
    async fn call(&mut self, request: Request<Full<Bytes>>, within: Duration) -> Result<Reply, Fault> {
        let answer = self.bounded(request, within).await;
        self.silent = matches!(answer, Err(Fault::Silent));
        self.engines.heard(self.target, answer.as_ref().err());
        answer
    }

    async fn bounded(&mut self, request: Request<Full<Bytes>>, within: Duration) -> Result<Reply, Fault> {
        let mut sender = match self.sender.take().filter(|s| !s.is_closed()) {
            Some(sender) => sender,
            None => self.engines.connect(self.target.address).await?,
        };
        let answer = timeout(within, exchange(&mut sender, request)).await.unwrap_or(Err(Fault::Silent));
        self.sender = answer.is_ok().then_some(sender);
        answer
    }
}

async fn exchange(sender: &mut Sender, request: Request<Full<Bytes>>) -> Result<Reply, Fault> {
    sender.ready().await.map_err(|e| fault(&e))?;
    let answer = sender.send_request(request).await.map_err(|e| fault(&e))?;
    let (head, body) = answer.into_parts();
    let body =
        Limited::new(body, rows::PAGE).collect().await.map_err(|e| match e.is::<LengthLimitError>() {
            true => Fault::Garbled,
            false => Fault::Broken,
        })?;
    Ok(Reply { status: head.status, head: head.headers, body: body.to_bytes() })
}

/// What asking for a dispatch has come to so far.
struct Asking {
    /// When something sound came last.
    heard: Instant,
    /// The last call came to nothing.
    again: bool,
    /// A call was broken off or not answered.
    lost: bool,
}

impl Asking {
    fn new() -> Self {
        Asking { heard: Instant::now(), again: false, lost: false }
    }

    /// The end of a dispatch that the engine does not know or calls failed: after a call that was lost it may
    /// never have come, or still be on its way.
    fn unknown(&self) -> End {
        if self.lost {
            End::Broken
        } else {
            End::Errored
        }
    }
}

impl List {
    /// Takes in a line; one of an engine that was never known and has gone says nothing.
    fn take(&mut self, line: &EngineLine, now: Instant) -> Option<Listed> {
        let engine = match self.ids.get(&line.id) {
            Some(engine) => *engine,
            None if line.condition == Condition::Gone => return None,
            None => self.index(line, now),
        };
        let known = self.known.get_mut(engine)?;
        let gone = (line.condition == Condition::Gone).then(|| known.gone.unwrap_or(now));
        (known.line, known.gone) = (line.clone(), gone);
        Some(Listed {
            engine,
            zone: line.zone,
            kind: line.kind,
            cell: line.cell,
            came_up: line.came_up,
            condition: line.condition,
        })
    }

    /// An index for a new engine: that of one long gone, or the next.
    fn index(&mut self, line: &EngineLine, now: Instant) -> EngineId {
        let long_gone = |k: &Known| k.gone.is_some_and(|at| now - at > self.kept);
        let engine = self.known.iter().position(long_gone).unwrap_or(self.known.len());
        let new = Known { line: line.clone(), gone: None, out_of_reach: false };
        match self.known.get_mut(engine) {
            Some(old) => drop(self.ids.remove(&std::mem::replace(old, new).line.id)),
            None => self.known.push(new),
        }
        self.ids.insert(line.id.clone(), engine);
        engine
    }
}

impl Known {
    fn goes(&mut self, now: Instant) {
        self.line.condition = Condition::Gone;
        self.gone.get_or_insert(now);
    }
}

fn path(call: &Call, page: Option<usize>) -> String {
    let id = call.id.to_str().unwrap_or_default();
    page.map_or_else(|| format!("/c/{id}"), |page| format!("/c/{id}/{page}"))
}

fn request(method: Method, address: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// What an error proves. hyper calls a request cancelled only before any of it was written.
fn fault(error: &hyper::Error) -> Fault {
    if error.is_canceled() {
        Fault::Unconnected
    } else if error.is_parse() {
        Fault::Garbled
    } else {
        Fault::Broken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(id: &str, condition: Condition) -> EngineLine {
        let address = SocketAddr::from(([127, 0, 0, 1], 4100));
        EngineLine { id: id.into(), address, zone: 0, kind: 0, cell: 0, came_up: None, condition }
    }

    /// Days on which engines come under new ids without end: what is kept does not grow with them.
    #[test]
    fn an_index_is_another_engines_only_once_its_own_is_long_gone() {
        let mut list = List { ids: HashMap::new(), known: Vec::new(), kept: Duration::from_secs(20) };
        let mut now = Instant::now();
        let mut take = |id: &str, condition, wait: u64| {
            now += Duration::from_secs(wait);
            let engine = list.take(&line(id, condition), now).map(|l| l.engine);
            (engine, list.known.len(), list.ids.len())
        };
        assert_eq!(take("a", Condition::Ready, 0), (Some(0), 1, 1));
        assert_eq!(take("a", Condition::Gone, 1), (Some(0), 1, 1));
        assert_eq!(take("never known", Condition::Gone, 1), (None, 1, 1));
        assert_eq!(take("b", Condition::Ready, 10), (Some(1), 2, 2), "batches may still know a");
        assert_eq!(take("a", Condition::Gone, 5), (Some(0), 2, 2), "told twice");
        assert_eq!(take("c", Condition::Ready, 10), (Some(0), 2, 2));
        for n in 0..100 {
            take(&format!("d{n}"), Condition::Ready, 1);
            assert!(take(&format!("d{n}"), Condition::Gone, 30).1 <= 4);
        }
    }
}
