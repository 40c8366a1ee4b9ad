//! The configured limits of the body store.

/// Bytes of a body that are stored and discarded together, and of one slot of the spool file.
pub const PIECE_BYTES: u64 = 64 << 10;
/// Bytes in memory between the writer and the reader of a body that is in the spool file or not stored.
pub const WINDOW_BYTES: u64 = 2 * PIECE_BYTES;

/// The budgets of the store and the limits of one body.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Memory for all bodies, in bytes.
    pub memory_bytes: u64,
    /// Space in the spool file for all bodies, in bytes; 0 without a spool file.
    pub file_bytes: u64,
    /// The longest body that is stored in memory, in bytes; longer ones go to the spool file.
    pub max_body_memory_bytes: u64,
    /// The longest body that is admitted, in bytes.
    pub max_body_bytes: u64,
    /// The part of each budget that one tenant may use, from 0 to 1.
    pub tenant_share: f64,
    /// Whether bodies of unknown length are admitted.
    pub unknown_length_allowed: bool,
    /// By query class: whether a query is rejected when its body can't be stored.
    pub storage_required: Vec<bool>,
}

impl Limits {
    /// The bytes of a budget that one tenant may use.
    pub(super) fn tenant_budget(&self, budget_bytes: u64) -> u64 {
        (budget_bytes as f64 * self.tenant_share) as u64
    }
}

/// How the eviction of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionOutcome {
    /// All of it is in the spool file.
    Written,
    /// It is still in memory: a write failed, or the body is gone.
    Failed,
}

/// Which bodies are evicted from memory to the spool file when memory runs short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// None: bodies that arrive while memory is full go to the spool file.
    Never,
    /// The largest first.
    Largest,
    /// The oldest first.
    Oldest,
}
