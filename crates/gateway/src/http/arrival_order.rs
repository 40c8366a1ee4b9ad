//! Admission stage: gives requests their turn in the order in which they arrived.
//!
//! The runtime polls connections in an order of its own. Requests that arrived one after another can therefore be read
//! in another order, above all after a time in which this process had no processor time. A request whose effect depends
//! on the order waits for its turn in [`ArrivalOrder`]: a query with an ordering key, and a cancellation.
//!
//! [`TurnGranter`] works in passes. A pass first lets the gateway catch up: it waits until all requests that arrived
//! before the pass began are read. It then grants their turns one by one, earliest arrival first.
//!
//! A pass cannot wait for everything. Where the system does not let the gateway accept connections, an earlier request may
//! stand in the accept queue: the requests of the pass wait until they are given up one by one, so that nobody is served
//! before it is known that no earlier request waits. Where this lasts for longer than any request allows, or an earlier
//! request is kept back by its client or by a lack of slots, the pass goes on. The earlier request is then read later, and
//! [`KeyArrivals`](garnetwall::key_arrivals::KeyArrivals) refuses it if it would overtake.

use super::accept::{AcceptQueue, AcceptState};
use super::client_connections::ClientConnections;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;
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

/// Reason why a request gets no turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum TurnError {
    /// An earlier request may still be unread, and the time of this one is over.
    #[error("an earlier request may still be unread")]
    NotKnownToBeNext,
    /// No turns are granted any more, since the gateway stops, or the turn was lost by a panic.
    #[error("no turn is granted")]
    NotGranted,
}

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
    /// Waits for the turn of a request that was read and whose last byte arrived at `arrived_at`, until `given_up`
    /// completes.
    ///
    /// # Errors
    ///
    /// The request was given up, or no turns are granted.
    pub(super) async fn turn(
        &self,
        arrived_at: Instant,
        given_up: impl Future<Output = ()>,
    ) -> Result<Turn, TurnError> {
        let (grant, granted) = oneshot::channel();
        let place = self.waiting().add(arrived_at, grant);
        let _request = WaitingRequest { order: self, place };
        self.request_waits.notify_one();
        tokio::select! {
            biased;
            turn = granted => turn.map_err(|_| TurnError::NotGranted),
            () = given_up => Err(TurnError::NotKnownToBeNext),
        }
    }

    fn is_empty(&self) -> bool {
        self.waiting().requests.is_empty()
    }

    /// Waits until a request waits.
    async fn wait_for_request(&self) {
        while self.is_empty() {
            self.request_waits.notified().await;
        }
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

/// A request that waits. Dropping it gives up its place.
struct WaitingRequest<'a> {
    order: &'a ArrivalOrder,
    place: Place,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.order.waiting().requests.remove(&self.place);
    }
}

impl Waiting {
    fn add(&mut self, arrived_at: Instant, grant: oneshot::Sender<Turn>) -> Place {
        self.last_number += 1;
        let place = (arrived_at, self.last_number);
        self.requests.insert(place, grant);
        place
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
            self.order.wait_for_request().await;
            let pass_began = Instant::now();
            catch_up(&self.accept_queue, &self.connections).await;
            self.order.grant_until(pass_began).await;
        }
    }
}

/// Waits until all requests that arrived before the call are read: as long as the system does not let the gateway accept
/// them, otherwise for up to [`MAX_CATCH_UP_CHECKS`] checks.
async fn catch_up(accept_queue: &AcceptQueue, connections: &ClientConnections) {
    let mut checks = 0;
    let given_up = drain(accept_queue, &mut checks).await.err();
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
    if given_up.is_some() || !unread.is_empty() {
        tracing::debug!(
            connections = unread.len(),
            accept_state = ?given_up,
            "earlier requests could not be read in time; they are rejected if later ones of their key were admitted"
        );
    }
}

/// Waits until the connections in the accept queue are accepted, and counts the checks.
///
/// # Errors
///
/// The wait was given up, in this state of the acceptor.
async fn drain(accept_queue: &AcceptQueue, checks: &mut u32) -> Result<(), AcceptState> {
    let mut drained = pin!(accept_queue.drain());
    loop {
        let check = timeout(CATCH_UP_CHECK_INTERVAL, drained.as_mut());
        if check.await.is_ok() {
            return Ok(());
        }
        match accept_queue.state() {
            // The requests that wait are given up one by one.
            AcceptState::Failing => {}
            AcceptState::FailingForLong => return Err(AcceptState::FailingForLong),
            state @ (AcceptState::Accepting | AcceptState::WaitingForSlot) => {
                *checks += 1;
                if *checks >= MAX_CATCH_UP_CHECKS {
                    return Err(state);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
