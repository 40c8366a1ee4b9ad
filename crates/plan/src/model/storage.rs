//! Where bodies of queries and the query journal are stored.

use serde::Serialize;

/// The storage of bodies that retries send again.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Bodies {
    /// Bytes in memory, in all.
    #[serde(rename = "memory")]
    pub memory_bytes: u64,
    /// Bytes in memory of one body; a longer one is stored in the spool file.
    #[serde(rename = "batch_memory")]
    pub max_body_memory_bytes: u64,
    /// Bytes in the spool file, in all.
    #[serde(rename = "files")]
    pub file_bytes: u64,
    /// The directory of the spool file.
    pub directory: Option<String>,
    /// Bytes of the longest body; a longer one is rejected.
    #[serde(rename = "batch")]
    pub max_body_bytes: u64,
    /// The fraction of the storage that one tenant may use, 0 to 1.
    #[serde(rename = "share")]
    pub tenant_share: f64,
    /// Whether bodies are accepted whose length is not announced.
    #[serde(rename = "unknown_length")]
    pub unknown_length_allowed: bool,
    /// Classes whose queries are rejected where their body cannot be stored.
    #[serde(rename = "must_keep")]
    pub storage_required: Vec<String>,
}

/// The storage of the journal of non-idempotent queries.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Journal {
    /// Its directory.
    pub directory: String,
}
