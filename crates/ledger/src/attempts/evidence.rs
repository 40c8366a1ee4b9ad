//! Defines the evidence that can be observed of an attempt, and the proofs that the attempt no longer runs.

/// Number of a connection that was made for one attempt, in the order in which the connections are made. The default is
/// the number before the first connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionId(pub u32);

impl ConnectionId {
    /// Returns the number of the next connection.
    #[must_use]
    pub fn next(self) -> Self {
        ConnectionId(self.0 + 1)
    }
}

/// An observation of an attempt. The table in the crate documentation lists the conclusion from each observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Writing of the request that starts the attempt, or of a poll, begins. From now on the request may have reached
    /// the engine.
    RequestSent,
    /// The process at the far end of this connection has shown that it has the attempt, and that the attempt still
    /// runs.
    Running(ConnectionId),
    /// The engine reported the outcome of the attempt, or that the attempt never ran.
    Ended,
    /// A process that was polled on this connection reported that the attempt failed, or that it does not know the
    /// attempt.
    ReportedFailed(ConnectionId),
    /// No connection could be made for the request, so the attempt cannot have reached the engine.
    NeverReached,
    /// A process answered a cancellation on this connection.
    Cancelled(ConnectionId),
    /// This connection was reset or closed.
    ConnectionLost(ConnectionId),
    /// An answer on this connection could not be decoded or did not arrive in time, so the connection is not used
    /// again.
    ConnectionUnusable(ConnectionId),
    /// The engine's address refused a new connection.
    ConnectionRefused,
    /// A cancellation got no usable answer. A refused connection is recorded as [`ConnectionRefused`] instead.
    ///
    /// [`ConnectionRefused`]: Evidence::ConnectionRefused
    CancelFailed,
}

/// Reason why an attempt certainly no longer runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The engine reported the end of the attempt, or that the attempt never ran.
    Ended,
    /// The attempt cannot have reached the engine.
    NeverReached,
    /// The process that ran the attempt answered a cancellation.
    Cancelled,
    /// The attempt was not polled for so long that the engine has dropped it. If progress events keep attempts running,
    /// the longest time for which the attempt may run is over.
    Expired,
}
