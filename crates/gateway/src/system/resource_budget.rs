//! Splits the gateway's limits on file descriptors and memory into budgets for connections, statements, results and
//! cached answers.

use super::result_memory::ResultMemory;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// File descriptors outside the connection budgets: standard streams, the listener, the runtime, the change log.
const RESERVED_DESCRIPTORS: usize = 24;

/// Protocol: clients get one in this many descriptors.
const CLIENT_DIVISOR: usize = 3;

/// One in this many descriptors is for client connections that are still closing while new ones open.
const CLOSING_CLIENT_DIVISOR: usize = 16;

/// One in this many bytes of memory is for statements. The memory that this and the other divisors leave is for the
/// program itself, the buffers of connections and the allocator's overhead.
const STATEMENT_MEMORY_DIVISOR: usize = 8;

/// One in this many bytes of memory is for the results of open queries, by their longest length.
const RESULT_MEMORY_DIVISOR: usize = 4;

/// One in this many bytes of memory is for pages that are really held, and as many for answers. Results wait for one
/// another where this is not enough.
const HELD_RESULT_MEMORY_DIVISOR: usize = 12;

/// One in this many bytes of memory is for cached answers, which clients may request again.
const ANSWER_CACHE_MEMORY_DIVISOR: usize = 64;

/// One in this many bytes of memory is for the keys of finished queries.
const FINISHED_KEY_MEMORY_DIVISOR: usize = 16;

/// Memory of a key of a finished query, in bytes, while the tables that hold it grow.
const FINISHED_KEY_BYTES: usize = 80;

/// A result is held in memory twice: as the pages from the engine, and as the answer assembled from them.
const COPIES_PER_RESULT: usize = 2;

const BYTES_PER_MB: usize = 1 << 20;

/// The configured limits of a gateway, and the protocol's limit on results.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Maximum number of open file descriptors.
    pub descriptors: usize,
    /// Maximum memory, in MiB.
    pub memory_mb: usize,
    /// Protocol: maximum size of a query's result, in bytes.
    pub max_result_bytes: usize,
}

/// Budgets that the gateway's components take their connections and memory from.
#[derive(Clone, Debug)]
pub struct ResourceBudget {
    /// One permit for each client connection.
    pub client_connections: Arc<Semaphore>,
    /// One permit for each connection to an engine.
    pub engine_connections: Arc<Semaphore>,
    /// Maximum number of concurrent queries that the descriptors and the memory allow; at least 1.
    pub query_capacity: usize,
    /// One permit for each byte of the statements in flight.
    pub statement_memory: Arc<Semaphore>,
    /// For the pages of results that are being fetched.
    pub page_memory: ResultMemory,
    /// For the answers that are not sent yet, or are cached.
    pub answer_memory: ResultMemory,
    /// Size of the cache of answers, in bytes. It serves clients whose connection ended before they received their
    /// answer.
    pub answer_cache_bytes: usize,
    /// Number of keys of finished queries that are remembered.
    pub finished_keys: usize,
}

impl ResourceBudget {
    /// Splits the limits.
    ///
    /// Clients get their share of the descriptors, plus a surplus for connections that are closing: the system accepts
    /// connections whether or not the gateway has room, and each of them must be answered. Engines get the rest.
    pub fn from_limits(limits: ResourceLimits) -> Self {
        let ResourceLimits {
            descriptors,
            memory_mb,
            max_result_bytes,
        } = limits;
        let memory_bytes = memory_mb * BYTES_PER_MB;
        let open_clients = descriptors / CLIENT_DIVISOR;
        let closing_clients = descriptors / CLOSING_CLIENT_DIVISOR + 1;
        let clients = open_clients + closing_clients;
        let engines = descriptors
            .saturating_sub(clients + RESERVED_DESCRIPTORS)
            .max(1);
        let results = memory_bytes / RESULT_MEMORY_DIVISOR / (COPIES_PER_RESULT * max_result_bytes);
        let statement_bytes = memory_bytes / STATEMENT_MEMORY_DIVISOR;
        let held_result_bytes = memory_bytes / HELD_RESULT_MEMORY_DIVISOR;
        ResourceBudget {
            client_connections: Arc::new(Semaphore::new(clients)),
            engine_connections: Arc::new(Semaphore::new(engines)),
            query_capacity: open_clients.min(results).max(1),
            statement_memory: Arc::new(Semaphore::new(statement_bytes)),
            page_memory: ResultMemory::new(held_result_bytes),
            answer_memory: ResultMemory::new(held_result_bytes),
            answer_cache_bytes: memory_bytes / ANSWER_CACHE_MEMORY_DIVISOR,
            finished_keys: memory_bytes / FINISHED_KEY_MEMORY_DIVISOR / FINISHED_KEY_BYTES,
        }
    }
}

#[cfg(test)]
mod tests;
