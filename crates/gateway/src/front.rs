//! The front: clients' calls into arrivals, and final answers into responses.

use crate::desk::{Arrival, Desk, Final, Taken, Waiter};
use crate::engines::{Call, Engines, Statement};
use crate::gateway::Phase;
use crate::guests::{Guest, Guests};
use crate::inbound::{Inbound, Peer};
use crate::keeping::Keeper;
use crate::life::Life;
use crate::planning::Turned;
use crate::spacing::Spacing;
use crate::statement;
use axum::body::{to_bytes, Body};
use axum::extract::{Path, State};
use axum::http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, TRANSFER_ENCODING};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Router};
use garnetwall_bodies::room::Refused;
use garnetwall_bodies::{Body as Kept, Store};
use garnetwall_settings::Decoded;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use std::future::{poll_fn, Future};
use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::coop::unconstrained;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Instant};
use tower_service::Service;

/// Protocol: names of the fields.
const ID: &str = "x-job-id";
const ALLOWED: &str = "x-allow-ms";
const TENANT: &str = "x-team";
const KEY: &str = "x-item";
const MARK: &str = "x-unique";
const COST: &str = "x-size-ms";
const MEMORY: &str = "x-memory";
const COME_BACK: HeaderName = HeaderName::from_static("x-wait-ms");
/// Protocol: digits of an id and of a key.
const DIGITS: usize = 16;
/// Far above the protocol's 4 s after which clients close idle connections, so that no call crosses ours.
const IDLE: Duration = Duration::from_secs(10);
/// Protocol: a client that can't be served is owed a close within 3 s of connecting. The first call has this long
/// to bring its head, and a statement as long as that.
const FIRST_CALL: Duration = Duration::from_secs(2);
/// After the last answer a client has this long to read it and close; what it sends meanwhile is read slowly.
const PARTING: Duration = Duration::from_millis(500);
const REST_EVERY: Duration = Duration::from_millis(20);
const REST: usize = 4096;
/// More than any statement; a longer one is not read to its end.
const LONGEST_STATEMENT: u64 = 1 << 18;
/// Bytes of a long body in which its data set is looked for before it is taken.
const FIRST_BYTES: usize = 64 << 10;
/// Until a long body has its own.
const STANDS_IN: bytes::Bytes = bytes::Bytes::from_static(b"-");
/// More than any head.
const LONGEST_HEAD: usize = 16 << 10;
/// After a fault of accepting: descriptors come back as clients leave.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);

/// What every call needs.
pub struct Front {
    pub desk: Arc<Desk>,
    pub engines: Arc<Engines>,
    pub decoded: Decoded,
    pub phase: watch::Receiver<Phase>,
    pub keeper: Arc<Keeper>,
    /// Where bodies over the longest statement are kept; without it they are refused.
    pub store: Option<Arc<Store>>,
    pub spacing: Mutex<Spacing>,
    /// Bytes of statements that may be in hand at once.
    pub statements: Arc<Semaphore>,
}

/// Where a call came from.
#[derive(Clone, Copy, Debug)]
struct Client(IpAddr);

impl Front {
    fn sent(&self, key: Option<u64>, came: f64) -> f64 {
        let in_hand = self.desk.in_hand();
        let mut spacing = self.spacing.lock().unwrap_or_else(PoisonError::into_inner);
        spacing.sent(key, came, in_hand)
    }
}

pub fn router(front: Arc<Front>) -> Router {
    Router::new()
        .route("/healthz", get(health))
        .route("/v1/{group}", post(submit).delete(withdraw))
        .fallback(|| async { wrong(StatusCode::NOT_FOUND, "no such path") })
        .method_not_allowed_fallback(|| async { wrong(StatusCode::METHOD_NOT_ALLOWED, "method not served") })
        .with_state(front)
}

