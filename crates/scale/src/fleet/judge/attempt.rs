//! Queries and attempts as clients and engines observe them.

/// Identifies a query. A gateway never reuses a query number, not even after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueryName {
    pub gateway: u32,
    pub query: u32,
}

/// An attempt as its engine receives it.
#[derive(Clone, Copy, Debug)]
pub struct SeenAttempt {
    pub name: QueryName,
    pub class: usize,
    /// Ordering key of the query.
    pub key: Option<u64>,
    pub engine: usize,
    /// Work in core seconds.
    pub work: f64,
}
