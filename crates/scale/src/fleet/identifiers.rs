//! Identifiers of gateway processes and attempts, unique within a run.

/// Identifies a process of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    pub gateway: u32,
    /// Number of the process among those of the gateway, from 1.
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
    /// Returns the process that sent the attempt.
    pub fn process(&self) -> ProcessId {
        ProcessId {
            gateway: self.gateway,
            incarnation: self.incarnation,
        }
    }
}
