//! Defines the properties of a query that routing and limits depend on.

use std::net::IpAddr;

/// The properties of a query that routing and limits depend on.
#[derive(Clone, Copy, Debug)]
pub struct RoutedQuery {
    /// Index of the query class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// Address of the client.
    pub client: IpAddr,
    /// Whether the query has an ordering key.
    pub has_key: bool,
    /// The data set that the statement reads or loads; 0 for none.
    pub data_set: u32,
    /// Minute of the day in UTC, from 0 to 1439.
    pub minute: u32,
    /// Length of the statement in bytes.
    pub statement_bytes: u64,
}
