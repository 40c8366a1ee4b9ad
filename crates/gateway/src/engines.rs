//! HTTP client of the engines: opens connections within the connection budget, runs attempts and checks health.
//!
//! [`Engines`] owns the connection budget, the endpoint list and the ledger of attempts that may still run. The
//! submodule `attempt` holds the lifecycle of one attempt; `protocol` defines all names and time limits of the engine
//! protocol.

mod attempt;
mod client_presence;
mod connect;
mod health_check;
mod messages;
mod protocol;
mod request;
mod response;
pub mod result_rows;
#[cfg(test)]
pub mod test_clients;
#[cfg(test)]
mod tests;

pub use crate::discovery::EngineTarget;
pub use client_presence::{ClientPresence, WaitingClient};
pub use messages::{
    AttemptEvents, AttemptResult, AttemptStart, CancellationState, ForwardedQuery, Statement,
};

use crate::discovery::{EngineHealth, EngineList};
use crate::supervision::Supervisor;
use crate::system::clock::clamped_duration;
use crate::system::resource_budget::ResourceBudget;
use crate::system::result_memory::ResultMemory;
use crate::system::send_gate::SendGate;
use attempt::EngineSession;
use garnetwall::api::{AttemptEnd, EngineId};
use garnetwall_ledger::{AttemptId, Ledger, ProgressEvents, ProtocolLimits};
use garnetwall_settings::NetworkTimeouts;
use protocol::{CANCEL_RETRY_PAUSE, LONG_POLL_LIMIT, MAX_UNPOLLED_RUN, POLL_EXPIRY};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{watch, Semaphore};

/// The time for which queries may refer to an engine after it has left the endpoint list. `longest_deadline` is the
/// longest deadline of any query class, in seconds.
pub fn endpoint_retention(longest_deadline: f64) -> Duration {
    clamped_duration(longest_deadline) + POLL_EXPIRY
}

/// HTTP client of all engines in the endpoint list.
pub struct Engines {
    connection_permits: Arc<Semaphore>,
    connect_timeout: Duration,
    /// Memory budget for the pages of results.
    page_memory: ResultMemory,
    list: Arc<EngineList>,
    /// Starts the tasks of connections.
    supervisor: Supervisor,
    /// Attempts that were started and are not proved to have ended.
    ledger: Mutex<Ledger>,
    protocol_limits: ProtocolLimits,
    /// The longest deadline of any query class.
    longest_deadline: Duration,
    /// The origin of the ledger's times.
    started_at: Instant,
}

impl Engines {
    /// Creates a client whose connections stay within the engines' part of `budget`. `progress_interval` is the time
    /// between two progress events of an attempt (0 if engines send none), and `longest_deadline` is the longest
    /// deadline of any query class; both are in seconds.
    pub fn new(
        network: NetworkTimeouts,
        progress_interval: f64,
        budget: &ResourceBudget,
        longest_deadline: f64,
        list: Arc<EngineList>,
        supervisor: Supervisor,
    ) -> Self {
        let progress_events = if progress_interval > 0.0 {
            ProgressEvents::KeepRunning
        } else {
            ProgressEvents::NotSent
        };
        let protocol_limits = ProtocolLimits {
            long_poll: LONG_POLL_LIMIT,
            progress_events,
            poll_expiry: POLL_EXPIRY,
            cancel_pause: CANCEL_RETRY_PAUSE,
        };
        Engines {
            connection_permits: budget.engine_connections.clone(),
            page_memory: budget.page_memory.clone(),
            connect_timeout: clamped_duration(network.connect_timeout),
            list,
            supervisor,
            ledger: Mutex::new(Ledger::new(protocol_limits)),
            protocol_limits,
            longest_deadline: clamped_duration(longest_deadline),
            started_at: Instant::now(),
        }
    }

    /// The longest time for which an attempt can run after its last poll was sent, unless progress events keep it
    /// running. At start-up, ordering keys of queries that an earlier process may have left running are paused for this
    /// time.
    pub fn longest_unpolled_run(&self) -> Duration {
        MAX_UNPOLLED_RUN
    }

