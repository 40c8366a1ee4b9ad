//! Engines over HTTP: starting a dispatch, its news and pages, giving it up, probes; and the list of engines
//! with the indices that the module knows them by.

use crate::attended::Attended;
use crate::changes::{EngineLine, Event};
use crate::clock::span;
use crate::rows;
use crate::sockets::{Abandoned, Budget, Gate, Line};
use bytes::Bytes;
use garnetwall::api::{Condition, End, EngineId, Listed, Note, Report};
use garnetwall_bodies::body::ReadFault;
use garnetwall_bodies::{Body, Reader};
use garnetwall_ledger as ledger;
use garnetwall_ledger::{Asking, Bounds, Connection, DispatchId, Fact, Ledger, Lost, Next, Step};
use garnetwall_settings::Network;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::channel::{Channel, Sender as BodySender};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Body as OutgoingBody, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, sleep_until, timeout};

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
const MARK: HeaderName = HeaderName::from_static("x-op-key");
const NEVER_RAN: &str = "x-declined";
const REPORT: &str = "x-stats";
const NOTE: &str = "x-result";
const NOTED: &str = "note-value";
const ALL_PAGES: &str = "result-pages";
const THIS_PAGE: &str = "result-page";
const WORK: &str = "query-cost";
const MEMORY: &str = "query-need";
/// More than any head of an answer; hyper asks for 8 KB at least.
const LONGEST_HEAD: usize = 16 << 10;

/// A line of the list under the module's index, with what only a plan asks for.
#[derive(Clone, Debug)]
pub struct Told {
    pub listed: Listed,
    pub id: String,
    pub address: SocketAddr,
}

/// What goes on to an engine unchanged.
#[derive(Debug, PartialEq)]
pub struct Call {
    pub id: HeaderValue,
    pub group: HeaderValue,
    /// What a referenced batch carries against repeats.
    pub mark: Option<HeaderValue>,
    /// Others must not run beside it: it has a key, in a group that keeps order.
    pub in_order: bool,
    pub statement: Statement,
}

/// A statement, or the body that it still comes in as.
#[derive(Clone)]
pub enum Statement {
    Whole(Bytes),
    Streamed(Arc<Body>),
}

impl PartialEq for Statement {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Statement::Whole(a), Statement::Whole(b)) => a == b,
            (Statement::Streamed(a), Statement::Streamed(b)) => Arc::ptr_eq(a, b),
            _ => false,
        }
    }
}

impl std::fmt::Debug for Statement {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Statement::Whole(bytes) => write!(f, "{} bytes", bytes.len()),
            Statement::Streamed(body) => write!(f, "a body of {:?} bytes", body.length()),
        }
    }
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

/// What is still wanted of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// Its answer.
    Answer,
    /// Its answer, if it has been started: the client has gone, and nothing is sent for a batch after its end.
    Begun,
    /// That it is given up, or else its answer if that comes first.
    Back,
    /// That it is given up: its batch has its answer.
    Over,
}

