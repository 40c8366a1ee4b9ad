//! The lifecycle of one attempt at an engine: its request, polls, result pages and cancellation.
//!
//! | state | code | next state |
//! |---|---|---|
//! | connecting | `exchange::ready_connection` | request being sent; ended as `ConnectFailed` or `NotSent` if no connection is established |
//! | request being sent | `exchange::send_streamed`, `start`, the [`SendGate`] | running; cancelling if it is interrupted; ended as `NotNeeded` or `ConnectFailed` if the gate stops it, as `Failed` if the body store has lost a part of its body, or as `ConnectFailed` if it is not sent completely for another reason |
//! | running, polled | `polling::poll_until_end` | fetching pages; ended as the engine reports, or as `Cancelled` if its query was answered before its result arrived; cancelling if cancellation is requested or polls can't determine the outcome |
//! | fetching pages | `pages::fetch_pages` | ended as `Succeeded`, as `Failed` if the engine has lost a page, or as `ConnectionLost` if a page can't be fetched for another reason |
//! | cancelling | `cancel::cancel` | ended once the ledger has a proof that the attempt does not run: as `Cancelled`, `NotNeeded`, `ConnectFailed`, or as `ConnectionLost` after an unknown outcome |
//! | ended | [`AttemptResult`] | |
//!
//! Five types represent one attempt, each with the facts that its owner needs:
//!
//! | type | owner | purpose | created | dropped |
//! |---|---|---|---|---|
//! | `Attempt` in `src/controller/attempt_state.rs` | admission controller, in the state of the query | the load that the attempt adds to its engine, and when it is overdue | when the engine is chosen | when `attempt_ended` reports its end |
//! | `ScheduledAttempt` in `scheduling/query_task.rs` | task of the query | engine, number and start time, with which its outcome is reported | on `Command::BeginAttempt` | after its end is reported |
//! | `AttemptInFlight` in `scheduling/query_task/attempt_in_flight.rs` | task of the query | response deadline, commands and events during the exchange with the engine | once the engine's address is known | when the exchange ends |
//! | `AttemptId`, with `OpenAttempt` behind it, in `crates/ledger` | [`Engines`] | the proof that the attempt does not run any more | before the session, once the journal permits the attempt | after the session, also if it panics |
//! | [`EngineSession`] | `Engines::run_attempt` | connection, calls, deadlines | with its ledger entry | once the attempt has ended, or can't be running any more |
//!
//! Two deadlines bound an attempt. After its *response deadline* nobody waits for its response; the engine is told the
//! time that remains until then. After its *send deadline* its request must not be sent any more, because engines
//! detect a repeated query only for a limited time. [`CancellationState`] tells whether the response is still wanted.
//! Every fact about whether the attempt may still run is recorded in the ledger as [`Evidence`].

mod call_timeout;
mod cancel;
mod cancellable_call;
mod engine_call;
mod exchange;
mod pages;
mod polling;
mod start;

use super::connect::EngineConnection;
use super::messages::{
    AttemptEvents, AttemptResult, AttemptStart, CancellationState, ForwardedQuery,
};
use super::request::{page_path, request};
use super::response::CallError;
use super::{EngineTarget, Engines};
use crate::system::budgeted_stream::AbortFlag;
use crate::system::send_gate::SendGate;
use call_timeout::CallTimeout;
use engine_call::EngineCall;
use garnetwall::api::AttemptEnd;
use garnetwall_ledger::{AttemptId, ConnectionId, Evidence, PollSchedule, Proof};
use http::Method;
use pages::FirstPage;
use polling::PollOutcome;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A session with an engine, which makes the calls of one attempt or of one health check. It uses one connection at a
/// time, which no other session shares. A new connection is opened if the last one was closed, its last call failed or
/// was interrupted, or its last response was invalid.
pub(super) struct EngineSession<'a> {
    engines: &'a Engines,
    target: EngineTarget,
    /// The attempt's ledger entry; `None` for a health check.
    ledger_id: Option<AttemptId>,
    /// The open connection, if it has no call in flight.
    connection: Option<EngineConnection>,
    /// Aborts the current connection, or the last one if none is open.
    abort_flag: AbortFlag,
    /// The number of the current connection, or of the last one if none is open.
    connection_id: ConnectionId,
    /// The gate of the request that starts the attempt; `None` for a health check.
    send_gate: Option<Arc<SendGate>>,
    /// The time by which the request must have been sent completely; `None` if that is the response deadline.
    send_deadline: Option<Instant>,
    /// The time after which nobody waits for the response.
    response_deadline: Instant,
    /// Whether the engine may have received the whole request.
    request_may_have_arrived: bool,
    /// Whether the body store failed to return the whole request body. `false` if the client cut the body off.
    stored_body_lost: bool,
    /// Whether rows arrived on a connection after its last reply: that reply was cut by its length, and its rest came
    /// later than the reply itself.
    last_reply_was_cut: bool,
    call_timeout: CallTimeout,
}