/// Accepts connections for as long as it is polled, or, once it is `closing`, until none waits to be accepted; each is
/// served in a task of its own.
pub async fn accept(
    listener: &TcpListener,
    router: &Router,
    guests: &Arc<Guests>,
    shut: &watch::Receiver<bool>,
    mut closing: watch::Receiver<bool>,
) {
    for number in 0.. {
        let accepted = if *closing.borrow_and_update() {
            yield_now().await;
            tokio::select! {
                biased;
                // Its share of a turn must not run out here: that would look as if nobody waited.
                accepted = unconstrained(listener.accept()) => accepted,
                () = std::future::ready(()) => return,
            }
        } else {
            tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                Ok(()) = closing.changed() => continue,
            }
        };
        match accepted {
            Ok((stream, client)) => {
                let guest = guests.seat(number).await;
                let peer = Peer::new(stream);
                peer.has_unread();
                let client = Client(client.ip().to_canonical());
                let mut serving = Box::pin(serve(peer, client, router.clone(), guest, shut.clone()));
                // Batches of a key count in the order in which they came, also those that came while this process had
                // no processor time: what a new connection has brought is taken before what came after it on an older
                // one, whose task stands behind this one. A task of its own would stand behind that.
                if poll_fn(|cx| Poll::Ready(serving.as_mut().poll(cx))).await.is_pending() {
                    tokio::spawn(serving);
                }
            }
            Err(fault) => {
                tracing::warn!(%fault, "a connection could not be accepted");
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// How a connection's calls came to their end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// The client has left, or said nothing for too long: nothing is owed.
    Gone,
    /// Its last answer said so, or what it sent is no call.
    Last,
    /// We were to close it, and no call was open.
    Idle,
    /// The same, and its place is wanted.
    Evicted,
}

/// Serves a connection until it ends, says nothing for too long, or is to give way.
async fn serve(peer: Peer, client: Client, router: Router, guest: Guest, mut shut: watch::Receiver<bool>) {
    let guest = Arc::new(guest);
    let mut closing = false;
    let evicted = loop {
        let (asks, router, of) = (guest.clone(), router.clone(), peer.clone());
        let service = hyper::service::service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(of.clone());
            request.extensions_mut().insert(client);
            let (asks, answer) = (asks.clone(), router.clone().call(request));
            asks.asks();
            Box::pin(async move {
                let answer = answer.await;
                asks.idles();
                answer
            })
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).max_buf_size(LONGEST_HEAD).keep_alive(!closing);
        builder.header_read_timeout(if closing { FIRST_CALL } else { IDLE });
        let mut connection = builder.serve_connection(peer.stream(), service);
        let close = converse(&mut connection, &peer, &guest, client, &mut shut).await;
        if close == Close::Gone {
            return;
        }
        let evicted = close == Close::Evicted;
        let rest = connection.into_parts().read_buf;
        peer.unread(&rest);
        // A call that had begun to come before we close is still taken, as the last.
        if closing || close == Close::Last || !peer.has_unread() {
            break evicted;
        }
        closing = true;
    };
    peer.shut();
    if !evicted {
        guest.leaves();
        tokio::select! {
            () = part(&peer) => {}
            () = guest.leave.notified() => {}
        }
    }
    peer.discard();
}

/// Answers a connection's calls, one after another.
async fn converse<S>(
    connection: &mut http1::Connection<Inbound, S>,
    peer: &Peer,
    guest: &Guest,
    client: Client,
    shut: &mut watch::Receiver<bool>,
) -> Close
where
    S: hyper::service::HttpService<Incoming, ResBody = Body> + Unpin,
    S::Future: Unpin,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let first_call = sleep(FIRST_CALL);
    tokio::pin!(first_call);
    let (mut looked, mut told, mut granted) = (false, false, false);
    let mut close = Close::Last;
    loop {
        tokio::select! {
            biased;
            end = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {
                if let Err(fault) = end {
                    tracing::debug!(%fault, "a client's connection ended");
                    return Close::Last;
                }
                return close;
            }
            () = peer.left(|| guest.is_asking()) => {
                tracing::debug!(client = ?client.0, "a client has left");
                return Close::Gone;
            }
            () = guest.leave.notified() => {
                // What has come by now is answered first, and another gives way.
                if guest.is_asking() || peer.has_unread() {
                    guest.stays();
                    continue;
                }
                tracing::debug!(client = ?client.0, "a connection gives way");
                if guest.said_nothing() {
                    return Close::Gone;
                }
                close = Close::Evicted;
                Pin::new(&mut *connection).graceful_shutdown();
            }
            () = &mut first_call, if guest.said_nothing() && !first_call.is_elapsed() => {
                if guest.said_nothing() && (granted || !peer.has_unread()) {
                    tracing::debug!(client = ?client.0, "a silent connection is closed");
                    return Close::Gone;
                }
                // What had come while this process had no processor time is still read, but once.
                granted = true;
                first_call.as_mut().reset(Instant::now() + REST_EVERY);
            }
            Ok(_) = shut.wait_for(|shut| *shut), if !told => {
                // A call that came before is read before the connection is told to end.
                if !looked && !guest.is_asking() && peer.has_unread() {
                    looked = true;
                    continue;
                }
                told = true;
                close = if guest.is_asking() { Close::Last } else { Close::Idle };
                Pin::new(&mut *connection).graceful_shutdown();
            }
        }
    }
}

