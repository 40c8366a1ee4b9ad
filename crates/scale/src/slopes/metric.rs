//! The metrics that roles measure, with their units.

use serde::{Deserialize, Serialize};

/// A measured quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Processor microseconds of the decisions on one query.
    Query,
    /// Share of a core that the decisions take at the rate of the point, in percent.
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
