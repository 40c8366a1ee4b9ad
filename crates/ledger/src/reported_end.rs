//! Weighs an engine's report that an attempt has ended.

/// What an engine's report that an attempt has ended counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVerdict {
    /// The attempt ended as reported.
    Accepted,
    /// The attempt has ended and may have been interrupted: its ordering key pauses.
    Interrupted,
    /// Nothing: another process may have reported it, or the request may still be on its way.
    Inconclusive,
}

/// An engine's report that an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedEnd {
    /// It answers the request that started the attempt, not a poll.
    pub answers_start: bool,
    /// It says that the attempt failed or is unknown, not that it never ran.
    pub is_failure: bool,
}

impl ReportedEnd {
    /// What the report counts for. `is_proved`: the ledger has a proof that the attempt does not run any more.
    pub fn weigh(self, is_proved: bool) -> ReportVerdict {
        if self.answers_start {
            return ReportVerdict::Accepted;
        }
        match (is_proved, self.is_failure) {
            (true, false) => ReportVerdict::Accepted,
            // It failed, or was dropped while this gateway had no time to poll.
            (true, true) => ReportVerdict::Interrupted,
            (false, _) => ReportVerdict::Inconclusive,
        }
    }
}
