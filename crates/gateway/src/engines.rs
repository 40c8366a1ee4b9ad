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
use crate::system::budgeted_stream::{AbortFlag, BudgetedStream, MAX_RESPONSE_HEAD_BYTES};
use crate::system::clock::span;
use crate::system::resource_budget::ResourceBudget;
use crate::system::send_gate::SendGate;
use crate::system::socket::Socket;
use attempt::{EngineAttempt, ResponseTimeout};
use garnetwall::api::{AttemptEnd, EngineId, LoadReport};
use garnetwall_ledger::{Bounds, Ledger};
use garnetwall_settings::Network;
use http::{Method, StatusCode};
use hyper::client::conn::http1;
use request::{request, Sender};
use response::CallError;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{watch, Semaphore};
use tokio::time::timeout;

/// Protocol: news is held back this long at most.
const LONG_POLL_LIMIT: Duration = Duration::from_millis(250);

/// Protocol: every time limit on sockets is this much longer.
const SOCKET_TIMEOUT_SLACK: Duration = Duration::from_millis(50);

/// Protocol: a dispatch that nobody asks for ends after this.
const POLL_EXPIRY: Duration = Duration::from_secs(2);

/// In place of the index of an engine that the module does not know.
const UNLISTED_ENGINE: EngineId = EngineId::MAX;

/// How long batches may know of an engine after it has gone, where the longest time limit is this one in seconds.
pub fn endpoint_retention(longest_time_limit: f64) -> Duration {
    span(longest_time_limit) + POLL_EXPIRY
}

pub struct Engines {
    connection_permits: Arc<Semaphore>,
    connect_timeout: Duration,
    list: Arc<EngineList>,
    ledger: Mutex<Ledger>,
    bounds: Bounds,
    /// The longest time limit of any service group.
    longest_time_limit: Duration,
    started_at: Instant,
}

impl Engines {
    /// `progress_interval` is the time between an engine's notes on a dispatch; 0 where there are none.
    pub fn new(
        network: Network,
        progress_interval: f64,
        budget: &ResourceBudget,
        longest_time_limit: f64,
        list: Arc<EngineList>,
    ) -> Self {
        let connect_timeout = span(network.dial);
        let bounds = Bounds {
            long_poll: LONG_POLL_LIMIT,
            progress_events: progress_interval > 0.0,
            poll_expiry: POLL_EXPIRY,
            cancel_pause: SOCKET_TIMEOUT_SLACK,
        };
        Engines {
            connection_permits: budget.engines.clone(),
            connect_timeout,
            list,
            ledger: Mutex::new(Ledger::new(bounds)),
            bounds,
            longest_time_limit: span(longest_time_limit),
            started_at: Instant::now(),
        }
    }

