//! Splits the limits on descriptors and memory into the parts that may be in use at once.

use crate::engines::result_rows;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Descriptors kept back: standard streams, the listener, the runtime's own, the change log.
const OWN: usize = 24;
/// One in so many descriptors is kept for clients' connections over their third.
const SPARE: usize = 16;

/// One in so many bytes of the told memory is for statements, and one in so many for results in hand; the rest is
/// for the program, the buffers of connections and what an allocator can't give back.
const STATEMENTS: usize = 8;
const RESULTS: usize = 4;
/// One in so many bytes of the told memory is for answers that clients may ask for again.
const KEPT_ANSWERS: usize = 64;
/// A result in hand: its pages, and the answer made of them.
const RESULT: usize = 2 * result_rows::RESULT;

/// Parts of the told limit that may be open at once.
#[derive(Clone, Debug)]
pub struct ResourceBudget {
    pub clients: Arc<Semaphore>,
    pub engines: Arc<Semaphore>,
    /// Batches that clients' connections and the memory can hold at once.
    pub room: usize,
    /// Bytes of statements that may be in hand at once.
    pub statements: Arc<Semaphore>,
    /// Bytes of answers that are kept for clients whose connection ended before they had theirs.
    pub kept_answers: usize,
}

impl ResourceBudget {
    /// A third for clients, as the protocol has it, and some for those that close as others come: the machine
    /// accepts a connection whether or not we do, and what comes on it is owed an answer. The rest, less our
    /// own, for engines.
    pub fn of(limit: usize, memory_mb: usize) -> Self {
        let memory = memory_mb << 20;
        let clients = limit / 3 + limit / SPARE + 1;
        let engines = limit.saturating_sub(clients + OWN).max(1);
        ResourceBudget {
            clients: Arc::new(Semaphore::new(clients)),
            engines: Arc::new(Semaphore::new(engines)),
            room: (limit / 3).min(memory / RESULTS / RESULT).max(1),
            statements: Arc::new(Semaphore::new(memory / STATEMENTS)),
            kept_answers: memory / KEPT_ANSWERS,
        }
    }
}

#[cfg(test)]
mod tests;
