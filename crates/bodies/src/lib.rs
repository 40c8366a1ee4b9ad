//! Stores request bodies for retries: in memory up to a size limit, then in a spool file up to a budget, then not at
//! all.
//!
//! One writer fills a body while one reader at a time reads it, possibly before it is complete. Each byte is stored
//! once.
//!
//! | module | responsibility |
//! |---|---|
//! | [`capacity`] | decides where each body is stored, and which bodies are evicted or rejected; does no I/O |
//! | [`spool`] | manages the slots of the spool file, each with a checksum; accesses the file through a trait |
//! | `piece`, `content` | hold one piece of a body, and the list of pieces that the writer and the reader share |
//! | `resources`, `registry` | hold the resources that all bodies share, and find bodies in flight by id |
//! | [`body`] | represents one body in flight and its stored pieces |
//! | `eviction` | moves bodies from memory to the spool file |
//! | [`writer`] | receives a body and stores it in pieces |
//! | [`reader`] | reads a body from its start, while it may still be arriving |
//! | [`store`] | admits bodies within the budgets of one store |
//!
//! Each module depends only on modules above it in this table.
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
