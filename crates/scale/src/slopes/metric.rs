//! Metrics that roles measure, with their units.

use serde::{Deserialize, Serialize};

/// A metric that one or more roles measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Processor time of the decisions on one query, in microseconds.
    Query,
    /// Share of a core that the decisions use at the point's query rate, in percent.
    CoreShare,
    /// Placement decisions of the module per query.
    Draws,
    /// Processor time to apply the first whole list, in microseconds.
    FirstList,
    /// Processor time to apply the unchanged whole list again, in microseconds.
    WholeList,
    /// Processor time to apply one changed entry, in microseconds.
    ChangedLine,
    /// Processor time to decode the whole list, in microseconds.
    DecodeList,
    /// Processor time to decode one changed entry, in microseconds.
    DecodeLine,
    /// Size of the whole list as sent, in bytes.
    ListBytes,
    /// Size of one changed entry as sent, in bytes.
    LineBytes,
    /// Resident memory that the measured state adds, in bytes.
    Resident,
    /// Resident memory that each additional subset of one catalog adds, in bytes.
    SubsetBytes,
    /// Number of engines in the subset.
    SubsetEngines,
    /// Mean number of gateways that hold an engine.
    Holders,
    /// Bytes that one member sends per second.
    MemberBytes,
    /// Processor time of one member per second, in microseconds.
    MemberTime,
    /// Resident memory of one member, in bytes.
    MemberResident,
    /// Processor time of one attempt in the ledger, from its opening to its close, in microseconds.
    Attempt,
    /// Processor time to read and check a file, in microseconds.
    Read,
    /// Processor time of one member's renewal at a lease issuer, in microseconds.
    Renewal,
}

impl Metric {
    /// Name and unit of the metric in tables, results and names of charts.
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
