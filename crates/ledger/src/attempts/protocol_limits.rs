//! The time limits of the engine protocol.

use std::time::Duration;

/// The protocol's time limits, and the pause between two cancellations.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolLimits {
    /// An engine answers a poll after this time at most.
    pub long_poll: Duration,
    /// Whether engines send progress events.
    pub progress_events: ProgressEvents,
    /// An engine drops an attempt that nobody has polled for this time.
    pub poll_expiry: Duration,
    /// The pause between a cancellation that failed and the next one.
    pub cancel_pause: Duration,
}

/// Whether engines send progress events, and what that means for an attempt that nobody polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressEvents {
    /// Engines send none: an attempt ends once nobody has polled it for [`ProtocolLimits::poll_expiry`].
    NotSent,
    /// Each event keeps its attempt running as a poll does, received or not: that nobody polls an attempt does not end it.
    KeepRunning,
}
