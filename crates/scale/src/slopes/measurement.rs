//! What is measured at a point, and the input and output of the measuring process.

use super::settings::{Fixed, RoleName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A measured quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Processor microseconds of the decisions on one query.
    Query,
    /// Share of a core that the decisions take at the rate of the point, in hundredths.
    CoreShare,
    /// Placement decisions of the module for each query.
    Draws,
    /// Processor microseconds of the first whole list.
    FirstList,
    /// Processor microseconds of a repeated whole list.
    WholeList,
    /// Processor microseconds of one changed entry.
    ChangedLine,
    /// Processor microseconds of decoding the whole list.
    DecodeList,
    /// Processor microseconds of decoding one changed entry.
    DecodeLine,
    /// Bytes of the whole list as it is sent.
    ListBytes,
    /// Bytes of one changed entry as it is sent.
    LineBytes,
    /// Resident bytes that were added.
    Resident,
    /// Resident bytes that each additional subset of one catalog adds.
    SubsetBytes,
    /// Engines of the subset.
    SubsetEngines,
    /// Gateways that hold an engine, in the mean.
    Holders,
    /// Bytes a second that one member sends.
    MemberBytes,
    /// Processor microseconds a second of one member.
    MemberTime,
    /// Resident bytes of one member.
    MemberResident,
    /// Processor microseconds of one attempt in the ledger, from its opening to its close.
    Attempt,
    /// Processor microseconds of reading and checking a file.
    Read,
    /// Processor microseconds of one member's renewal at a lease issuer.
    Renewal,
}

impl Metric {
    /// What it is, with its unit.
    pub fn label(self) -> &'static str {
        match self {
            Metric::Query => "a query, us",
            Metric::CoreShare => "of a core, %",
            Metric::Draws => "draws a query",
            Metric::FirstList => "first whole list, us",
            Metric::WholeList => "whole list again, us",
            Metric::ChangedLine => "changed line, us",
            Metric::DecodeList => "decode whole list, us",
            Metric::DecodeLine => "decode changed line, us",
            Metric::ListBytes => "whole list, bytes",
            Metric::LineBytes => "changed line, bytes",
            Metric::Resident => "resident, bytes",
            Metric::SubsetBytes => "a further subset, bytes",
            Metric::SubsetEngines => "subset, engines",
            Metric::Holders => "holders of an engine",
            Metric::MemberBytes => "a member sends, bytes/s",
            Metric::MemberTime => "a member, us/s",
            Metric::MemberResident => "a member, resident bytes",
            Metric::Attempt => "an attempt, us",
            Metric::Read => "read and check, us",
            Metric::Renewal => "a renewal, us",
        }
    }
}

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    pub metric: Metric,
    pub value: f64,
}

impl Measured {
    pub fn new(metric: Metric, value: f64) -> Self {
        Measured { metric, value }
    }
}

/// The input of the measuring process.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Point {
    pub role: RoleName,
    pub seed: u64,
    pub quantities: Fixed,
}

/// Why a point could not be measured.
#[derive(Debug, Error)]
pub enum RoleError {
    #[error("what the process uses: {0}; run on a system with /proc")]
    Process(#[from] std::io::Error),
    #[error("a role's own data can't be read back: {0}; this is a fault of the role")]
    Data(String),
    #[error("subset: {0}")]
    Subset(#[from] garnetwall_subset::SubsetError),
}

/// A part of the program that can be measured at any size.
pub trait Role {
    /// Measures one point, in a process of its own.
    ///
    /// # Errors
    ///
    /// Where the process can't be measured or the quantities can't be simulated.
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError>;
}
