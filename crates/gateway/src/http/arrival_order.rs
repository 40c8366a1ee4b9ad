//! Admission stage: gives requests their turn in the order in which they arrived.
//!
//! The runtime polls connections in an order of its own. Requests that arrived one after another can therefore be read
//! in another order, above all after a time in which this process had no processor time. A request whose effect depends
//! on the order waits for its turn in [`ArrivalOrder`]: a query with an ordering key, and a cancellation.
//!
//! [`TurnGranter`] works in passes. A pass first lets the gateway catch up: it waits until all requests that arrived
//! before the pass began are read. It then grants their turns one by one, earliest arrival first.

use super::accept::AcceptQueue;
use super::client_connections::ClientConnections;
use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, Notify};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Interval between checks of whether the gateway has caught up.
const CATCH_UP_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Number of checks after which a pass goes on although the gateway has not caught up: no slot is free for a new
/// connection, or a client sends without a pause. Checks are counted instead of time, which also passes while this
/// process has no processor time.
const MAX_CATCH_UP_CHECKS: u32 = 50;

/// Place of a request in the order: when it arrived and, for equal times, its number in the order of reading.
type Place = (Instant, u64);

/// The right to act on a request. The next request gets its turn once this one is dropped.
pub(super) struct Turn {
    _ended: oneshot::Sender<()>,
}

/// The requests that wait for their turn.
#[derive(Default)]
pub struct ArrivalOrder {
    waiting: Mutex<Waiting>,
    /// Notified when a request begins to wait.
    request_waits: Notify,
}

#[derive(Default)]
struct Waiting {
    last_number: u64,
    requests: BTreeMap<Place, oneshot::Sender<Turn>>,
}

impl ArrivalOrder {
    /// Waits for the turn of a request that was read and whose last byte arrived at `arrived_at`. Returns `None` only
    /// while the gateway stops, when no turns are granted any more.
    pub(super) async fn turn(&self, arrived_at: Instant) -> Option<Turn> {
        let (grant, granted) = oneshot::channel();
        self.waiting().add(arrived_at, grant);
        self.request_waits.notify_one();
        granted.await.ok()
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Grants a turn to each request that arrived at `until` or earlier, one after the other.
    async fn grant_until(&self, until: Instant) {
        loop {
            let Some(request) = self.waiting().pop_until(until) else {
                return;
            };
            let (turn, ended) = new_turn();
            // A request whose handler was dropped, since its client has left, loses its turn.
            if request.send(turn).is_ok() {
                // The error says that the turn was dropped.
                let _ = ended.await;
            }
        }
    }
}

impl Waiting {
    fn add(&mut self, arrived_at: Instant, grant: oneshot::Sender<Turn>) {
        self.last_number += 1;
        self.requests.insert((arrived_at, self.last_number), grant);
    }

    /// Removes and returns the request that arrived first, unless it arrived after `until`.
    fn pop_until(&mut self, until: Instant) -> Option<oneshot::Sender<Turn>> {
        let first = self.requests.first_entry()?;
        let (arrived_at, _) = *first.key();
        (arrived_at <= until).then(|| first.remove())
    }
}

fn new_turn() -> (Turn, oneshot::Receiver<()>) {
    let (sender, ended) = oneshot::channel();
    (Turn { _ended: sender }, ended)
}

/// Grants the turns of all requests.
pub struct TurnGranter {
    order: Arc<ArrivalOrder>,
    accept_queue: AcceptQueue,
    connections: Arc<ClientConnections>,
}

impl TurnGranter {
    /// Returns a granter of the turns in `order`, which lets the requests of `accept_queue` and `connections` be read
    /// first.
    pub fn new(
        order: Arc<ArrivalOrder>,
        accept_queue: AcceptQueue,
        connections: Arc<ClientConnections>,
    ) -> Self {
        TurnGranter {
            order,
            accept_queue,
            connections,
        }
    }

    /// Grants turns. Never returns; the gateway runs this in the background.
    pub async fn run(&self) {
        loop {
            self.order.request_waits.notified().await;
            let pass_began = Instant::now();
            catch_up(&self.accept_queue, &self.connections).await;
            self.order.grant_until(pass_began).await;
        }
    }
}

/// Waits until all requests that arrived before the call are read, for up to [`MAX_CATCH_UP_CHECKS`] checks.
async fn catch_up(accept_queue: &AcceptQueue, connections: &ClientConnections) {
    let mut checks = 0;
    let is_accepted = drain(accept_queue, &mut checks).await;
    let mut unread = connections.with_unread_requests();
    // Usually the tasks of these connections are due, and read the requests in one turn of the runtime.
    yield_now().await;
    unread.retain(|number| connections.has_unread_request(*number));
    while !unread.is_empty() && checks < MAX_CATCH_UP_CHECKS {
        checks += 1;
        sleep(CATCH_UP_CHECK_INTERVAL).await;
        unread.retain(|number| connections.has_unread_request(*number));
    }
    // A parser that has taken all bytes may need one more turn to pass the request on.
    yield_now().await;
    if !is_accepted || !unread.is_empty() {
        tracing::debug!(
            connections = unread.len(),
            "requests that arrived earlier could not be read in time; the order of arrival may not be kept"
        );
    }
}

/// Waits until the connections in the accept queue are accepted, and counts the checks. Returns false if the number of
/// checks reached its limit before.
async fn drain(accept_queue: &AcceptQueue, checks: &mut u32) -> bool {
    let mut drained = pin!(accept_queue.drain());
    while *checks < MAX_CATCH_UP_CHECKS {
        if timeout(CATCH_UP_CHECK_INTERVAL, drained.as_mut())
            .await
            .is_ok()
        {
            return true;
        }
        *checks += 1;
    }
    false
}

#[cfg(test)]
mod tests;