    fn attempt(&self, target: Target) -> EngineAttempt<'_> {
        EngineAttempt {
            engines: self,
            target,
            ledger_id: None,
            sender: None,
            abort_flag: AbortFlag::default(),
            send_gate: None,
            send_deadline: None,
            response_deadline: Instant::now(),
            request_may_have_arrived: false,
            body_unreadable: false,
            connection: 0,
            response_timeout: ResponseTimeout::new(self.connect_timeout, Instant::now()),
        }
    }

    /// How long a dispatch can run that nobody asks for, from when an earlier process may last have asked.
    pub fn longest_unpolled_run(&self) -> Duration {
        LONG_POLL_LIMIT + POLL_EXPIRY
    }

    /// The ledger's time.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection within the budget and the settings' time.
    async fn connect(
        &self,
        address: SocketAddr,
        gate: Option<Arc<SendGate>>,
    ) -> Result<(Sender, AbortFlag), CallError> {
        // What holds the connection up so far lies here, not with the engine.
        let waits_for_local_resource = AtomicBool::new(true);
        let connecting = timeout(self.connect_timeout, async {
            let permit = self
                .connection_permits
                .clone()
                .acquire_owned()
                .await
                .map_err(io::Error::other)?;
            let stream = BudgetedStream::new(
                Socket::connect(address, &waits_for_local_resource).await?,
                Some(permit),
            )
            .gated(gate);
            let abort_flag = stream.abort_flag();
            let mut builder = http1::Builder::new();
            let client = builder
                .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
                .handshake(stream)
                .await
                .map_err(io::Error::other)?;
            Ok::<_, io::Error>((client, abort_flag))
        });
        match connecting.await {
            Ok(Ok(((sender, connection), abort_flag))) => {
                tokio::spawn(async move { drop(connection.await) });
                Ok((sender, abort_flag))
            }
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                Err(CallError::ConnectionRefused)
            }
            Err(_) if waits_for_local_resource.load(Ordering::Relaxed) => {
                Err(CallError::LocalResources)
            }
            Ok(Err(_)) | Err(_) => Err(CallError::ConnectFailed),
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
    /// ledger's bound; what is known until then goes to `events`.
    pub async fn run_attempt(
        &self,
        target: Target,
        call: &Call,
        start: AttemptStart,
        cancellation: watch::Receiver<CancellationState>,
        events: AttemptEvents,
    ) -> AttemptResult {
        // The protocol names no end of what notes keep running, and an engine was seen to pass the patience it was told. A
        // cut that outlasts every limit is not covered.
        let run_time = if call.in_order {
            self.longest_time_limit
        } else {
            Duration::ZERO
        };
        let id = self.ledger().open(self.now(), run_time);
        let (state, client_presence, list) = (
            cancellation.clone(),
            start.client_presence.clone(),
            self.list.clone(),
        );
        let deadline = start.response_deadline.min(start.send_deadline);
        let wanted = move || {
            *state.borrow() == CancellationState::NotRequested
                && client_presence.is_waiting()
                && Instant::now() < deadline
        };
        // Its first byte counts as sending it: what has begun to leave may go on while its engine drains.
        let send_gate = SendGate::new(move || list.takes(target), wanted);
        let send_deadline = Some(start.send_deadline).filter(|by| *by < start.response_deadline);
        let send_gate = Some(Arc::new(send_gate));
        let response_deadline = start.response_deadline;
        let mut attempt = EngineAttempt {
            ledger_id: Some(id),
            send_gate,
            send_deadline,
            response_deadline,
            ..self.attempt(target)
        };
        let result = attempt.run(call, start, cancellation, events).await;
        self.ledger().close(id);
        result
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
    pub async fn warm(&self, address: SocketAddr, may_health_check: bool) -> Warmed {
        let target = Target {
            engine: UNLISTED_ENGINE,
            address,
        };
        let (end, report) = match may_health_check {
            true => self.check_target(target).await,
            false => match self.connect(address, None).await {
                Ok(_) => (AttemptEnd::Succeeded, None),
                Err(CallError::LocalResources) => (AttemptEnd::NotSent, None),
                Err(_) => (AttemptEnd::ConnectFailed, None),
            },
        };
        Warmed { end, report }
    }

    pub async fn health_check(&self, engine: EngineId) -> (AttemptEnd, Option<LoadReport>) {
        match self.target(engine) {
            Some(target) => self.check_target(target).await,
            None => (AttemptEnd::ConnectFailed, None),
        }
    }

    async fn check_target(&self, target: Target) -> (AttemptEnd, Option<LoadReport>) {
        let stats = request(Method::GET, target.address, "/stats");
        match self
            .attempt(target)
            .call(
                stats,
                None,
                self.connect_timeout + self.connect_timeout,
                false,
            )
            .await
        {
            Ok(reply) if reply.status == StatusCode::OK => (AttemptEnd::Succeeded, reply.report()),
            Ok(reply) => (AttemptEnd::Failed, reply.report()),
            Err(CallError::ConnectionRefused | CallError::ConnectFailed) => {
                (AttemptEnd::ConnectFailed, None)
            }
            Err(CallError::LocalResources) => (AttemptEnd::NotSent, None),
            Err(CallError::TimedOut) => (AttemptEnd::TimedOut, None),
            Err(CallError::ConnectionLost | CallError::InvalidResponse) => {
                (AttemptEnd::ConnectionLost, None)
            }
        }
    }

    /// Logs an engine that goes out of reach or comes back, once each.
    fn log_reachability(&self, target: Target, error: Option<&CallError>) {
        let Target { engine, address } = target;
        let unreachable = match error {
            Some(CallError::ConnectionRefused | CallError::ConnectFailed) => true,
            // It was there to connect to; one that is cut off shows by the next connection.
            Some(
                CallError::LocalResources
                | CallError::TimedOut
                | CallError::ConnectionLost
                | CallError::InvalidResponse,
            ) => return,
            None => false,
        };
        if !self.list.reached(target, !unreachable) {
            return;
        }
        match unreachable {
            false => tracing::info!(engine, %address, "engine reached again"),
            true => tracing::warn!(engine, %address, ?error, "engine out of reach"),
        }
    }
}
