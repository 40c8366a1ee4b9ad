//! Splits the limits on descriptors and memory into the parts that may be in use at once.

use crate::engines::result_rows;
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

/// A result takes its pages, and the answer made of them.
const BYTES_PER_RESULT: usize = 2 * result_rows::MAX_RESULT_BYTES;

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
    /// Splits a limit on descriptors and one on memory, in MiB. Clients have their part and a surplus for
    /// connections that are closing: the system accepts connections whether or not the gateway does, and each is owed an
    /// answer. Engines have what remains.
    pub fn of(descriptor_limit: usize, memory_mb: usize) -> Self {
        let memory_bytes = memory_mb << 20;
        let open_clients = descriptor_limit / CLIENT_DIVISOR;
        let closing_clients = descriptor_limit / CLOSING_CLIENT_DIVISOR + 1;
        let clients = open_clients + closing_clients;
        let engines = descriptor_limit
            .saturating_sub(clients + RESERVED_DESCRIPTORS)
            .max(1);
        let results = memory_bytes / RESULT_MEMORY_DIVISOR / BYTES_PER_RESULT;
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
