//! The lifecycle of one attempt at an engine: request, polls, pages of the result, cancellation.
//!
//! | state | where | next state |
//! |---|---|---|
//! | connecting | `exchange::ready_connection` | request being sent; ended `ConnectFailed` or `NotSent` where no connection comes up |
//! | request being sent | `exchange::send_streamed`, `start`, the [`SendGate`] | running; ended `NotNeeded` or `ConnectFailed` where the gate stops it, `Failed` where its body can't be read |
//! | running, polled | `polling::poll_until_end` | fetching pages; ended as the engine reports, or `Cancelled` where its query was answered before its result came; cancelling where cancellation is requested or polls can't tell the outcome |
//! | fetching pages | `pages::fetch_pages` | ended `Succeeded`, `Failed` where the engine has lost a page, `ConnectionLost` where polls can't tell |
//! | cancelling | `cancel::cancel` | ended once the ledger has a proof that the attempt does not run: `Cancelled`, `NotNeeded`, `ConnectFailed`, or `ConnectionLost` after an unknown outcome |
//! | ended | [`AttemptResult`] | |
//!
//! Five types stand for one attempt, each for what its owner has to know:
//!
//! | type | owner | what it is for | created | dropped |
//! |---|---|---|---|---|
//! | `Attempt` in `src/controller/attempt_state.rs` | decision module, in the state of the query | the load that the engine counts for it, and when it is overdue | as the engine is chosen | as `attempt_ended` reports its end |
//! | `ScheduledAttempt` in `scheduling/query_task.rs` | task of the query | engine, number and start, with which its outcome is reported | on `Command::BeginAttempt` | once its end is reported |
//! | `AttemptInFlight` in `scheduling/query_task/attempt_in_flight.rs` | task of the query | response deadline, commands and events beside the exchange with the engine | once the engine's address is known | as the exchange ends |
//! | `AttemptId`, and `OpenAttempt` behind it, in `crates/ledger` | [`Engines`] | the proof that it does not run any more | before the session, once the journal allows the attempt | after the session |
//! | [`EngineSession`] | `Engines::run_attempt` | connection, calls, deadlines | with its ledger entry | once it has ended, or can't be running any more |
//!
//! Two deadlines bound an attempt. From its *response deadline* on nobody waits for its response; the engine is told the
//! time that remains until then. By its *send deadline* its request has been sent completely or is not sent: engines
//! detect a repeated query only within a limited time. [`CancellationState`] says what is still wanted of it; all facts
//! that say whether it may still run go to the ledger as [`Evidence`].

mod call_timeout;
mod cancel;
mod cancellable_call;
mod engine_call;
mod exchange;
mod pages;
mod polling;
mod start;

use super::messages::{
    AttemptEvents, AttemptResult, AttemptStart, CancellationState, ForwardedQuery,
};
use super::request::{page_path, request, Sender};
use super::response::CallError;
use super::{Engines, Target};
use crate::system::budgeted_stream::AbortFlag;
use crate::system::send_gate::SendGate;
use call_timeout::CallTimeout;
use engine_call::EngineCall;
use garnetwall::api::AttemptEnd;
use garnetwall_ledger::{AttemptId, ConnectionId, Evidence, PollSchedule, Proof};
use http::Method;
use polling::PollOutcome;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The calls of one attempt, or of one health check, to its engine. It has one connection at a time, which no other session
/// uses and which is replaced once it is lost or has carried what can't be read.
pub(super) struct EngineSession<'a> {
    engines: &'a Engines,
    target: Target,
    /// None for a health check.
    ledger_id: Option<AttemptId>,
    /// The connection that is up and has no call in flight.
    sender: Option<Sender>,
    /// Aborts the connection that is up, or was last.
    abort_flag: AbortFlag,
    /// The number of the connection that is up, or was last.
    connection_id: ConnectionId,
    /// The gate of the request that starts the attempt; none for a health check.
    send_gate: Option<Arc<SendGate>>,
    /// By when the request has been sent completely or is not sent; none where that is the response deadline.
    send_deadline: Option<Instant>,
    /// From when on nobody waits for the response.
    response_deadline: Instant,
    /// The engine may have received the request completely.
    request_may_have_arrived: bool,
    /// The body store could not give back the request's body to its end; not set where the client cut the body off.
    stored_body_lost: bool,
    call_timeout: CallTimeout,
}

impl<'a> EngineSession<'a> {
    /// The session of an attempt of a query.
    pub(super) fn for_attempt(
        engines: &'a Engines,
        target: Target,
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

    /// The session of a health check, which is in no ledger and has no deadline of its own.
    pub(super) fn for_health_check(engines: &'a Engines, target: Target) -> Self {
        let now = Instant::now();
        EngineSession {
            engines,
            target,
            ledger_id: None,
            sender: None,
            abort_flag: AbortFlag::default(),
            connection_id: ConnectionId::default(),
            send_gate: None,
            send_deadline: None,
            response_deadline: now,
            request_may_have_arrived: false,
            stored_body_lost: false,
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
            } => return self.fetch_pages(query, first_page, page_count).await,
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
        AttemptResult::of(end)
    }

    /// A poll of the attempt, or of a page of its result.
    fn poll_call(&self, query: &ForwardedQuery, page: usize) -> EngineCall {
        let path = page_path(query, page);
        EngineCall::poll(request(Method::GET, self.target.address, &path))
    }

    /// How long the response to a poll is waited for, once a connection is up.
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

    /// Whether the ledger lacks a proof that the attempt does not run any more.
    fn may_run(&self) -> bool {
        self.ledger_id
            .is_some_and(|id| self.engines.ledger().may_run_until(id).is_some())
    }

    /// Gives up a connection that carried an invalid response.
    fn drop_connection_if_invalid(&mut self, response: Result<(), CallError>) {
        if response == Err(CallError::InvalidResponse) {
            self.sender = None;
            self.record(Evidence::ConnectionUnusable(self.connection_id));
        }
    }
}

/// How a cancelled attempt ended, by the proof that it does not run.
fn end_after_cancel(proof: Proof, cancellation: CancellationState) -> AttemptEnd {
    match (proof, cancellation) {
        // The query was over before the attempt could start: that says nothing of the engine.
        (Proof::NeverReached, CancellationState::QueryFinished | CancellationState::UnlessSent) => {
            AttemptEnd::NotNeeded
        }
        (Proof::NeverReached, _) => AttemptEnd::ConnectFailed,
        _ => AttemptEnd::Cancelled,
    }
}