impl Wish {
    /// Whether it is still asked for.
    fn asks(self) -> bool {
        matches!(self, Wish::Answer | Wish::Begun)
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

impl Fault {
    fn lost(self) -> Lost {
        match self {
            Fault::Refused => Lost::Refused,
            Fault::Unconnected | Fault::Broken | Fault::Silent => Lost::OnItsWay,
            Fault::Garbled => Lost::Spoilt,
        }
    }
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

/// What is told of a dispatch that is out, to who waits for its end.
pub struct Tidings {
    /// How it looks where its end is not known.
    pub doubt: watch::Sender<Option<End>>,
    /// The last note of it.
    pub note: watch::Sender<Option<Note>>,
}

/// What an answer about a dispatch says.
enum News {
    NotYet(Option<Note>),
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
        (StatusCode::ACCEPTED, _, _) => News::NotYet(note(reply)),
        (StatusCode::SERVICE_UNAVAILABLE, true, _) => News::Over(End::Full),
        (StatusCode::GATEWAY_TIMEOUT, true, _) => News::Over(End::Moot),
        (StatusCode::INTERNAL_SERVER_ERROR, _, _) => News::Over(End::Errored),
        _ => News::Garbled,
    }
}

/// A note on a dispatch that is out, where one came. One that can't be read says nothing.
fn note(reply: &Reply) -> Option<Note> {
    let amount = reply.number(NOTED)?;
    match reply.head.get(NOTE)?.to_str().ok()?.trim() {
        "frac" => Some(Note::Done(amount)),
        "missing" => Some(Note::Spills(amount)),
        "parked" if amount == 2.0 => Some(Note::WaitsForLoad),
        "parked" => Some(Note::WaitsForMemory),
        _ => None,
    }
}

pub struct Engines {
    budget: Arc<Semaphore>,
    dial: Duration,
    listed: Arc<Mutex<List>>,
    known: watch::Sender<bool>,
    ledger: Mutex<Ledger>,
    bounds: Bounds,
    /// The longest time limit of any service group.
    longest: Duration,
    began: Instant,
}

fn lock(list: &Mutex<List>) -> MutexGuard<'_, List> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
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
    /// `notes_every` is the time between an engine's notes on a dispatch; 0 where there are none.
    pub fn new(network: Network, notes_every: f64, budget: &Budget, longest: f64) -> Self {
        let dial = span(network.dial);
        let kept = span(longest) + UNASKED;
        let listed = Arc::new(Mutex::new(List { ids: HashMap::new(), known: Vec::new(), kept }));
        let bounds = Bounds { news: NEWS, notes: notes_every > 0.0, unasked: UNASKED, pause: LONGER };
        Engines {
            budget: budget.engines.clone(),
            dial,
            listed,
            known: watch::Sender::new(false),
            ledger: Mutex::new(Ledger::new(bounds)),
            bounds,
            longest: span(longest),
            began: Instant::now(),
        }
    }

    fn way(&self, target: Target) -> Way<'_> {
        Way {
            engines: self,
            target,
            dispatch: None,
            sender: None,
            abandoned: Abandoned::default(),
            gate: None,
            comes_by: None,
            may_have_come: false,
            unreadable: false,
            connection: 0,
            silent: false,
        }
    }

    /// How long a dispatch can run that nobody asks for, from when an earlier process may last have asked.
    pub fn unasked(&self) -> Duration {
        NEWS + UNASKED
    }

    /// The ledger's time.
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection within the budget and the settings' time.
    async fn connect(
        &self,
        address: SocketAddr,
        gate: Option<Arc<Gate>>,
    ) -> Result<(Sender, Abandoned), Fault> {
        let dialled = timeout(self.dial, async {
            let permit = self.budget.clone().acquire_owned().await.map_err(io::Error::other)?;
            let line = Line::new(TcpStream::connect(address).await?, Some(permit)).gated(gate);
            let abandoned = line.abandoned();
            let mut builder = http1::Builder::new();
            let up = builder.max_buf_size(LONGEST_HEAD).handshake(line).await.map_err(io::Error::other)?;
            Ok::<_, io::Error>((up, abandoned))
        });
        match dialled.await {
            Ok(Ok(((sender, connection), abandoned))) => {
                tokio::spawn(async move { drop(connection.await) });
                Ok((sender, abandoned))
            }
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Err(Fault::Refused),
            Ok(Err(_)) | Err(_) => Err(Fault::Unconnected),
        }
    }

