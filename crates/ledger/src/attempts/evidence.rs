//! What can be observed of an attempt, and what proves that it does not run any more.

/// A connection to the engine of one attempt, by its number in the order in which they are made. The default is the number
/// before the first connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionId(pub u32);

impl ConnectionId {
    /// The connection that is made next.
    #[must_use]
    pub fn next(self) -> Self {
        ConnectionId(self.0 + 1)
    }
}

/// An observation of an attempt. The table in the crate's documentation says what each proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The request that starts the attempt, or a poll, is being written: from now on it may have reached the engine.
    RequestSent,
    /// The process at the end of this connection has shown that it has the attempt, which still runs.
    Running(ConnectionId),
    /// The engine has reported how the attempt ended, or that it never ran.
    Ended,
    /// Polled on this connection, a process reported that the attempt failed, or that it does not know it.
    ReportedFailed(ConnectionId),
    /// No connection was made for the request: nothing can have reached the engine.
    NeverReached,
    /// A cancellation was answered on this connection.
    Cancelled(ConnectionId),
    /// This connection was reset or closed.
    ConnectionLost(ConnectionId),
    /// This connection carried what can't be read, or nothing in time: it is of no further use.
    ConnectionUnusable(ConnectionId),
    /// A new connection was refused.
    ConnectionRefused,
    /// A cancellation failed.
    CancelFailed,
}

/// Why an attempt is known not to run any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The engine reported its end, or that it never ran.
    Ended,
    /// It can't have reached the engine.
    NeverReached,
    /// The process that ran it has answered a cancellation.
    Cancelled,
    /// Nobody has polled it for so long that the engine has dropped it or, where progress events keep it running, the time
    /// for which it may run is over.
    Expired,
}
