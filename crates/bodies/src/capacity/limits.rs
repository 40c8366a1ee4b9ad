//! Defines the limits and the eviction settings of the body store.

/// Maximum size in bytes of a piece, the unit in which a body is stored and discarded. One slot of the spool file holds
/// one piece.
pub const PIECE_BYTES: u64 = 64 << 10;
/// Bytes of memory that are reserved as a window between the writer and the reader of a body, unless the body has a
/// known length and is admitted to memory.
pub const WINDOW_BYTES: u64 = 2 * PIECE_BYTES;

/// Budgets of the store and limits of a single body.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Memory budget of all bodies, in bytes.
    pub memory_bytes: u64,
    /// Spool file budget of all bodies, in bytes; 0 if there is no spool file.
    pub file_bytes: u64,
    /// Maximum length of a body that is stored in memory, in bytes. Longer bodies go to the spool file.
    pub max_body_memory_bytes: u64,
    /// Maximum length of any body, in bytes. Longer bodies are rejected.
    pub max_body_bytes: u64,
    /// Fraction of each budget that one tenant may use, from 0 to 1.
    pub tenant_share: f64,
    /// Whether bodies of unknown length are admitted.
    pub unknown_length_allowed: bool,
    /// Whether a query is rejected if its body cannot be stored, by index of the query class. False for missing
    /// entries.
    pub storage_required: Vec<bool>,
}

impl Limits {
    /// Returns the bytes of a budget that one tenant may use.
    pub(super) fn tenant_budget(&self, budget_bytes: u64) -> u64 {
        (budget_bytes as f64 * self.tenant_share) as u64
    }
}

/// Outcome of the eviction of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionOutcome {
    /// All pieces that the body had when its eviction started are in the spool file.
    Written,
    /// The body was not moved: a write failed, or the body was already removed.
    Failed,
}

/// Rule for choosing the bodies to evict from memory to the spool file when memory is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// No bodies are evicted. Bodies that arrive while memory is full go to the spool file.
    Never,
    /// The largest bodies are evicted first.
    Largest,
    /// The bodies that were admitted first are evicted first.
    Oldest,
}