    fn list(&self) -> MutexGuard<'_, List> {
        lock(&self.listed)
    }

    /// Takes in a change of the list and gives it under the module's indices.
    pub fn listed(&self, event: &Event) -> Vec<Told> {
        let mut list = self.list();
        let now = Instant::now();
        if event.whole {
            list.known.iter_mut().for_each(|known| known.goes(now));
        }
        let lines = event.lines.iter().filter_map(|line| list.take(line, now)).collect();
        // An event without a list tells none.
        if event.whole || !event.lines.is_empty() {
            self.known.send_replace(true);
        }
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

    /// Starts a dispatch and asks for it without gap until it is over: it has ended, or can't be running any more.
    /// Where asking can't tell any more, or nobody wants to know, it is given up, which may take until the
    /// ledger's bound; what is known until then goes to `tidings`.
    pub async fn dispatch(
        &self,
        target: Target,
        call: &Call,
        start: Start,
        wishes: watch::Receiver<Wish>,
        tidings: Tidings,
    ) -> Ended {
        // The protocol names no end of what notes keep running, and an engine was seen to pass the patience it was told. A
        // cut that outlasts every limit is not covered.
        let kept = if call.in_order { self.longest } else { Duration::ZERO };
        let id = self.ledger().open(self.now(), kept);
        let (wish, attended, list) = (wishes.clone(), start.attended.clone(), self.listed.clone());
        let ends = start.until.min(start.comes_by);
        let wanted = move || *wish.borrow() == Wish::Answer && attended.is() && Instant::now() < ends;
        // Its first byte counts as sending it: what has begun to leave may go on while its engine drains.
        let gate = Gate::new(move || lock(&list).takes(target), wanted);
        let comes_by = Some(start.comes_by).filter(|by| *by < start.until);
        let gate = Some(Arc::new(gate));
        let mut way = Way { dispatch: Some(id), gate, comes_by, ..self.way(target) };
        let over = way.live(call, start, wishes, tidings).await;
        self.ledger().close(id);
        over
    }

    pub async fn probe(&self, engine: EngineId) -> (End, Option<Report>) {
        let Some(target) = self.target(engine) else { return (End::Unconnected, None) };
        let stats = request(Method::GET, target.address, "/stats");
        match self.way(target).call(stats, None, self.dial + self.dial, false).await {
            Ok(reply) if reply.status == StatusCode::OK => (End::Returned, reply.report()),
            Ok(reply) => (End::Errored, reply.report()),
            Err(Fault::Refused | Fault::Unconnected) => (End::Unconnected, None),
            Err(Fault::Silent) => (End::TimedOut, None),
            Err(Fault::Broken | Fault::Garbled) => (End::Broken, None),
        }
    }

    /// Opens the change log after an event, for its stream. It takes nothing of the engines' budget, which keeps a descriptor
    /// back for it: engines that hold all of that must not keep out the news of them.
    pub async fn open_log(
        &self,
        log: SocketAddr,
        path: &str,
        field: &'static str,
        last: u64,
    ) -> Result<Incoming, String> {
        let mut request = request(Method::GET, log, path);
        request.headers_mut().insert(HeaderName::from_static(field), HeaderValue::from(last));
        let up = timeout(self.dial, TcpStream::connect(log)).await.map_err(|_| "no connection in time")?;
        let line = Line::new(up.map_err(|e| e.to_string())?, None);
        let mut builder = http1::Builder::new();
        let up = builder.max_buf_size(LONGEST_HEAD).handshake(line).await;
        let (mut sender, connection) = up.map_err(|e| e.to_string())?;
        tokio::spawn(async move { drop(connection.await) });
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
type Sender = http1::SendRequest<Outgoing>;
/// What a call brings along: all at once, or as it comes.
type Carried = Either<Full<Bytes>, Channel<Bytes, ReadFault>>;

/// It, and the gate that it goes out through where the call is a start.
struct Outgoing {
    carried: Carried,
    /// Bytes of it still to come, where that is known.
    left: Option<u64>,
    gate: Option<Arc<Gate>>,
}

impl Outgoing {
    /// All of it has been handed over to be written.
    fn read_out(&self) {
        if let Some(gate) = &self.gate {
            gate.read_out();
        }
    }
}

impl OutgoingBody for Outgoing {
    type Data = Bytes;
    type Error = <Carried as OutgoingBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.carried).poll_frame(cx));
        let bytes =
            frame.as_ref().and_then(|f| f.as_ref().ok()).and_then(Frame::data_ref).map_or(0, Bytes::len);
        self.left = self.left.map(|left| left.saturating_sub(bytes as u64));
        if frame.is_none() || self.left == Some(0) || self.carried.is_end_stream() {
            self.read_out();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.carried.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.carried.size_hint()
    }
}

