//! Defines the time limits of the engine protocol.

use std::time::Duration;

/// Time limits of the engine protocol, and the gateway's pause after a failed cancellation.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolLimits {
    /// Longest time that an engine takes to answer a poll.
    pub long_poll: Duration,
    /// Whether engines send progress events, which keep attempts running.
    pub progress_events: ProgressEvents,
    /// Time without a poll after which an engine drops an attempt.
    pub poll_expiry: Duration,
    /// Pause between a failed cancellation and the next one.
    pub cancel_pause: Duration,
}

/// Whether engines send progress events, which decides how long an attempt runs without being polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressEvents {
    /// Engines send no progress events: an attempt ends if it is not polled for [`ProtocolLimits::poll_expiry`].
    NotSent,
    /// Each progress event keeps its attempt running as a poll does, whether or not the event is received. So an
    /// attempt does not end for lack of polls.
    KeepRunning,
}
