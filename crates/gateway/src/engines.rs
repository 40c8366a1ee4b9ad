//! Engines over HTTP: the connections to them and the budget of those, dispatches, probes, the change log's stream.

mod call;
mod list;
mod outgoing;
mod reply;
#[cfg(test)]
mod tests;
mod way;

pub use call::{Call, Ended, Start, Statement, Tidings, Wish};
pub use list::Told;

use crate::changes::Event;
use crate::clock::span;
use crate::sockets::{Abandoned, Budget, Gate, Line};
use garnetwall::api::{Condition, End, EngineId, Report};
use garnetwall_ledger::{Bounds, Ledger};
use garnetwall_settings::Network;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use list::{lock, List};
use outgoing::{request, Sender};
use reply::Fault;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{watch, Semaphore};
use tokio::time::timeout;
use way::Way;

/// Protocol: news is held back this long at most.
const NEWS: Duration = Duration::from_millis(250);

/// Protocol: every time limit on sockets is this much longer.
const LONGER: Duration = Duration::from_millis(50);

/// Protocol: a dispatch that nobody asks for ends after this.
const UNASKED: Duration = Duration::from_secs(2);

/// More than any head of an answer; hyper asks for 8 KB at least.
const LONGEST_HEAD: usize = 16 << 10;

/// Where a dispatch goes; it stays there though the list changes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub engine: EngineId,
    address: SocketAddr,
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
