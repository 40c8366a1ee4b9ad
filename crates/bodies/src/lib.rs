//! Stores request bodies for retries: in memory up to a size, then in a spool file up to a budget, then not at all.
//!
//! A body is written by one writer while one reader at a time follows it; each byte is stored once.
//!
//! | module | its job |
//! |---|---|
//! | [`capacity`] | decides where a body is stored, what is evicted and what is rejected; no I/O |
//! | [`spool`] | the slots of the spool file, each with a checksum; the file is behind a trait |
//! | [`store`] | all bodies in flight, within one capacity |
//! | [`body`] | one body in flight, and what of it is stored |
//! | [`writer`] | receives a body, and stores it in pieces |
//! | [`reader`] | reads a body from its start while it still arrives |
//! | `eviction` | moves a body from memory to the spool file |
//!
//! docs/bodies.md explains the design.

pub mod body;
pub mod capacity;
mod eviction;
mod piece;
pub mod reader;
pub mod spool;
pub mod store;
pub mod writer;

pub use body::Body;
pub use capacity::{AdmissionError, BodyId, Capacity, EvictionPolicy, Limits, Storage, Usage};
pub use reader::{ReadError, Reader};
pub use spool::{Disk, Media, Spool, SpoolError};
pub use store::{Counts, Store};
pub use writer::PushError;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; what a panicked thread left behind is still consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
