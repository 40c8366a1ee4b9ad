//! Defines the storage of query bodies and of the query journal.

use serde::Serialize;

/// Storage of query bodies, which are kept so that a retry can send them again.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Bodies {
    /// Maximum number of bytes in memory, for all bodies together.
    #[serde(rename = "memory")]
    pub memory_bytes: u64,
    /// Maximum number of bytes in memory for one body; longer bodies are stored in the spool file.
    #[serde(rename = "batch_memory")]
    pub max_body_memory_bytes: u64,
    /// Maximum number of bytes in the spool file, for all bodies together; 0 for no spool file.
    #[serde(rename = "files")]
    pub file_bytes: u64,
    /// Directory of the spool file; always set if `file_bytes` is not 0.
    pub directory: Option<String>,
    /// Maximum length of a body in bytes; longer bodies are rejected.
    #[serde(rename = "batch")]
    pub max_body_bytes: u64,
    /// Maximum fraction of the memory and of the spool file that one tenant may use, 0 to 1.
    #[serde(rename = "share")]
    pub tenant_share: f64,
    /// Whether bodies without an announced length are accepted.
    #[serde(rename = "unknown_length")]
    pub unknown_length_allowed: bool,
    /// Names of the query classes whose queries are rejected if their body cannot be stored.
    #[serde(rename = "must_keep")]
    pub storage_required: Vec<String>,
}

/// Storage of the journal, which records non-idempotent queries so that none of them runs again after a restart.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Journal {
    /// Directory of the journal file.
    pub directory: String,
}
