//! Defines the state of a member of the subset.

/// The state of an engine that takes queries of this gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct Member {
    /// The estimated number of gateways that hold the engine, as last reported to the caller.
    pub(super) holders: f64,
    /// Whether the facts changed since the last report. An update is then due even if the number of holders did not
    /// change.
    pub(super) facts_changed: bool,
}
