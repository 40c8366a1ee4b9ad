//! Connection stage: tracks the state of each open client connection, and selects one to evict when no slot is free.

use crate::http::client_stream::StreamHandle;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// Age at which a connection without a request counts as silent: by the protocol, a client sends a request at once
/// after it connects. Also the time that an evicted connection has to close before another one is evicted.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);

/// State of a connection. The variants are in the order of eviction: connections in the first state are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectionState {
    /// The last response is written; further bytes from the client are not parsed as a request.
    Closing,
    /// No complete request head has arrived within [`NEW_CONNECTION_GRACE`].
    Silent,
    /// No request is open: the response to the last one is ready, but may not be written yet.
    Idle,
    /// Accepted less than [`NEW_CONNECTION_GRACE`] ago, and no complete request head has arrived; not evicted.
    New,
    /// A request is open: its head is complete, and its response is not ready; not evicted.
    Active,
}

impl ConnectionState {
    /// Whether a connection in this state may be closed to free its slot for a new one.
    fn is_evictable(self) -> bool {
        self < ConnectionState::New
    }
}

/// One open connection, with its eviction data.
struct ConnectionEntry {
    stream: StreamHandle,
    state: ConnectionState,
    /// When `state` was entered.
    state_since: Instant,
    eviction: Arc<Notify>,
    /// When the connection was asked to close. `None` if it was not, or if its eviction was cancelled.
    eviction_requested_at: Option<Instant>,
}

impl ConnectionEntry {
    fn new(stream: StreamHandle, eviction: Arc<Notify>) -> Self {
        ConnectionEntry {
            stream,
            state: ConnectionState::New,
            state_since: Instant::now(),
            eviction,
            eviction_requested_at: None,
        }
    }

    /// Returns the state, with `New` replaced by `Silent` once the grace period is over.
    fn current_state(&self) -> ConnectionState {
        match self.state {
            ConnectionState::New if self.state_since.elapsed() > NEW_CONNECTION_GRACE => {
                ConnectionState::Silent
            }
            state => state,
        }
    }

    /// Whether the connection was asked to close less than [`NEW_CONNECTION_GRACE`] ago, so that its slot may soon be
    /// free.
    fn is_being_evicted(&self) -> bool {
        self.eviction_requested_at
            .is_some_and(|at| at.elapsed() < NEW_CONNECTION_GRACE)
    }

    fn has_unread_request(&self) -> bool {
        self.state != ConnectionState::Closing && self.stream.has_unread_request()
    }

    fn may_be_evicted(&self) -> bool {
        self.current_state().is_evictable() && self.eviction_requested_at.is_none()
    }
}

/// The open client connections, limited to the slots of the descriptor budget.
pub struct ClientConnections {
    slots: Arc<Semaphore>,
    entries: Mutex<HashMap<u64, ConnectionEntry>>,
    open_count: watch::Sender<usize>,
    /// Notified when a connection closes or may have become evictable.
    eviction_possible: Notify,
}

impl ClientConnections {
    /// Returns an empty set of connections; `slots` has one permit for each connection that may be open.
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

    /// Registers an accepted connection under `number`, which must be unique. Waits for a slot; while none is free,
    /// evicts connections that have no open request.
    pub async fn acquire(self: &Arc<Self>, number: u64, stream: StreamHandle) -> ClientConnection {
        let slot = self.acquire_slot().await;
        stream.set_connection(number);
        let eviction = Arc::new(Notify::new());
        self.entries()
            .insert(number, ConnectionEntry::new(stream, eviction.clone()));
        self.open_count.send_modify(|count| *count += 1);
        ClientConnection {
            connections: self.clone(),
            number,
            eviction,
            _slot: slot,
        }
    }

    /// Waits for a free slot. Returns `None` only if the semaphore is closed.
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
                // A connection that is new now will be silent, and so evictable, or active by then.
                () = sleep(NEW_CONNECTION_GRACE) => {}
            }
        }
    }

    /// Asks the first connection in the order of eviction to close, unless one was asked less than
    /// [`NEW_CONNECTION_GRACE`] ago and is still open.
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

    /// Returns the numbers of the connections on which bytes of a request have arrived that are still to be processed.
    pub fn with_unread_requests(&self) -> Vec<u64> {
        let entries = self.entries();
        entries
            .iter()
            .filter(|(_, entry)| entry.has_unread_request())
            .map(|(number, _)| *number)
            .collect()
    }

    /// Whether bytes of a request have arrived on a connection that are still to be processed. False for a connection
    /// that has closed.
    pub fn has_unread_request(&self, number: u64) -> bool {
        let entries = self.entries();
        entries
            .get(&number)
            .is_some_and(ConnectionEntry::has_unread_request)
    }

    /// Completes when no connection is open.
    pub async fn all_closed(&self) {
        // `wait_for` fails only if the sender is dropped, and `self` owns the sender.
        let _ = self
            .open_count
            .subscribe()
            .wait_for(|count| *count == 0)
            .await;
    }
}

/// A registered connection. Dropping it removes the connection and frees its slot.
pub struct ClientConnection {
    connections: Arc<ClientConnections>,
    number: u64,
    /// Notified when the connection must close to free its slot for another one.
    pub eviction: Arc<Notify>,
    _slot: Option<OwnedSemaphorePermit>,
}

impl ClientConnection {
    /// The number that identifies the connection in the log.
    pub fn number(&self) -> u64 {
        self.number
    }

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

    /// Marks the connection active once a complete request head is read: it is not evicted until the response is ready.
    pub fn request_started(&self) {
        self.set_state(ConnectionState::Active);
        self.cancel_eviction();
    }

    /// Cancels a pending eviction of this connection, so that another connection is evicted instead.
    pub fn cancel_eviction(&self) {
        if let Some(entry) = self.connections.entries().get_mut(&self.number) {
            entry.eviction_requested_at = None;
        }
        self.connections.eviction_possible.notify_one();
    }

    /// Marks the connection idle once the response to its open request is ready to be written: an eviction closes it
    /// after that response.
    pub fn response_ready(&self) {
        self.set_state(ConnectionState::Idle);
    }

    /// Marks the connection as closing: no further request is read from it.
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
