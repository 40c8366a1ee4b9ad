//! Connection stage: the open connections of clients, the state of each, and which one is evicted when all slots are taken.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// Protocol: a request follows its connection at once; a connection this old without one is silent. An evicted connection
/// has as long to close before another is evicted.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);

/// What a connection is doing, in the order of eviction: the first variant is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectionState {
    /// Has had its last response; what the client still sends is not parsed as a request.
    Closing,
    /// Older than [`NEW_CONNECTION_GRACE`] without a complete request head.
    Silent,
    /// Has no request open: the response to the last is ready, though perhaps not written yet.
    Idle,
    /// Just accepted, no complete request head yet; not evicted.
    New,
    /// Has a request open, from its complete head until its response is ready; not evicted.
    Active,
}

impl ConnectionState {
    /// Whether a connection in this state may be closed in favour of a new one.
    fn is_evictable(self) -> bool {
        self < ConnectionState::New
    }
}

/// What is remembered of one open connection.
struct ConnectionEntry {
    state: ConnectionState,
    /// When `state` was entered.
    state_since: Instant,
    eviction: Arc<Notify>,
    /// When the connection was asked to close for another.
    eviction_requested_at: Option<Instant>,
}

impl ConnectionEntry {
    fn new(eviction: Arc<Notify>) -> Self {
        ConnectionEntry {
            state: ConnectionState::New,
            state_since: Instant::now(),
            eviction,
            eviction_requested_at: None,
        }
    }

    /// The state by now: a new connection turns silent with time.
    fn current_state(&self) -> ConnectionState {
        match self.state {
            ConnectionState::New if self.state_since.elapsed() > NEW_CONNECTION_GRACE => {
                ConnectionState::Silent
            }
            state => state,
        }
    }

    /// Whether the connection was asked to close so recently that its slot may still come free.
    fn is_being_evicted(&self) -> bool {
        self.eviction_requested_at
            .is_some_and(|at| at.elapsed() < NEW_CONNECTION_GRACE)
    }

    fn may_be_evicted(&self) -> bool {
        self.current_state().is_evictable() && self.eviction_requested_at.is_none()
    }
}

/// All open connections of clients, at most one for each slot of the descriptor budget.
pub struct ClientConnections {
    slots: Arc<Semaphore>,
    entries: Mutex<HashMap<u64, ConnectionEntry>>,
    open_count: watch::Sender<usize>,
    /// Notified when a connection closes or may have become evictable.
    eviction_possible: Notify,
}

impl ClientConnections {
    /// No connections yet; `slots` has one permit for each that may be open.
    pub fn new(slots: Arc<Semaphore>) -> Arc<ClientConnections> {
        Arc::new(ClientConnections {
            slots,
            entries: Mutex::default(),
            open_count: watch::Sender::new(0),
            eviction_possible: Notify::new(),
        })
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<u64, ConnectionEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers an accepted connection under a number of its own. Waits for a slot, and evicts a connection without a
    /// request where none is free.
    pub async fn acquire(self: &Arc<Self>, number: u64) -> ClientConnection {
        let slot = self.acquire_slot().await;
        let eviction = Arc::new(Notify::new());
        self.entries()
            .insert(number, ConnectionEntry::new(eviction.clone()));
        self.open_count.send_modify(|count| *count += 1);
        ClientConnection {
            connections: self.clone(),
            number,
            eviction,
            _slot: slot,
        }
    }

    /// A free slot; none only where the semaphore was closed.
    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if let Ok(slot) = self.slots.clone().try_acquire_owned() {
                return Some(slot);
            }
            self.evict_one();
            tokio::select! {
                biased;
                slot = self.slots.clone().acquire_owned() => return slot.ok(),
                () = self.eviction_possible.notified() => {}
                // By then a new connection is silent or active.
                () = sleep(NEW_CONNECTION_GRACE) => {}
            }
        }
    }

    /// Asks the first connection in the order of eviction to close, unless one that was asked is still closing.
    fn evict_one(&self) {
        let mut entries = self.entries();
        if entries.values().any(ConnectionEntry::is_being_evicted) {
            return;
        }
        let evicted = entries
            .values_mut()
            .filter(|entry| entry.may_be_evicted())
            .min_by_key(|entry| (entry.current_state(), entry.state_since));
        if let Some(entry) = evicted {
            entry.eviction_requested_at = Some(Instant::now());
            entry.eviction.notify_one();
        }
    }

    /// Completes when no connection is open.
    pub async fn all_closed(&self) {
        // An error means that the sender was dropped, and `self` holds it.
        let _ = self
            .open_count
            .subscribe()
            .wait_for(|count| *count == 0)
            .await;
    }
}

/// One open connection; its slot is free again when this is dropped.
pub struct ClientConnection {
    connections: Arc<ClientConnections>,
    number: u64,
    /// Notified when the connection is to close for another.
    pub eviction: Arc<Notify>,
    _slot: Option<OwnedSemaphorePermit>,
}

impl ClientConnection {
    fn set_state(&self, state: ConnectionState) {
        if let Some(entry) = self.connections.entries().get_mut(&self.number) {
            entry.state = state;
            entry.state_since = Instant::now();
        }
        if state != ConnectionState::Active {
            self.connections.eviction_possible.notify_one();
        }
    }

    fn is_in_state(&self, state: ConnectionState) -> bool {
        self.connections
            .entries()
            .get(&self.number)
            .is_some_and(|entry| entry.state == state)
    }

    /// A complete request head was read: the connection is not evicted until its response is ready.
    pub fn request_started(&self) {
        self.set_state(ConnectionState::Active);
        self.cancel_eviction();
    }

    /// Withdraws a request to close for another connection; another one is evicted instead.
    pub fn cancel_eviction(&self) {
        if let Some(entry) = self.connections.entries().get_mut(&self.number) {
            entry.eviction_requested_at = None;
        }
        self.connections.eviction_possible.notify_one();
    }

    /// The response to the open request is ready, and about to be written: the connection may be evicted after that response.
    pub fn response_ready(&self) {
        self.set_state(ConnectionState::Idle);
    }

    /// No further request is read from the connection.
    pub fn started_closing(&self) {
        self.set_state(ConnectionState::Closing);
    }

    /// Whether a request is open.
    pub fn has_request(&self) -> bool {
        self.is_in_state(ConnectionState::Active)
    }

    /// Whether no complete request head has been read since the connection was accepted.
    pub fn awaits_first_request(&self) -> bool {
        self.is_in_state(ConnectionState::New)
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.connections.entries().remove(&self.number);
        self.connections.open_count.send_modify(|count| *count -= 1);
        self.connections.eviction_possible.notify_one();
    }
}

#[cfg(test)]
mod tests;
