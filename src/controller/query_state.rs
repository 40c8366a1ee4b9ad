//! Holds the state of a query from its admission until it is over and has no attempt in flight.

use super::attempt_state::Attempt;
use crate::api::{Query, QueryId};

/// Phase of a query.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum QueryPhase {
    /// The query waits for an earlier query of its ordering key or for the end of the key's pause.
    WaitingForKey,
    /// The query is ready for an attempt. It is in its tenant's queue, unless its client is absent.
    Queued,
    /// The query will be answered without another attempt.
    Abandoned,
    /// An attempt is in flight.
    InFlight,
    /// The query is over for its client, but an attempt is still in flight.
    ClosedInFlight,
}

/// State of a query that is not over or has an attempt in flight.
pub(crate) struct QueryState {
    pub(crate) query: Query,
    /// Time of admission, in seconds.
    pub(crate) admitted_at: f64,
    /// Time at which the client stops waiting for the answer, in seconds.
    pub(crate) deadline: f64,
    pub(crate) phase: QueryPhase,
    /// Number of attempts started.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<Attempt>,
    /// First attempt that ended, or whose outcome was reported as unknown, without proof that it never ran; `None` if
    /// there is none.
    pub(crate) may_have_run: Option<Attempt>,
    /// Whether the query's body is no longer stored, so that the query cannot be sent again.
    pub(crate) body_discarded: bool,
    /// Whether the client has lost its connection and may reconnect.
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

    /// Returns the number of the latest attempt, from 0. At least one attempt must have been started.
    pub(crate) fn last_attempt(&self) -> u32 {
        self.attempts - 1
    }
}
