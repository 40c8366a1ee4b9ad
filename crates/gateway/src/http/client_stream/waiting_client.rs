//! Asks the connection of a client that waits for a query whether the client has left.

use super::{ClientState, StreamState};
use crate::engines::WaitingClient;
use std::sync::{Arc, Mutex, PoisonError, Weak};

/// Number of reads that may fail until the client counts as one that may have left.
const MAX_READS: u32 = 8;

/// Handle to a client's stream that does not keep the connection open.
#[derive(Clone)]
pub struct WeakStreamHandle(Weak<Mutex<StreamState>>);

impl WeakStreamHandle {
    pub(super) fn new(stream: &Arc<Mutex<StreamState>>) -> Self {
        WeakStreamHandle(Arc::downgrade(stream))
    }
}

impl WaitingClient for WeakStreamHandle {
    fn may_have_left(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return true;
        };
        let mut state = stream.lock().unwrap_or_else(PoisonError::into_inner);
        let is_connected = (0..MAX_READS)
            .map(|_| state.client_state())
            .find(|client| *client != ClientState::Unknown)
            .is_some_and(|client| client == ClientState::Connected);
        // The system reports a socket readable only while it holds bytes, and they were read here.
        if state.parser_needs_wake || !is_connected {
            state.wake_task();
        }
        !is_connected
    }

    fn is_closed(&self) -> bool {
        self.0.strong_count() == 0
    }
}