/// The way of one dispatch to its engine: a connection at a time, used by no other batch and given up with
/// whatever was spoilt on it.
struct Way<'a> {
    engines: &'a Engines,
    target: Target,
    /// None for a probe.
    dispatch: Option<DispatchId>,
    sender: Option<Sender>,
    /// Of the connection that is up, or was last.
    abandoned: Abandoned,
    /// What its start goes out through; none for a probe.
    gate: Option<Arc<Gate>>,
    /// Its start has come whole by then or is not sent, where that is before its batch's end.
    comes_by: Option<Instant>,
    /// Its start may have come whole.
    may_have_come: bool,
    /// Its body could not be read to its end.
    unreadable: bool,
    /// The number of the connection that is up, or was last.
    connection: Connection,
    /// The last call was not answered: the next is given more time, in case the engine is only slow.
    silent: bool,
}

/// How a dispatch is started.
#[derive(Clone, Debug)]
pub struct Start {
    /// It is not the first of its batch.
    pub further: bool,
    /// Nobody waits for it from then on.
    pub until: Instant,
    /// It has come whole by then, or is not sent.
    pub comes_by: Instant,
    /// Whether a client waits for its batch.
    pub attended: Attended,
}

/// A body on its way to an engine.
struct Feed {
    reader: Reader,
    length: Option<u64>,
    out: BodySender<Bytes, ReadFault>,
}

/// How asking for a dispatch ends.
enum Heard {
    /// A good end: the answer that tells so, and its number of pages.
    Good(Reply, usize),
    Over(Ended),
    /// Asking can't tell any more.
    InDoubt,
    /// Nobody waits for the answer any more.
    Unwanted,
}

