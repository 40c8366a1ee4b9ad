//! What is kept of a query from its admission until it is over and no attempt of it is in flight.

use super::attempt_state::Attempt;
use crate::api::{Query, QueryId};

/// Where a query stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum QueryPhase {
    /// Behind an earlier query of its ordering key, or the key pauses.
    WaitingForKey,
    /// Ready for an attempt: in its tenant's queue, unless its client is absent.
    Queued,
    /// To be answered without another attempt.
    Abandoned,
    /// An attempt is in flight.
    InFlight,
    /// Over for its client; an attempt is still in flight.
    ClosedInFlight,
}

/// A query that is not over, or of which an attempt is in flight.
pub(crate) struct QueryState {
    pub(crate) query: Query,
    /// When it was admitted, in seconds.
    pub(crate) admitted_at: f64,
    /// When its client gives up, in seconds.
    pub(crate) deadline: f64,
    pub(crate) phase: QueryPhase,
    /// Attempts that were begun.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<Attempt>,
    /// The first attempt that may have run.
    pub(crate) may_have_run: Option<Attempt>,
    /// Its body is not stored any more, so it cannot be sent again.
    pub(crate) body_discarded: bool,
    /// Its client has lost its connection and may come back.
    pub(crate) client_absent: bool,
}

impl QueryState {
    pub(crate) fn new(query: Query, admitted_at: f64, phase: QueryPhase) -> Self {
        QueryState {
            query,
            admitted_at,
            deadline: admitted_at + query.remaining_time.max(0.0),
            phase,
            attempts: 0,
            in_flight: None,
            may_have_run: None,
            body_discarded: false,
            client_absent: false,
        }
    }

    pub(crate) fn id(&self) -> QueryId {
        self.query.id
    }

    /// The number of the attempt that was begun last, from 0.
    pub(crate) fn last_attempt(&self) -> u32 {
        self.attempts - 1
    }
}
