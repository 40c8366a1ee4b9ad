//! Names of processes and attempts that are never used again in a run.

/// One process of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    pub gateway: u32,
    /// Counts the gateway's processes.
    pub incarnation: u32,
}

/// Identifies an attempt across all gateways and their processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    pub gateway: u32,
    pub incarnation: u32,
    pub query: u32,
    pub attempt: u32,
}

impl AttemptKey {
    /// The process that sent the attempt.
    pub fn process(&self) -> ProcessId {
        ProcessId {
            gateway: self.gateway,
            incarnation: self.incarnation,
        }
    }
}
