//! Engines over HTTP: the connections to them and the budget of those, dispatches, probes.

mod attempt;
mod call;
mod request;
mod response;
pub mod result_rows;
#[cfg(test)]
mod tests;

pub use crate::discovery::Target;
pub use call::{AttemptEvents, AttemptResult, AttemptStart, Call, CancellationState, Statement};

use crate::discovery::{EngineList, Warmed};
use crate::system::clock::span;
use crate::system::socket::Socket;
use crate::system::stream_budget::{
    Abandoned, BudgetedStream, ResourceBudget, SendGate, LONGEST_HEAD,
};
use attempt::{EngineAttempt, ResponseTimeout};
use garnetwall::api::{AttemptEnd, EngineId, LoadReport};
use garnetwall_ledger::{Bounds, Ledger};
use garnetwall_settings::Network;
use http::{Method, StatusCode};
use hyper::client::conn::http1;
use request::{request, Sender};
use response::Fault;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{watch, Semaphore};
use tokio::time::timeout;

/// Protocol: news is held back this long at most.
const NEWS: Duration = Duration::from_millis(250);

/// Protocol: every time limit on sockets is this much longer.
const LONGER: Duration = Duration::from_millis(50);

/// Protocol: a dispatch that nobody asks for ends after this.
const UNASKED: Duration = Duration::from_secs(2);

/// In place of the index of an engine that the module does not know.
const NOT_LISTED: EngineId = EngineId::MAX;

/// How long batches may know of an engine after it has gone, where the longest time limit is this one in seconds.
pub fn endpoint_retention(longest: f64) -> Duration {
    span(longest) + UNASKED
}

pub struct Engines {
    budget: Arc<Semaphore>,
    dial: Duration,
    list: Arc<EngineList>,
    ledger: Mutex<Ledger>,
    bounds: Bounds,
    /// The longest time limit of any service group.
    longest: Duration,
    began: Instant,
}

impl Engines {
    /// `notes_every` is the time between an engine's notes on a dispatch; 0 where there are none.
    pub fn new(
        network: Network,
        notes_every: f64,
        budget: &ResourceBudget,
        longest: f64,
        list: Arc<EngineList>,
    ) -> Self {
        let dial = span(network.dial);
        let bounds = Bounds {
            long_poll: NEWS,
            progress_events: notes_every > 0.0,
            poll_expiry: UNASKED,
            cancel_pause: LONGER,
        };
        Engines {
            budget: budget.engines.clone(),
            dial,
            list,
            ledger: Mutex::new(Ledger::new(bounds)),
            bounds,
            longest: span(longest),
            began: Instant::now(),
        }
    }