impl Way<'_> {
    async fn live(
        &mut self,
        call: &Call,
        start: Start,
        mut wishes: watch::Receiver<Wish>,
        tidings: Tidings,
    ) -> Ended {
        let told = self.end(call, start, &mut wishes, &tidings).await;
        let end = match told {
            Heard::Good(..) if *wishes.borrow() == Wish::Over => End::Withdrawn,
            Heard::Good(first, pages) => return self.fetch(call, first, pages).await,
            Heard::Over(ended) => return ended,
            Heard::InDoubt => {
                tidings.doubt.send_replace(Some(End::Broken));
                self.give_up(call).await;
                End::Broken
            }
            Heard::Unwanted => match (self.give_up(call).await, *wishes.borrow()) {
                // Its batch was over before it could be started: that says nothing of the engine.
                (ledger::Proof::NeverCame, Wish::Over | Wish::Begun) => End::Moot,
                (ledger::Proof::NeverCame, _) => End::Unconnected,
                _ => End::Withdrawn,
            },
        };
        Ended::of(end)
    }

    /// The call that starts a dispatch, and the body that goes with it; none where that is not there any more.
    fn starting(&self, call: &Call, start: &Start) -> Option<(Request<Outgoing>, Option<Feed>)> {
        let Start { further, until, .. } = *start;
        let mut request = request(Method::POST, self.target.address, "/c");
        let gate = self.gate.clone();
        let feed = match &call.statement {
            Statement::Whole(bytes) => {
                let left = Some(bytes.len() as u64);
                *request.body_mut() =
                    Outgoing { carried: Either::Left(Full::new(bytes.clone())), left, gate };
                None
            }
            Statement::Streamed(body) => {
                let reader = body.reader(further).ok()?;
                let (out, stream) = Channel::new(1);
                *request.body_mut() = Outgoing { carried: Either::Right(stream), left: body.length(), gate };
                if let Some(length) = body.length() {
                    request.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
                }
                Some(Feed { reader, length: body.length(), out })
            }
        };
        let head = request.headers_mut();
        head.insert(ID, call.id.clone());
        head.insert(GROUP, call.group.clone());
        if let Some(mark) = &call.mark {
            head.insert(MARK, mark.clone());
        }
        let patience = until.saturating_duration_since(Instant::now()).as_secs_f64();
        head.insert(PATIENCE, HeaderValue::from((patience * 1000.0).max(1.0) as u64));
        Some((request, feed))
    }

    fn asking(&self, call: &Call, page: usize) -> Request<Outgoing> {
        request(Method::GET, self.target.address, &path(call, Some(page)))
    }

    /// How long news may take once a connection is up.
    fn patience(&self) -> Duration {
        NEWS + if self.silent { self.engines.dial * 2 } else { LONGER }
    }

    fn tell(&self, fact: Fact) {
        if let Some(id) = self.dispatch {
            self.engines.ledger().tell(self.engines.now(), id, fact);
        }
    }

    /// Whether it is not proved that the dispatch does not run any more.
    fn may_run(&self) -> bool {
        self.dispatch.is_some_and(|id| self.engines.ledger().may_run_until(id).is_some())
    }

    fn asked_on(&self) -> Asking {
        Asking::new(self.engines.now(), self.engines.bounds, self.engines.dial)
    }

    /// The answer that tells of a good end, and its number of pages; or how it ended otherwise. A start that was
    /// not answered may have come whole all the same, and a good end is given again: asking tells.
    async fn end(
        &mut self,
        call: &Call,
        start: Start,
        wishes: &mut watch::Receiver<Wish>,
        tidings: &Tidings,
    ) -> Heard {
        let mut asking = self.asked_on();
        let Some((mut next, mut feed)) = self.starting(call, &start) else {
            self.tell(Fact::NeverCame);
            return Heard::Over(Ended::of(End::Unconnected));
        };
        let mut started = false;
        loop {
            let Some(answer) = self.wanted(next, feed.take(), wishes).await else { return Heard::Unwanted };
            let first = !std::mem::replace(&mut started, true);
            if std::mem::take(&mut self.unreadable) {
                // What went on is not whole, so that nothing ran; the batch has no body any more.
                self.tell(Fact::NeverCame);
                return Heard::Over(Ended::of(End::Errored));
            }
            if first && answer.is_err() && self.gate.as_ref().is_some_and(|gate| gate.is_stopped()) {
                // It was stopped at its last bytes, before who wished so was heard.
                self.tell(Fact::NeverCame);
                let elsewhere = *wishes.borrow() == Wish::Back || !self.engines.list().takes(self.target);
                return Heard::Over(Ended::of(if elsewhere { End::Unconnected } else { End::Moot }));
            }
            if first && answer.is_err() && !self.may_have_come {
                self.tell(Fact::NeverCame);
                return Heard::Over(Ended::of(End::Unconnected));
            }
            let told = match answer {
                Ok(reply) => match news(&reply) {
                    News::Good(pages) => {
                        self.tell(Fact::Ended);
                        return Heard::Good(reply, pages);
                    }
                    News::Over(end) => {
                        self.tell(if first { Fact::Ended } else { Fact::Failed(self.connection) });
                        let end = match ledger::weigh(first, end == End::Errored, !self.may_run()) {
                            ledger::Verdict::AsTold => end,
                            ledger::Verdict::CutShort => End::Broken,
                            ledger::Verdict::InDoubt => return Heard::InDoubt,
                        };
                        return Heard::Over(Ended { report: reply.report(), ..Ended::of(end) });
                    }
                    News::NotYet(note) => {
                        self.tell(Fact::Runs(self.connection));
                        if note.is_some() {
                            tidings.note.send_replace(note);
                        }
                        Ok(())
                    }
                    News::Garbled => Err(Fault::Garbled),
                },
                Err(fault) => Err(fault),
            };
            if !wishes.borrow().asks() {
                self.drop_after(told);
                return Heard::Unwanted;
            }
            if !self.ask_on(&mut asking, told).await {
                return Heard::InDoubt;
            }
            next = self.asking(call, 0);
        }
    }

    /// One call, which is let end for as long as news is held back where nobody waits for it any more; none where
    /// it has not ended then. A start is not: what the machine has not sent of it, or what has not come, would come after the
    /// batch's answer.
    async fn wanted(
        &mut self,
        request: Request<Outgoing>,
        feed: Option<Feed>,
        wishes: &mut watch::Receiver<Wish>,
    ) -> Option<Result<Reply, Fault>> {
        let within = self.patience();
        let is_start = request.method() == Method::POST;
        let gate = self.gate.clone();
        let stops = || gate.as_ref().is_some_and(|gate| gate.stop());
        let comes_by = self.comes_by;
        let too_late = async {
            match comes_by {
                Some(by) => sleep_until(by.into()).await,
                None => std::future::pending().await,
            }
        };
        // It fails only with who wished gone, who waits for this.
        let unwanted = async {
            tokio::select! {
                _ = wishes.wait_for(|wish| *wish != Wish::Answer) => {}
                () = too_late => {}
            }
            if !stops() {
                let _ = wishes.wait_for(|wish| !wish.asks()).await;
            }
        };
        let answer = {
            let calling = self.call(request, feed, within, true);
            tokio::pin!(calling);
            tokio::select! {
                biased;
                answer = &mut calling => Some(answer),
                () = unwanted => match stops() || is_start && *wishes.borrow() == Wish::Over {
                    true => None,
                    false => timeout(NEWS, calling).await.ok(),
                },
            }
        };
        if answer.is_none() {
            // Whatever comes there yet would be taken for the next call's answer.
            self.abandoned.set();
            self.sender = None;
            self.tell(Fact::Useless(self.connection));
            if stops() {
                self.tell(Fact::NeverCame);
            }
        }
        answer
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
        let mut asking = self.asked_on();
        for page in 1..pages {
            let mut told = Ok(());
            loop {
                if !self.ask_on(&mut asking, told).await {
                    return Ended { end: End::Broken, ..ended };
                }
                told = match self.call(self.asking(call, page), None, self.patience(), true).await {
                    Ok(r) if r.status == StatusCode::INTERNAL_SERVER_ERROR => {
                        tracing::debug!(engine = self.target.engine, page, "page lost");
                        return Ended { end: End::Errored, ..ended };
                    }
                    Ok(r) if r.number(THIS_PAGE) == Some(page as f64) && rows::whole(&r.body) => {
                        ended.pages.push(r.body);
                        break;
                    }
                    Ok(_) => Err(Fault::Garbled),
                    Err(fault) => Err(fault),
                };
            }
        }
        ended
    }

    /// After what came of the last call, waits until asking may go on; whether it may.
    async fn ask_on(&mut self, asking: &mut Asking, told: Result<(), Fault>) -> bool {
        let now = self.engines.now();
        let step = match told {
            Ok(()) => asking.heard(now),
            Err(fault) => asking.lost(now, fault.lost()),
        };
        self.drop_after(told);
        match step {
            Step::Ask(after) => {
                if !after.is_zero() {
                    sleep(after).await;
                }
                true
            }
            Step::Stop => false,
        }
    }

    /// A connection that something spoilt came over is of no further use.
    fn drop_after(&mut self, told: Result<(), Fault>) {
        if told == Err(Fault::Garbled) {
            self.sender = None;
            self.tell(Fact::Useless(self.connection));
        }
    }

    /// Has the engine give the dispatch up, on the connection that it was asked on as long as that is of use;
    /// until it is proved that it does not run any more.
    async fn give_up(&mut self, call: &Call) -> ledger::Proof {
        let Some(id) = self.dispatch else { return ledger::Proof::NeverCame };
        let engine = self.target.engine;
        loop {
            let next = self.engines.ledger().next(self.engines.now(), id);
            match next {
                Next::Over(proof) => {
                    tracing::debug!(engine, id = path(call, None), ?proof, "given up");
                    return proof;
                }
                Next::Wait(span) => sleep(span).await,
                Next::FindOut => {
                    if self.finds_out(call).await.is_err_and(|fault| fault != Fault::Refused) {
                        self.tell(Fact::Missed);
                    }
                }
                Next::GiveUp(left) => {
                    let delete = request(Method::DELETE, self.target.address, &path(call, None));
                    let within = left.min(self.engines.dial * 2);
                    match self.call(delete, None, within, false).await {
                        // An engine that does not know it says so by the second.
                        Ok(r)
                            if [StatusCode::NO_CONTENT, StatusCode::INTERNAL_SERVER_ERROR]
                                .contains(&r.status) =>
                        {
                            self.tell(Fact::GivenUp(self.connection));
                        }
                        Ok(_) => {
                            self.drop_after(Err(Fault::Garbled));
                            self.tell(Fact::Missed);
                        }
                        Err(fault) => {
                            tracing::debug!(engine, id = path(call, None), ?fault, "not given up yet");
                            if fault != Fault::Refused {
                                self.tell(Fact::Missed);
                            }
                        }
                    }
                }
            }
        }
    }

    /// Asks who listens there now whether it has the dispatch.
    async fn finds_out(&mut self, call: &Call) -> Result<(), Fault> {
        let reply = self.call(self.asking(call, 0), None, self.patience(), true).await?;
        match news(&reply) {
            News::NotYet(_) => self.tell(Fact::Runs(self.connection)),
            News::Good(_) => self.tell(Fact::Ended),
            News::Over(_) => self.tell(Fact::Failed(self.connection)),
            News::Garbled => {
                self.drop_after(Err(Fault::Garbled));
                return Err(Fault::Garbled);
            }
        }
        Ok(())
    }

    /// One call, on a connection that is up or comes up within its own bound. `asks` for one that keeps its dispatch
    /// running.
    async fn call(
        &mut self,
        request: Request<Outgoing>,
        feed: Option<Feed>,
        within: Duration,
        asks: bool,
    ) -> Result<Reply, Fault> {
        let answer = self.bounded(request, feed, within, asks).await;
        self.silent = matches!(answer, Err(Fault::Silent));
        self.engines.heard(self.target, answer.as_ref().err());
        match answer {
            Err(Fault::Refused) => self.tell(Fact::Refused),
            Err(Fault::Broken) => self.tell(Fact::Reset(self.connection)),
            Err(Fault::Silent | Fault::Garbled) => {
                self.abandoned.set();
                self.tell(Fact::Useless(self.connection));
            }
            Err(Fault::Unconnected) | Ok(_) => {}
        }
        answer
    }

    async fn bounded(
        &mut self,
        request: Request<Outgoing>,
        feed: Option<Feed>,
        within: Duration,
        asks: bool,
    ) -> Result<Reply, Fault> {
        let is_start = request.method() == Method::POST;
        let up = self.sender.take();
        if up.as_ref().is_some_and(|sender| sender.is_closed()) {
            self.tell(Fact::Reset(self.connection));
        }
        let mut sender = match up.filter(|s| !s.is_closed()) {
            Some(sender) => sender,
            None => {
                self.connection += 1;
                let gate = self.gate.clone().filter(|_| is_start);
                let (sender, abandoned) = self.engines.connect(self.target.address, gate).await?;
                self.abandoned = abandoned;
                sender
            }
        };
        if let Some(gate) = &self.gate {
            if is_start {
                gate.begins();
            } else {
                gate.passed();
            }
        }
        let Some(feed) = feed else {
            if asks {
                self.comes();
            }
            let answer = timeout(within, exchange(&mut sender, request)).await.unwrap_or(Err(Fault::Silent));
            self.sender = answer.is_ok().then_some(sender);
            return answer;
        };
        let answer = self.streamed(&mut sender, request, feed, within).await;
        // What was not sent to its end leaves a connection of no use.
        self.sender = (answer.is_ok() && self.may_have_come).then_some(sender);
        answer
    }

    /// A start whose body goes on as it comes. It takes as long as the body, which its batch's limit bounds; the answer
    /// may come before the body is sent.
    async fn streamed(
        &mut self,
        sender: &mut Sender,
        request: Request<Outgoing>,
        feed: Feed,
        within: Duration,
    ) -> Result<Reply, Fault> {
        let exchanging = exchange(sender, request);
        tokio::pin!(exchanging);
        let fed = tokio::select! {
            biased;
            answer = &mut exchanging => return answer,
            fed = self.feed(feed) => fed,
        };
        match fed {
            Ok(()) => timeout(within, exchanging).await.unwrap_or(Err(Fault::Silent)),
            Err(fault) => {
                tracing::debug!(%fault, "a body could not be sent to its end");
                self.unreadable = !matches!(fault, ReadFault::CutOff);
                Err(Fault::Broken)
            }
        }
    }

    /// The last byte of a call that keeps its dispatch running is on its way.
    fn comes(&mut self) {
        self.may_have_come = true;
        self.tell(Fact::Asked);
    }

    async fn feed(&mut self, feed: Feed) -> Result<(), ReadFault> {
        let Feed { mut reader, length, mut out } = feed;
        loop {
            match reader.next().await {
                Ok(Some(bytes)) => {
                    // Only a call that has come whole is one that may run.
                    if length == Some(reader.at()) {
                        self.comes();
                    }
                    if out.send_data(bytes).await.is_err() {
                        // The engine hears no more of it: its answer, or the broken connection, tells why.
                        std::future::pending::<()>().await;
                    }
                }
                Ok(None) => {
                    self.comes();
                    return Ok(());
                }
                Err(fault) => {
                    out.abort(ReadFault::CutOff);
                    return Err(fault);
                }
            }
        }
    }
}

