//! Clients for unit tests.

use super::WaitingClient;

/// A client that stays connected.
pub struct ConnectedClient;

impl WaitingClient for ConnectedClient {
    fn may_have_left(&self) -> bool {
        false
    }

    fn is_closed(&self) -> bool {
        false
    }
}
