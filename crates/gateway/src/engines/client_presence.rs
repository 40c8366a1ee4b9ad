//! Tells whether a client currently waits for a query. The scheduler records who waits; the send gate asks before any byte
//! of the query is sent to an engine.
//!
//! The scheduler learns that a client has left from the task of the client's connection. After a time in which this process
//! had no processor time, a request may be sent before that task has run, so that the connections are asked as well.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Connection of a client that waits for a query.
pub trait WaitingClient: Send + Sync {
    /// Whether the client may have ended its side. Asks the system.
    fn may_have_left(&self) -> bool;

    /// Whether the connection has ended, so that it needs no further question.
    fn is_closed(&self) -> bool;
}

/// Record that the scheduler and the attempts of one query share.
#[derive(Clone)]
pub struct ClientPresence {
    shared: Arc<Shared>,
}

struct Shared {
    is_waiting: AtomicBool,
    clients: Mutex<Vec<Arc<dyn WaitingClient>>>,
}

impl ClientPresence {
    /// Records that the first client waits.
    pub fn of(client: Arc<dyn WaitingClient>) -> Self {
        let shared = Shared {
            is_waiting: AtomicBool::new(true),
            clients: Mutex::new(vec![client]),
        };
        ClientPresence {
            shared: Arc::new(shared),
        }
    }

    /// Records that a further client waits.
    pub fn client_joined(&self, client: Arc<dyn WaitingClient>) {
        let clients = self.shared.clients.lock();
        let mut clients = clients.unwrap_or_else(PoisonError::into_inner);
        clients.retain(|other| !other.is_closed());
        clients.push(client);
        self.shared.is_waiting.store(true, Ordering::Relaxed);
    }

    /// Records that the last waiting client has disconnected. Another client may still join.
    pub fn client_disconnected(&self) {
        self.shared.is_waiting.store(false, Ordering::Relaxed);
    }

    /// Whether a client waits for the query, as far as the scheduler knows.
    pub fn is_waiting(&self) -> bool {
        self.shared.is_waiting.load(Ordering::Relaxed)
    }

    /// Whether a client waits for the query, and its connection is known to be open.
    pub fn is_connected(&self) -> bool {
        let clients = self.shared.clients.lock();
        let clients = clients.unwrap_or_else(PoisonError::into_inner);
        self.is_waiting() && clients.iter().any(|client| !client.may_have_left())
    }
}

impl fmt::Debug for ClientPresence {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("ClientPresence")
            .field("is_waiting", &self.is_waiting())
            .finish_non_exhaustive()
    }
}
