//! The numeric codes of the protocol between the simulator and the adapter: records in both directions, endpoint lists,
//! progress events and the ends of attempts.

use garnetwall::api::AttemptEnd;

/// Codes of the records that the simulator sends.
pub mod incoming {
    pub const CLIENT_LEFT: u8 = 1;
    pub const DETACH_INSTANCE: u8 = 2;
    pub const PEER_MESSAGE: u8 = 3;
    pub const STREAM_HEAD: u8 = 4;
    pub const TIMER: u8 = 5;
    pub const OUTCOME: u8 = 6;
    pub const ENDPOINTS: u8 = 7;
    pub const HEALTH_CHECK: u8 = 8;
    pub const QUERY: u8 = 9;
    pub const SELECT_INSTANCE: u8 = 10;
    pub const ENDPOINT_LIST: u8 = 11;
    pub const ATTACH_INSTANCE: u8 = 12;
    pub const PROGRESS: u8 = 13;
}

/// Codes of the records that the adapter sends.
pub mod outgoing {
    pub const ATTEMPT: u8 = 1;
    pub const REJECT: u8 = 2;
    pub const FAIL: u8 = 3;
    pub const CANCEL: u8 = 4;
    pub const SET_TIMER: u8 = 5;
    pub const HEALTH_CHECK: u8 = 6;
    pub const SUBSCRIBE: u8 = 11;
    pub const MEMORY_GRANT: u8 = 13;
    pub const SELECT_INSTANCE: u8 = 14;
}

/// Kinds of endpoint list updates. The kinds between [`CHANGES`](list_kind::CHANGES) and [`FAILED`](list_kind::FAILED)
/// are full lists.
pub mod list_kind {
    pub const CHANGES: u8 = 0;
    pub const FAILED: u8 = 3;
}

/// Kinds of progress events.
pub mod progress {
    pub const COMPLETED: u8 = 1;
    pub const SPILLING: u8 = 2;
    pub const WAITING: u8 = 3;
    /// The amount in a `WAITING` event of an attempt that waits until its data set is loaded. With any other amount the
    /// attempt waits for memory.
    pub const WAITING_FOR_LOAD_AMOUNT: f64 = 2.0;
}

/// Returns the end of an attempt for its code, or `None` for a code that the protocol does not define.
pub fn attempt_end(code: u8) -> Option<AttemptEnd> {
    match code {
        0 => Some(AttemptEnd::Succeeded),
        1 => Some(AttemptEnd::Cancelled),
        4 => Some(AttemptEnd::TimedOut),
        8 => Some(AttemptEnd::Rejected),
        9 => Some(AttemptEnd::NotNeeded),
        10 => Some(AttemptEnd::ConnectionLost),
        13 => Some(AttemptEnd::Failed),
        14 => Some(AttemptEnd::ConnectFailed),
        _ => None,
    }
}
