//! Decides whether an engine's report that an attempt has ended is trusted.

/// Conclusion from an engine's report that an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVerdict {
    /// The attempt ended as reported.
    Accepted,
    /// The attempt has ended, but may have been interrupted, so its ordering key is paused.
    Interrupted,
    /// The report is ignored: another process may have sent it, or the request that starts the attempt may not have
    /// arrived yet.
    Inconclusive,
}

/// An engine's report that an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedEnd {
    /// Whether the report answers the request that started the attempt, not a poll.
    pub answers_start: bool,
    /// Whether the report says that the attempt failed or is unknown to the engine; false if it says that the attempt
    /// never ran.
    pub is_failure: bool,
}

impl ReportedEnd {
    /// Returns the conclusion from the report. `is_proved` is true if the ledger has a proof that the attempt no longer
    /// runs.
    pub fn evaluate(self, is_proved: bool) -> ReportVerdict {
        if self.answers_start {
            return ReportVerdict::Accepted;
        }
        match (is_proved, self.is_failure) {
            (true, false) => ReportVerdict::Accepted,
            // The attempt failed, or the engine dropped it because this gateway polled too late.
            (true, true) => ReportVerdict::Interrupted,
            (false, _) => ReportVerdict::Inconclusive,
        }
    }
}
