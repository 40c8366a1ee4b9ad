//! Builds the store of request bodies that a plan configures, and logs its counts.

use garnetwall_bodies::EvictionPolicy;
use garnetwall_bodies::{Limits, Spool, SpoolFile, Store};
use garnetwall_plan::model::Bodies;
use std::io;
use std::path::Path;
use std::sync::Arc;

/// Builds the store of request bodies that a plan asks for, with a spool file where the plan names a directory.
///
/// `class_names` are the names of the query classes by their index.
///
/// # Errors
///
/// The spool file can't be created; the text names its path.
pub fn body_store(
    bodies: &Bodies,
    class_names: &[String],
    gateway: &str,
) -> io::Result<Arc<Store>> {
    let spool = match &bodies.directory {
        Some(directory) => {
            let file = SpoolFile::create(Path::new(directory), gateway)?;
            Some(Spool::new(file, bodies.file_bytes))
        }
        None => None,
    };
    let limits = Limits {
        memory_bytes: bodies.memory_bytes,
        file_bytes: bodies.file_bytes,
        max_body_memory_bytes: bodies.max_body_memory_bytes,
        max_body_bytes: bodies.max_body_bytes,
        tenant_share: bodies.tenant_share,
        unknown_length_allowed: bodies.unknown_length_allowed,
        storage_required: class_names
            .iter()
            .map(|class| bodies.storage_required.contains(class))
            .collect(),
    };
    Ok(Store::new(limits, EvictionPolicy::Largest, spool))
}

/// Logs, for each query class and kind of storage, the bodies received and the retries that read one again or found it missing.
pub fn log_body_store(store: &Store, class_names: &[String]) {
    for ((class, storage), counts) in store.counts() {
        tracing::info!(
            class = class_names.get(class).map_or("", String::as_str),
            ?storage,
            bodies = counts.bodies,
            retry_reads = counts.retry_reads,
            missing = counts.missing,
            "request bodies"
        );
    }
}
