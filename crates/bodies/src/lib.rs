//! Stores request bodies for retries: in memory up to a size, then in a spool file up to a budget, then not at all.
//!
//! A body is written by one writer while one reader at a time follows it; each byte is stored once.
//!
//! | module | its job |
//! |---|---|
//! | [`capacity`] | decides where a body is stored, what is evicted and what is rejected; no I/O |
//! | [`spool`] | the slots of the spool file, each with a checksum; the file is behind a trait |
//! | `piece`, `content` | a piece and where it is stored; the pieces of a body that its writer and reader share |
//! | `resources`, `registry` | what all bodies share; where bodies in flight are found by id |
//! | [`body`] | one body in flight, and what of it is stored |
//! | `eviction` | moves bodies from memory to the spool file |
//! | [`writer`] | receives a body, and stores it in pieces |
//! | [`reader`] | reads a body from its start while it still arrives |
//! | [`store`] | admits bodies to one capacity |
//!
//! Each module knows only those above it in this table.
//!
//! docs/bodies.md explains the design.

pub mod body;
pub mod capacity;
mod content;
mod eviction;
mod mutex;
mod piece;
pub mod reader;
mod registry;
mod resources;
pub mod spool;
pub mod store;
pub mod writer;

pub use body::{Body, Retention};
pub use capacity::{
    AdmissionError, BodyId, Capacity, EvictionOutcome, EvictionPolicy, Limits, Storage, Usage,
};
pub use reader::{ReadBy, ReadError, Reader};
pub use resources::Counts;
pub use spool::{RandomAccessFile, Spool, SpoolError, SpoolFile};
pub use store::Store;
pub use writer::PushError;
