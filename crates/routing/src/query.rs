//! What routing knows of a query.

use std::net::IpAddr;

/// A query as routing sees it; classes and tenants are the settings' indices.
#[derive(Clone, Copy, Debug)]
pub struct RoutedQuery {
    /// Index of its query class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Address of its client.
    pub client: IpAddr,
    /// Whether it has an ordering key.
    pub has_key: bool,
    /// The data set that its statement reads or loads; 0 for none.
    pub data_set: u32,
    /// Minute of the day, UTC.
    pub minute: u32,
    /// Length of its statement in bytes.
    pub statement_bytes: u64,
}