/// Lets a client that is still sending read its answer: closed with bytes unread, the connection would be reset
/// and the answer lost.
async fn part(peer: &Peer) {
    let mut stream = TokioIo::new(peer.stream());
    let mut rest = [0; REST];
    let all = async {
        while let Ok(1..) = stream.read(&mut rest).await {
            sleep(REST_EVERY).await;
        }
    };
    // Whoever goes on sending is cut off.
    let _ = timeout(PARTING, all).await;
}

async fn health(State(front): State<Arc<Front>>) -> Response {
    let phase = *front.phase.borrow();
    match phase {
        Phase::Serving => (StatusCode::OK, "serving\n").into_response(),
        Phase::Starting | Phase::Draining | Phase::Stopped => {
            (StatusCode::SERVICE_UNAVAILABLE, "not serving\n").into_response()
        }
    }
}

async fn submit(
    State(front): State<Arc<Front>>,
    Path(group): Path<String>,
    Extension(peer): Extension<Peer>,
    Extension(Client(client)): Extension<Client>,
    head: HeaderMap,
    body: Body,
) -> Response {
    let length = body.size_hint().exact();
    if let Some(store) = front.store.clone().filter(|_| length.is_none_or(|n| n > LONGEST_STATEMENT)) {
        return streamed(&front, &store, &group, &head, client, &peer, body).await;
    }
    if head.contains_key(TRANSFER_ENCODING) {
        // Told in two ways, a length may hide another call in the body: only Content-Length counts.
        return last(wrong(StatusCode::LENGTH_REQUIRED, "a statement comes with its Content-Length"));
    }
    let length = length.unwrap_or(u64::MAX);
    if length > LONGEST_STATEMENT {
        return last(wrong(StatusCode::PAYLOAD_TOO_LARGE, "statement too long"));
    }
    let Ok(memory) = front.statements.clone().try_acquire_many_owned(length as u32) else {
        // Not pushed back: the id may be that of a batch in hand.
        return last(wrong(StatusCode::INSUFFICIENT_STORAGE, "too many statements in hand"));
    };
    let body = match timeout(FIRST_CALL, to_bytes(body, LONGEST_STATEMENT as usize)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return last(wrong(StatusCode::BAD_REQUEST, "statement cut off")),
        Err(_) => return last(wrong(StatusCode::REQUEST_TIMEOUT, "statement came too slowly")),
    };
    let came = front.desk.clock().at(peer.read_at());
    let (arrival, call) = match arrival(&front.decoded, &group, &head, client, body) {
        Ok(taken) => taken,
        Err(what) => {
            tracing::debug!(what, "no batch");
            return wrong(StatusCode::BAD_REQUEST, &what);
        }
    };
    match take(&front, arrival, call, came, memory, &peer) {
        Ok(waiter) => answer(waiter).await,
        Err(refused) => *refused,
    }
}

/// Takes a batch, or joins the one in hand: who waits for it, or what is answered at once.
fn take(
    front: &Front,
    mut arrival: Arrival,
    call: Call,
    came: f64,
    memory: OwnedSemaphorePermit,
    peer: &Peer,
) -> Result<Waiter, Box<Response>> {
    if peer.has_left() {
        // Its call stood behind another one, or waited for its slot: nothing is owed, and nothing is sent for it.
        tracing::debug!(job = arrival.job, "its client has left");
        return Err(last(wrong(StatusCode::BAD_REQUEST, "the client has left")).into());
    }
    arrival.limit += front.sent(arrival.key, came);
    let call = Arc::new(call);
    Ok(match front.desk.take(arrival, call.clone()) {
        Taken::New { id, orders, waiter, once_only, attended } => {
            let (desk, engines, keeper) = (front.desk.clone(), front.engines.clone(), front.keeper.clone());
            let life = Life { desk, engines, id, call, orders, keeper, once_only, attended, _memory: memory };
            tokio::spawn(life.live());
            waiter
        }
        Taken::Joined(waiter) => waiter,
        Taken::Other => return Err(wrong(StatusCode::CONFLICT, "this id is that of another batch").into()),
        Taken::Over => return Err(wrong(StatusCode::CONFLICT, "this id has had its answer").into()),
        Taken::MayHaveRun => return Err(wrong(StatusCode::INTERNAL_SERVER_ERROR, "Failed").into()),
        Taken::Turned(turned) => return Err(turned_away(front, turned).into()),
    })
}

