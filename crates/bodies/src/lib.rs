//! Keeps bodies of queries for retries: in memory up to a size, then in a spool file up to a budget, then not
//! at all. A body passes through while it comes in and is kept as it passes, never twice.
//!
//! [`capacity`] decides where a body goes, what moves and what is rejected; it does no I/O. [`spool`] has the blocks of
//! the file behind a trait, each with its checksum. [`body`] is what passes through: one writer, one reader at a time.
//! docs/bodies.md weighs it all.

pub mod body;
pub mod capacity;
pub mod spool;

pub use body::{Body, PushError, ReadError, Reader, Store};
pub use capacity::{AdmissionError, BodyId, Capacity, EvictionPolicy, Limits, Storage};
pub use spool::{Disk, Media, Spool, SpoolError};
