//! An engine of the subset.

/// An engine that takes work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Member {
    pub(super) holders: f64,
    /// An update is due however little the number of holders changed.
    pub(super) facts_changed: bool,
}
