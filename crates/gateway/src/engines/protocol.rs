//! Names on the wire and time limits of the engine protocol, mapped to the terms of this code.

use std::time::Duration;

/// The longest time for which an engine holds a poll back before it responds.
pub(super) const LONG_POLL_LIMIT: Duration = Duration::from_millis(250);

/// An engine ends an attempt that has not been polled for this time.
pub(super) const POLL_EXPIRY: Duration = Duration::from_secs(2);

/// Tolerance added to the long-poll limit when a response is awaited on a socket.
pub(super) const SOCKET_TIMEOUT_SLACK: Duration = Duration::from_millis(50);

/// Pause between two cancellations of the same attempt.
pub(super) const CANCEL_RETRY_PAUSE: Duration = SOCKET_TIMEOUT_SLACK;

/// The longest time for which an attempt runs after its last poll was sent. The engine may hold that poll back first,
/// and the poll expiry counts from its response.
pub(super) const MAX_UNPOLLED_RUN: Duration = LONG_POLL_LIMIT.saturating_add(POLL_EXPIRY);

/// Headers of a request that starts an attempt.
pub(super) mod request_header {
    use http::HeaderName;

    /// The query key, as the client sent it.
    pub const QUERY_KEY: HeaderName = HeaderName::from_static("x-trace");
    /// The name of the query's class.
    pub const QUERY_CLASS: HeaderName = HeaderName::from_static("x-profile");
    /// Milliseconds that remain until the response deadline.
    pub const REMAINING_MS: HeaderName = HeaderName::from_static("x-patience");
    /// The key by which engines detect a repeated query.
    pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("x-op-key");
}

/// Headers of an engine's response.
pub(super) mod response_header {
    /// `1` if the attempt never ran.
    pub const NEVER_RAN: &str = "x-declined";
    /// The engine's load report.
    pub const LOAD_REPORT: &str = "x-stats";
    /// The kind of a progress event, one of [`progress_kind`](super::progress_kind).
    pub const PROGRESS_KIND: &str = "x-result";
    /// The amount of a progress event; its unit depends on the kind.
    pub const PROGRESS_VALUE: &str = "note-value";
    /// Number of pages of the result.
    pub const PAGE_COUNT: &str = "result-pages";
    /// Index of the page in the response's body, counted from 0.
    pub const PAGE_NUMBER: &str = "result-page";
    /// Work done, in milliseconds.
    pub const WORK_MS: &str = "query-cost";
    /// Memory used, in megabytes.
    pub const MEMORY_MB: &str = "query-need";
}

/// Kinds of progress events, each with an amount.
pub(super) mod progress_kind {
    /// The amount is the completed fraction of the work.
    pub const COMPLETED: &str = "frac";
    /// The amount is the memory that the query spills to disk, in megabytes.
    pub const SPILLING: &str = "missing";
    /// The query waits; the amount tells for what.
    pub const WAITING: &str = "parked";
    /// The amount if the query waits for a data load. Any other amount means that it waits for memory.
    pub const WAITING_FOR_LOAD: f64 = 2.0;
}