async fn exchange(sender: &mut Sender, request: Request<Outgoing>) -> Result<Reply, Fault> {
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

impl List {
    /// Whether its engine is listed as one that takes new dispatches, at this address.
    fn takes(&self, target: Target) -> bool {
        let line = self.known.get(target.engine).map(|known| &known.line);
        line.is_some_and(|l| l.condition == Condition::Ready && l.address == target.address)
    }

    /// Takes in a line; one of an engine that was never known and has gone says nothing.
    fn take(&mut self, line: &EngineLine, now: Instant) -> Option<Told> {
        let engine = match self.ids.get(&line.id) {
            Some(engine) => *engine,
            None if line.condition == Condition::Gone => return None,
            None => self.index(line, now),
        };
        let known = self.known.get_mut(engine)?;
        let gone = (line.condition == Condition::Gone).then(|| known.gone.unwrap_or(now));
        (known.line, known.gone) = (line.clone(), gone);
        let listed = Listed {
            engine,
            zone: line.zone,
            kind: line.kind,
            cell: line.cell,
            came_up: line.came_up,
            condition: line.condition,
        };
        Some(Told { listed, id: line.id.clone(), address: line.address })
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

fn request(method: Method, address: SocketAddr, path: &str) -> Request<Outgoing> {
    let nothing = Outgoing { carried: Either::Left(Full::default()), left: None, gate: None };
    let mut request = Request::new(nothing);
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
mod tests;