/// A body too long to be read whole first: it goes on while it comes in, and is kept as it passes.
async fn streamed(
    front: &Front,
    store: &Arc<Store>,
    group: &str,
    head: &HeaderMap,
    client: IpAddr,
    peer: &Peer,
    mut body: Body,
) -> Response {
    let length = body.size_hint().exact();
    let came = front.desk.clock().at(peer.read_at());
    let (mut arrival, mut call) = match arrival(&front.decoded, group, head, client, STANDS_IN) {
        Ok(taken) => taken,
        Err(what) => return last(wrong(StatusCode::BAD_REQUEST, &what)),
    };
    let once_only = front.desk.is_once_only(arrival.group);
    let kept = match store.admit_as(arrival.tenant, arrival.group, length, once_only) {
        Ok(kept) => kept,
        Err(refused) => return last(not_kept(refused)),
    };
    let _writing = Writing(kept.clone());
    let mut first = Vec::new();
    while first.len() < FIRST_BYTES {
        match timeout(FIRST_CALL, next_chunk(&mut body)).await {
            Ok(Ok(Some(bytes))) => {
                first.extend_from_slice(&bytes);
                if kept.push(bytes).await.is_err() {
                    return last(not_kept(Refused::NoRoom));
                }
            }
            Ok(Ok(None)) => break,
            Ok(Err(())) => return last(wrong(StatusCode::BAD_REQUEST, "statement cut off")),
            Err(_) => return last(wrong(StatusCode::REQUEST_TIMEOUT, "statement came too slowly")),
        }
    }
    if first.is_empty() {
        return last(wrong(StatusCode::BAD_REQUEST, "no statement"));
    }
    arrival.data_set = statement::data_set(&first).unwrap_or(0);
    arrival.bytes = length.unwrap_or(first.len() as u64);
    drop(first);
    call.statement = Statement::Streamed(kept.clone());
    let job = arrival.job;
    let Ok(memory) = front.statements.clone().try_acquire_many_owned(0) else {
        return last(wrong(StatusCode::INSUFFICIENT_STORAGE, "too many statements in hand"));
    };
    let waiter = match take(front, arrival, call, came, memory, peer) {
        Ok(waiter) => waiter,
        Err(refused) => return last(*refused),
    };
    let answering = answer(waiter);
    tokio::pin!(answering);
    let pumped = tokio::select! {
        biased;
        // Whatever still comes is not wanted any more.
        answer = &mut answering => return last(answer),
        pumped = pump(&mut body, &kept) => pumped,
    };
    match pumped {
        Ok(()) => answering.await,
        Err(what) => {
            front.desk.withdraw(job);
            last(wrong(StatusCode::BAD_REQUEST, what))
        }
    }
}

/// Whoever stops to take a body in, for whatever reason, tells who reads it; where it is whole that changes nothing.
struct Writing(Arc<Kept>);

impl Drop for Writing {
    fn drop(&mut self) {
        self.0.cut_off();
    }
}

/// Takes in the rest of a body. It ends at the latest with its batch, which its limit bounds.
async fn pump(body: &mut Body, kept: &Kept) -> Result<(), &'static str> {
    while let Some(bytes) = next_chunk(body).await.map_err(|()| "statement cut off")? {
        kept.push(bytes).await.map_err(|_| "the body can't be kept, or is longer than it may be")?;
    }
    kept.finish().await;
    Ok(())
}

async fn next_chunk(body: &mut Body) -> Result<Option<bytes::Bytes>, ()> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(()),
            // Trailers say nothing here.
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}

fn not_kept(refused: Refused) -> Response {
    match refused {
        Refused::TooLarge { most } => {
            wrong(StatusCode::PAYLOAD_TOO_LARGE, &format!("a body has {most} bytes at most"))
        }
        Refused::UnknownLength => {
            wrong(StatusCode::LENGTH_REQUIRED, "a statement comes with its Content-Length")
        }
        Refused::NoRoom => pushed_back(&json!({"error": "Busy", "reason": "no room for the body"}), None),
    }
}

async fn answer(waiter: Waiter) -> Response {
    let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
    match waiter.answer().await {
        Final::Returned(body) => (StatusCode::OK, [json], body).into_response(),
        Final::PushedBack { come_back } => pushed_back(&json!({"error": "Busy"}), come_back),
        Final::Errored => wrong(StatusCode::INTERNAL_SERVER_ERROR, "Failed"),
    }
}

/// Trying again is harmless, after so many seconds.
fn pushed_back(body: &serde_json::Value, come_back: Option<f64>) -> Response {
    let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let mut response = (StatusCode::SERVICE_UNAVAILABLE, [json], body.to_string()).into_response();
    if let Some(seconds) = come_back {
        response.headers_mut().insert(COME_BACK, HeaderValue::from((seconds * 1000.0) as u64));
    }
    response
}