    /// The longest time for which an attempt of a query can run after its task has panicked, since nothing polls it.
    pub fn longest_run_without_task(&self, query: &ForwardedQuery) -> Duration {
        match self.protocol_limits.progress_events {
            ProgressEvents::KeepRunning => MAX_UNPOLLED_RUN + self.progress_expiry(query),
            ProgressEvents::NotSent => MAX_UNPOLLED_RUN,
        }
    }

    /// The current time on the ledger's clock.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list(&self) -> &EngineList {
        &self.list
    }

    /// The address to which attempts at an engine are sent; `None` if the engine is not in the endpoint list.
    pub fn target(&self, engine: EngineId) -> Option<EngineTarget> {
        self.list.target(engine)
    }

    /// Starts an attempt and polls it until it has ended or can't be running any more.
    ///
    /// If the outcome stays unknown or the attempt is cancelled, this returns once the ledger has a proof that the
    /// attempt does not run, within the ledger's time bound. Facts that become known earlier are sent to `events`.
    pub async fn run_attempt(
        &self,
        target: EngineTarget,
        query: &ForwardedQuery,
        start: AttemptStart,
        cancellation: watch::Receiver<CancellationState>,
        events: AttemptEvents,
    ) -> AttemptResult {
        let entry = LedgerEntry::new(self, query);
        let send_gate = self.send_gate(target, &start, cancellation.clone());
        let mut session = EngineSession::for_attempt(self, target, entry.id, send_gate, &start);
        session.run(query, &start, cancellation, events).await
    }

    /// The time after its last poll for which progress events alone are assumed to keep an attempt running. The
    /// protocol sets no limit on that. The longest deadline is used for a query that must not overlap the next one of
    /// its ordering key. For any other query the time is zero, so that only the poll expiry counts.
    fn progress_expiry(&self, query: &ForwardedQuery) -> Duration {
        if query.in_order {
            self.longest_deadline
        } else {
            Duration::ZERO
        }
    }

    /// Creates the gate for the request that starts an attempt. The engine must accept new attempts when the first byte
    /// is sent; a request that is already being sent may complete while the engine drains.
    fn send_gate(
        &self,
        target: EngineTarget,
        start: &AttemptStart,
        cancellation: watch::Receiver<CancellationState>,
    ) -> SendGate {
        let list = self.list.clone();
        let may_start = move || list.accepts_attempts(target);
        let client_presence = start.client_presence.clone();
        let deadline = start.response_deadline.min(start.send_deadline);
        let is_wanted = move || {
            *cancellation.borrow() == CancellationState::NotRequested
                && client_presence.is_connected()
                && Instant::now() < deadline
        };
        SendGate::new(may_start, is_wanted)
    }

    /// Reports the engine's health to the endpoint list, if the end of the attempt says anything about it.
    pub fn record_attempt_end(&self, engine: EngineId, end: AttemptEnd) {
        let health = match end {
            AttemptEnd::Succeeded | AttemptEnd::Rejected => EngineHealth::Healthy,
            AttemptEnd::Failed
            | AttemptEnd::TimedOut
            | AttemptEnd::ConnectFailed
            | AttemptEnd::ConnectionLost => EngineHealth::Failing,
            AttemptEnd::Cancelled | AttemptEnd::NotNeeded | AttemptEnd::NotSent => return,
        };
        self.list.attempt_ended(engine, health);
    }
}

/// The ledger's entry of an attempt in flight, which is closed on drop, also by a panic.
struct LedgerEntry<'a> {
    engines: &'a Engines,
    id: AttemptId,
}

impl<'a> LedgerEntry<'a> {
    fn new(engines: &'a Engines, query: &ForwardedQuery) -> Self {
        let progress_expiry = engines.progress_expiry(query);
        let id = engines.ledger().open(engines.now(), progress_expiry);
        LedgerEntry { engines, id }
    }
}

impl Drop for LedgerEntry<'_> {
    fn drop(&mut self) {
        self.engines.ledger().close(self.id);
    }
}