impl<'a> EngineSession<'a> {
    /// Creates the session of an attempt of a query.
    pub(super) fn for_attempt(
        engines: &'a Engines,
        target: EngineTarget,
        ledger_id: AttemptId,
        send_gate: SendGate,
        start: &AttemptStart,
    ) -> Self {
        let earlier_send_deadline =
            Some(start.send_deadline).filter(|by| *by < start.response_deadline);
        EngineSession {
            ledger_id: Some(ledger_id),
            send_gate: Some(Arc::new(send_gate)),
            send_deadline: earlier_send_deadline,
            response_deadline: start.response_deadline,
            ..EngineSession::for_health_check(engines, target)
        }
    }

    /// Creates the session of a health check, which has no ledger entry and no deadline of its own.
    pub(super) fn for_health_check(engines: &'a Engines, target: EngineTarget) -> Self {
        let now = Instant::now();
        EngineSession {
            engines,
            target,
            ledger_id: None,
            connection: None,
            abort_flag: AbortFlag::default(),
            connection_id: ConnectionId::default(),
            send_gate: None,
            send_deadline: None,
            response_deadline: now,
            request_may_have_arrived: false,
            stored_body_lost: false,
            last_reply_was_cut: false,
            call_timeout: CallTimeout::new(engines.connect_timeout, now),
        }
    }

    /// Runs the attempt until it has ended, or can't be running any more.
    pub(super) async fn run(
        &mut self,
        query: &ForwardedQuery,
        start: &AttemptStart,
        mut cancellation: watch::Receiver<CancellationState>,
        events: AttemptEvents,
    ) -> AttemptResult {
        let outcome = self
            .poll_until_end(query, start, &mut cancellation, &events)
            .await;
        let end = match outcome {
            PollOutcome::Ended(result) => return result,
            PollOutcome::Succeeded { .. }
                if *cancellation.borrow() == CancellationState::QueryFinished =>
            {
                AttemptEnd::Cancelled
            }
            PollOutcome::Succeeded {
                first_page,
                page_count,
            } => {
                let pages = FirstPage {
                    reply: first_page,
                    page_count,
                };
                return self.fetch_pages(query, pages, &mut cancellation).await;
            }
            PollOutcome::Unknown => {
                let apparent_end = Some(AttemptEnd::ConnectionLost);
                events.unknown_outcome.send_replace(apparent_end);
                self.cancel(query).await;
                AttemptEnd::ConnectionLost
            }
            PollOutcome::CancelRequested => {
                let proof = self.cancel(query).await;
                end_after_cancel(proof, *cancellation.borrow())
            }
        };
        AttemptResult::from_end(end)
    }

    /// Creates a poll of the attempt, or of a page of its result.
    fn poll_call(&self, query: &ForwardedQuery, page: usize) -> EngineCall {
        let path = page_path(query, page);
        EngineCall::poll(request(Method::GET, self.target.address, &path))
    }

    /// The timeout of the response to a poll, counted from when the connection is established.
    fn poll_timeout(&self) -> Duration {
        self.call_timeout.timeout(Instant::now())
    }

    fn poll_schedule(&self) -> PollSchedule {
        PollSchedule::new(
            self.engines.now(),
            self.engines.protocol_limits,
            self.engines.connect_timeout,
        )
    }

    fn record(&self, evidence: Evidence) {
        let Some(id) = self.ledger_id else {
            return;
        };
        let now = self.engines.now();
        self.engines.ledger().record(now, id, evidence);
    }

    /// Whether the attempt may still run, that is, the ledger has no proof that it does not.
    fn may_run(&self) -> bool {
        self.ledger_id
            .is_some_and(|id| self.engines.ledger().may_run_until(id).is_some())
    }

    /// Drops the connection if it carried an invalid response.
    fn drop_connection_if_invalid(&mut self, response: Result<(), CallError>) {
        if response == Err(CallError::InvalidResponse) {
            self.connection = None;
            self.record(Evidence::ConnectionUnusable(self.connection_id));
        }
    }
}

/// The end of a cancelled attempt, derived from the proof that it does not run.
fn end_after_cancel(proof: Proof, cancellation: CancellationState) -> AttemptEnd {
    match (proof, cancellation) {
        // The query finished before the attempt could start, which says nothing about the engine.
        (Proof::NeverReached, CancellationState::QueryFinished | CancellationState::UnlessSent) => {
            AttemptEnd::NotNeeded
        }
        (Proof::NeverReached, _) => AttemptEnd::ConnectFailed,
        _ => AttemptEnd::Cancelled,
    }
}