    fn way(&self, target: Target) -> EngineAttempt<'_> {
        EngineAttempt {
            engines: self,
            target,
            dispatch: None,
            sender: None,
            abandoned: Abandoned::default(),
            gate: None,
            comes_by: None,
            until: Instant::now(),
            may_have_come: false,
            unreadable: false,
            connection: 0,
            patience: ResponseTimeout::new(self.dial, Instant::now()),
        }
    }

    /// How long a dispatch can run that nobody asks for, from when an earlier process may last have asked.
    pub fn longest_unpolled_run(&self) -> Duration {
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
        gate: Option<Arc<SendGate>>,
    ) -> Result<(Sender, Abandoned), Fault> {
        // What holds the connection up so far lies here, not with the engine.
        let held_here = AtomicBool::new(true);
        let dialled = timeout(self.dial, async {
            let permit = self
                .budget
                .clone()
                .acquire_owned()
                .await
                .map_err(io::Error::other)?;
            let line =
                BudgetedStream::new(Socket::connect(address, &held_here).await?, Some(permit))
                    .gated(gate);
            let abandoned = line.abandoned();
            let mut builder = http1::Builder::new();
            let up = builder
                .max_buf_size(LONGEST_HEAD)
                .handshake(line)
                .await
                .map_err(io::Error::other)?;
            Ok::<_, io::Error>((up, abandoned))
        });
        match dialled.await {
            Ok(Ok(((sender, connection), abandoned))) => {
                tokio::spawn(async move { drop(connection.await) });
                Ok((sender, abandoned))
            }
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Err(Fault::Refused),
            Err(_) if held_here.load(Ordering::Relaxed) => Err(Fault::Local),
            Ok(Err(_)) | Err(_) => Err(Fault::Unconnected),
        }
    }

    fn list(&self) -> &EngineList {
        &self.list
    }

    pub fn target(&self, engine: EngineId) -> Option<Target> {
        self.list.target(engine)
    }

    /// Starts a dispatch and asks for it without gap until it is over: it has ended, or can't be running any more.
    /// Where asking can't tell any more, or nobody wants to know, it is given up, which may take until the
    /// ledger's bound; what is known until then goes to `tidings`.
    pub async fn run_attempt(
        &self,
        target: Target,
        call: &Call,
        start: AttemptStart,
        wishes: watch::Receiver<CancellationState>,
        tidings: AttemptEvents,
    ) -> AttemptResult {
        // The protocol names no end of what notes keep running, and an engine was seen to pass the patience it was told. A
        // cut that outlasts every limit is not covered.
        let kept = if call.in_order {
            self.longest
        } else {
            Duration::ZERO
        };
        let id = self.ledger().open(self.now(), kept);
        let (wish, attended, list) = (
            wishes.clone(),
            start.client_presence.clone(),
            self.list.clone(),
        );
        let ends = start.response_deadline.min(start.send_deadline);
        let wanted = move || {
            *wish.borrow() == CancellationState::NotRequested
                && attended.is_waiting()
                && Instant::now() < ends
        };
        // Its first byte counts as sending it: what has begun to leave may go on while its engine drains.
        let gate = SendGate::new(move || list.accepts_attempts(target), wanted);
        let comes_by = Some(start.send_deadline).filter(|by| *by < start.response_deadline);
        let gate = Some(Arc::new(gate));
        let until = start.response_deadline;
        let mut way = EngineAttempt {
            dispatch: Some(id),
            gate,
            comes_by,
            until,
            ..self.way(target)
        };
        let over = way.live(call, start, wishes, tidings).await;
        self.ledger().close(id);
        over
    }

    /// Tells the list's subset how an attempt ended, where that says something of the engine.
    pub fn record_attempt_end(&self, engine: EngineId, end: AttemptEnd) {
        match end {
            AttemptEnd::Succeeded | AttemptEnd::Rejected => self.list.attempted(engine, false),
            AttemptEnd::Failed
            | AttemptEnd::TimedOut
            | AttemptEnd::ConnectFailed
            | AttemptEnd::ConnectionLost => self.list.attempted(engine, true),
            AttemptEnd::Cancelled | AttemptEnd::NotNeeded | AttemptEnd::NotSent => {}
        }
    }

    /// Brings up a connection to an engine that the module does not know yet, with a probe where engines may be probed.
    pub async fn warm(&self, address: SocketAddr, may_probe: bool) -> Warmed {
        let target = Target {
            engine: NOT_LISTED,
            address,
        };
        let (end, report) = match may_probe {
            true => self.probe_at(target).await,
            false => match self.connect(address, None).await {
                Ok(_) => (AttemptEnd::Succeeded, None),
                Err(Fault::Local) => (AttemptEnd::NotSent, None),
                Err(_) => (AttemptEnd::ConnectFailed, None),
            },
        };
        Warmed { end, report }
    }

    pub async fn health_check(&self, engine: EngineId) -> (AttemptEnd, Option<LoadReport>) {
        match self.target(engine) {
            Some(target) => self.probe_at(target).await,
            None => (AttemptEnd::ConnectFailed, None),
        }
    }

    async fn probe_at(&self, target: Target) -> (AttemptEnd, Option<LoadReport>) {
        let stats = request(Method::GET, target.address, "/stats");
        match self
            .way(target)
            .call(stats, None, self.dial + self.dial, false)
            .await
        {
            Ok(reply) if reply.status == StatusCode::OK => (AttemptEnd::Succeeded, reply.report()),
            Ok(reply) => (AttemptEnd::Failed, reply.report()),
            Err(Fault::Refused | Fault::Unconnected) => (AttemptEnd::ConnectFailed, None),
            Err(Fault::Local) => (AttemptEnd::NotSent, None),
            Err(Fault::Silent) => (AttemptEnd::TimedOut, None),
            Err(Fault::Broken | Fault::Garbled) => (AttemptEnd::ConnectionLost, None),
        }
    }

    /// Logs an engine that goes out of reach or comes back, once each.
    fn heard(&self, target: Target, fault: Option<&Fault>) {
        let Target { engine, address } = target;
        let out = match fault {
            Some(Fault::Refused | Fault::Unconnected) => true,
            // It was there to connect to; one that is cut off shows by the next connection.
            Some(Fault::Local | Fault::Silent | Fault::Broken | Fault::Garbled) => return,
            None => false,
        };
        if !self.list.reached(target, !out) {
            return;
        }
        match out {
            false => tracing::info!(engine, %address, "engine reached again"),
            true => tracing::warn!(engine, %address, ?fault, "engine out of reach"),
        }
    }
}
