//! Splits the limits on descriptors and memory into the parts that may be in use at once.

use crate::engines::result_rows;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Descriptors kept back: standard streams, the listener, the runtime's own, the change log.
const RESERVED_DESCRIPTORS: usize = 24;
/// One in so many descriptors is kept for clients' connections over their third.
const SURPLUS_CLIENT_DIVISOR: usize = 16;

/// One in so many bytes of the told memory is for statements, and one in so many for results in hand; the rest is
/// for the program, the buffers of connections and what an allocator can't give back.
const STATEMENT_MEMORY_DIVISOR: usize = 8;
const RESULT_MEMORY_DIVISOR: usize = 4;
/// One in so many bytes of the told memory is for answers that clients may ask for again.
const ANSWER_CACHE_MEMORY_DIVISOR: usize = 64;
/// A result in hand: its pages, and the answer made of them.
const BYTES_PER_RESULT: usize = 2 * result_rows::MAX_RESULT_BYTES;

/// Parts of the told limit that may be open at once.
#[derive(Clone, Debug)]
pub struct ResourceBudget {
    pub client_connections: Arc<Semaphore>,
    pub engine_connections: Arc<Semaphore>,
    /// Batches that clients' connections and the memory can hold at once.
    pub query_capacity: usize,
    /// Bytes of statements that may be in hand at once.
    pub statement_bytes: Arc<Semaphore>,
    /// Bytes of answers that are kept for clients whose connection ended before they had theirs.
    pub answer_cache_bytes: usize,
}

impl ResourceBudget {
    /// A third for clients, as the protocol has it, and some for those that close as others come: the machine
    /// accepts a connection whether or not we do, and what comes on it is owed an answer. The rest, less our
    /// own, for engines.
    pub fn of(descriptor_limit: usize, memory_mb: usize) -> Self {
        let memory_bytes = memory_mb << 20;
        let clients = descriptor_limit / 3 + descriptor_limit / SURPLUS_CLIENT_DIVISOR + 1;
        let engines = descriptor_limit
            .saturating_sub(clients + RESERVED_DESCRIPTORS)
            .max(1);
        ResourceBudget {
            client_connections: Arc::new(Semaphore::new(clients)),
            engine_connections: Arc::new(Semaphore::new(engines)),
            query_capacity: (descriptor_limit / 3)
                .min(memory_bytes / RESULT_MEMORY_DIVISOR / BYTES_PER_RESULT)
                .max(1),
            statement_bytes: Arc::new(Semaphore::new(memory_bytes / STATEMENT_MEMORY_DIVISOR)),
            answer_cache_bytes: memory_bytes / ANSWER_CACHE_MEMORY_DIVISOR,
        }
    }
}

#[cfg(test)]
mod tests;
