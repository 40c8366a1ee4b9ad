//! Creates the store of request bodies that a plan configures, and logs its counts at the exit.

use garnetwall_bodies::EvictionPolicy;
use garnetwall_bodies::{Limits, Spool, SpoolFile, Store};
use garnetwall_plan::model::Bodies;
use std::io;
use std::path::Path;
use std::sync::Arc;

/// Creates the store of request bodies from the plan's settings, with a spool file if the plan names a directory.
///
/// `class_names` holds the names of the query classes by class index. `gateway` is the gateway's name, which the file
/// name of the spool contains.
///
/// # Errors
///
/// The spool file cannot be created. The error text contains its path.
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

/// Logs counts for each query class and kind of storage: bodies received, retries that read their body again, and
/// attempts that could not read their body because its start had been discarded.
pub fn log_body_counts(store: &Store, class_names: &[String]) {
    for ((class, storage), counts) in store.counts() {
        tracing::info!(
            class = class_names.get(class).map_or("", String::as_str),
            ?storage,
            bodies = counts.bodies,
            retry_reads = counts.retry_reads,
            missing = counts.discarded,
            "request body counts"
        );
    }
}
