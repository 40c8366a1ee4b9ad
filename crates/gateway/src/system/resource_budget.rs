//! Splits the limits on descriptors and memory into the parts that may be in use at once.

use std::sync::Arc;
use tokio::sync::Semaphore;

/// Descriptors that are no connection of the budget: standard streams, the listener, the runtime, the change log.
const RESERVED_DESCRIPTORS: usize = 24;

/// Protocol: one in this many descriptors is for clients.
const CLIENT_DIVISOR: usize = 3;

/// One in this many descriptors is for clients' connections that close while new ones come up.
const CLOSING_CLIENT_DIVISOR: usize = 16;

/// One in this many bytes of memory is for statements. What the divisors leave is for the program, the buffers of
/// connections and the allocator's overhead.
const STATEMENT_MEMORY_DIVISOR: usize = 8;

/// One in this many bytes of memory is for results.
const RESULT_MEMORY_DIVISOR: usize = 4;

/// One in this many bytes of memory is for the answers that clients may ask for again.
const ANSWER_CACHE_MEMORY_DIVISOR: usize = 64;

/// A result is in memory twice: as its pages, and as the answer made of them.
const COPIES_PER_RESULT: usize = 2;

const BYTES_PER_MB: usize = 1 << 20;

/// The limits that a gateway runs within.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// File descriptors.
    pub descriptors: usize,
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// Protocol: the largest result of a query, in bytes.
    pub max_result_bytes: usize,
}

/// The parts of the limits that may be in use at once.
#[derive(Clone, Debug)]
pub struct ResourceBudget {
    /// A permit for each connection of a client.
    pub client_connections: Arc<Semaphore>,
    /// A permit for each connection to an engine.
    pub engine_connections: Arc<Semaphore>,
    /// Queries that the descriptors and the memory can hold at once.
    pub query_capacity: usize,
    /// A permit for each byte of a statement in flight.
    pub statement_bytes: Arc<Semaphore>,
    /// Bytes of answers that are cached for clients whose connection ended before they had theirs.
    pub answer_cache_bytes: usize,
}

impl ResourceBudget {
    /// Splits the limits. Clients have their part of the descriptors and a surplus for connections that are closing: the
    /// system accepts connections whether or not the gateway does, and each is owed an answer. Engines have what remains.
    pub fn of(limits: ResourceLimits) -> Self {
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
        ResourceBudget {
            client_connections: Arc::new(Semaphore::new(clients)),
            engine_connections: Arc::new(Semaphore::new(engines)),
            query_capacity: open_clients.min(results).max(1),
            statement_bytes: Arc::new(Semaphore::new(statement_bytes)),
            answer_cache_bytes: memory_bytes / ANSWER_CACHE_MEMORY_DIVISOR,
        }
    }
}

#[cfg(test)]
mod tests;
