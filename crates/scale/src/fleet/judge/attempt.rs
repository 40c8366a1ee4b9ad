//! Queries and attempts as clients and engines see them.

/// Names a query: gateways never use a number again, also not after a restart.
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
    pub key: Option<u64>,
    pub engine: usize,
    pub work: f64,
}
