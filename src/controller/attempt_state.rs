//! Holds the state of an attempt while it is in flight.

use crate::api::EngineId;

/// State of an attempt in flight.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineId,
    /// Start time of the attempt, in seconds.
    pub(crate) begun_at: f64,
    /// Time of the last progress event, or of the start if there was none, in seconds.
    pub(crate) last_progress_at: f64,
    /// Expected memory of the attempt, in megabytes.
    pub(super) memory: f64,
    /// Whether the attempt was already counted as load because it is overdue.
    pub(crate) counted_overdue: bool,
    /// Whether the outcome was already recorded when it was reported as unknown.
    pub(super) outcome_recorded: bool,
    /// Whether this attempt, whose outcome is unknown, is the only reason why its query counts as one that may have
    /// run.
    pub(super) sole_cause_of_may_have_run: bool,
}

impl Attempt {
    pub(super) fn new(engine: EngineId, begun_at: f64, memory: f64) -> Self {
        Attempt {
            engine,
            begun_at,
            last_progress_at: begun_at,
            memory,
            counted_overdue: false,
            outcome_recorded: false,
            sole_cause_of_may_have_run: false,
        }
    }
}
