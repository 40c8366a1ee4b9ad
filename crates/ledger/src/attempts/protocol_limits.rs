//! The time limits of the engine protocol.

use std::time::Duration;

/// The protocol's time limits, and the pause between two cancellations.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolLimits {
    /// An engine answers a poll after this time at most.
    pub long_poll: Duration,
    /// Engines send progress events, each of which keeps its attempt running as a poll does, received or not. That nobody
    /// polls an attempt does not end it then.
    pub progress_events: bool,
    /// An engine drops an attempt that nobody has polled for this time.
    pub poll_expiry: Duration,
    /// The pause after a cancellation that failed.
    pub cancel_pause: Duration,
}