/// What the plan does not let in is answered at once.
fn turned_away(front: &Front, turned: Turned) -> Response {
    match turned {
        Turned::TooLong { most } => {
            last(wrong(StatusCode::PAYLOAD_TOO_LARGE, &format!("the plan allows statements of {most} bytes")))
        }
        Turned::Away { reason, come_back } => {
            tracing::debug!(reason, ?come_back, "turned away");
            let settings = &front.decoded.settings;
            let body = json!({"error": "Busy", "reason": reason});
            let seconds = come_back.map(|span| span.as_secs_f64().min(settings.longest_return));
            pushed_back(&body, seconds.filter(|_| settings.names_return))
        }
    }
}

async fn withdraw(State(front): State<Arc<Front>>, head: HeaderMap) -> Response {
    match field(&head, ID).and_then(|id| hex(ID, id)) {
        Ok(job) if front.desk.withdraw(job) => StatusCode::NO_CONTENT.into_response(),
        Ok(_) => wrong(StatusCode::NOT_FOUND, "no batch of this id is in hand"),
        Err(what) => wrong(StatusCode::BAD_REQUEST, &what),
    }
}

/// The last answer on its connection: what may follow is not read as a call.
fn last(mut answer: Response) -> Response {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// A short answer that says what is wrong.
fn wrong(status: StatusCode, what: &str) -> Response {
    let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
    (status, [json], json!({"error": what}).to_string()).into_response()
}

/// Takes out of a call what decisions need, and checks it; its limit counts from when it was sent.
fn arrival(
    decoded: &Decoded,
    group: &str,
    head: &HeaderMap,
    client: IpAddr,
    statement: bytes::Bytes,
) -> Result<(Arrival, Call), String> {
    let names = &decoded.names;
    let unknown = || format!("unknown service group '{group}'");
    let index = names.groups.iter().position(|g| g == group).ok_or_else(unknown)?;
    let id = field(head, ID)?;
    let job = hex(ID, id)?;
    let most = decoded.settings.groups[index].limit * 1000.0;
    let allowed = field(head, ALLOWED)?.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let allowed = allowed.ok_or_else(|| format!("{ALLOWED}: no number"))?;
    if !(allowed > 0.0 && allowed <= most) {
        return Err(format!("{ALLOWED}: more than 0 and {most} at most expected"));
    }
    if statement.is_empty() {
        return Err("no statement".into());
    }
    let tenant = match head.contains_key(TENANT) || !names.tenants.is_empty() {
        true => {
            let name = field(head, TENANT)?.to_str().unwrap_or_default();
            names.tenants.iter().position(|t| t == name).ok_or_else(|| format!("{TENANT}: unknown"))?
        }
        false => 0,
    };
    let key = match head.contains_key(KEY) {
        true => Some(hex(KEY, field(head, KEY)?)?),
        false => None,
    };
    let limit = allowed / 1000.0;
    let data_set = statement::data_set(&statement).unwrap_or(0);
    let group_name = HeaderValue::from_str(group).map_err(|_| unknown())?;
    let bytes = statement.len() as u64;
    let mark = head.contains_key(MARK).then(|| field(head, MARK)).transpose()?.cloned();
    let cost = estimate(head, COST)?.map(|ms| ms / 1000.0);
    let memory = estimate(head, MEMORY)?;
    let in_order = key.is_some() && decoded.settings.groups[index].in_order;
    let statement = Statement::Whole(statement);
    let call = Call { id: id.clone(), group: group_name, mark, in_order, statement };
    Ok((Arrival { job, group: index, tenant, key, limit, cost, memory, data_set, client, bytes }, call))
}

/// An estimate that may come with a batch; 0 says nothing.
fn estimate(head: &HeaderMap, name: &str) -> Result<Option<f64>, String> {
    if !head.contains_key(name) {
        return Ok(None);
    }
    let told = field(head, name)?.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let told = told.filter(|v| v.is_finite() && *v >= 0.0);
    Ok(Some(told.ok_or_else(|| format!("{name}: a number of 0 or more expected"))?).filter(|v| *v > 0.0))
}

/// The one value of a field.
fn field<'a>(head: &'a HeaderMap, name: &str) -> Result<&'a HeaderValue, String> {
    let mut values = head.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => Ok(value),
        (None, _) => Err(format!("{name}: missing")),
        (Some(_), Some(_)) => Err(format!("{name}: repeated")),
    }
}

fn hex(name: &str, value: &HeaderValue) -> Result<u64, String> {
    let text = value.to_str().unwrap_or_default();
    let digits = text.len() == DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    let parsed = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    parsed.ok_or_else(|| format!("{name}: {DIGITS} hex digits expected"))
}
