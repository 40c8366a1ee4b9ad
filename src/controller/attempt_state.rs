//! What is kept of an attempt while it is in flight.

use crate::api::EngineId;

/// An attempt in flight.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineId,
    /// When it began, in seconds.
    pub(crate) begun_at: f64,
    /// When it began, or its last progress event came.
    pub(crate) last_progress_at: f64,
    /// Expected memory in megabytes.
    pub(super) memory: f64,
    /// It has counted as load for taking too long.
    pub(crate) counted_overdue: bool,
    /// Its outcome was recorded while its end was unknown.
    pub(super) outcome_recorded: bool,
    /// It is the only attempt of its query that may have run, and counts so because its end was unknown.
    pub(super) only_possible_run: bool,
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
            only_possible_run: false,
        }
    }
}
