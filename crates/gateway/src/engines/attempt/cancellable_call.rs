//! Calls that end early when their response is no longer wanted.
//!
//! # States of a call
//!
//! | state | waits for | next state |
//! |---|---|---|
//! | wanted | the response | responded |
//! | | a cancellation of any kind, or the send deadline | the gate is told to stop the request that starts the attempt: unwanted if the request is [`Stopped`](StopOutcome::Stopped), sent if it was [`AlreadySent`](StopOutcome::AlreadySent) |
//! | sent | the response | responded |
//! | | a cancellation that forbids polling | unwanted |
//! | unwanted | nothing | interrupted if the request was stopped, or if the call starts the attempt and its query has finished; otherwise grace period |
//! | grace period | the response | responded |
//! | | the end of [`LONG_POLL_LIMIT`], the longest time for which an engine holds a poll back | interrupted |
//! | interrupted | nothing: its connection is aborted | |
//! | responded | nothing: the response is returned to the caller | |
//!
//! A response that has arrived takes precedence over every other event.

use super::engine_call::{CallKind, EngineCall};
use super::EngineSession;
use crate::engines::messages::CancellationState;
use crate::engines::protocol::LONG_POLL_LIMIT;
use crate::engines::response::{CallError, Reply};
use crate::system::send_gate::{SendGate, StopOutcome};
use garnetwall_ledger::Evidence;
use std::future::pending;
use std::time::Instant;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout};

/// The end of a call that a cancellation or a deadline may interrupt.
pub(super) enum CallOutcome {
    /// The call ended by itself, with a response or an error.
    Responded(Result<Reply, CallError>),
    /// The call was interrupted, and its connection is aborted.
    Interrupted,
}

/// The time for which a call still waits for a response that is no longer wanted.
enum GracePeriod {
    /// No time: the call is interrupted at once.
    None,
    /// [`LONG_POLL_LIMIT`], for which an engine may hold a poll back. The response tells whether the attempt runs.
    LongPollLimit,
}

impl EngineSession<'_> {
    /// Makes a call that starts or polls the attempt, and interrupts it once the response is no longer wanted.
    pub(super) async fn call_until_cancelled(
        &mut self,
        call: EngineCall,
        cancellation: &mut watch::Receiver<CancellationState>,
    ) -> CallOutcome {
        let kind = call.kind;
        let time_limit = self.poll_timeout();
        let send_deadline = self.send_deadline;
        let send_gate = self.send_gate.clone();
        let send_gate = send_gate.as_deref();
        let start_request;
        let response = {
            let response = self.call(call, time_limit);
            tokio::pin!(response);
            start_request = tokio::select! {
                biased;
                response = &mut response => return CallOutcome::Responded(response),
                outcome = stop_once_unwanted(cancellation, send_deadline, send_gate) => outcome,
            };
            let cancellation = *cancellation.borrow();
            match grace_period(kind, start_request, cancellation) {
                GracePeriod::None => None,
                GracePeriod::LongPollLimit => timeout(LONG_POLL_LIMIT, response).await.ok(),
            }
        };
        match response {
            Some(response) => CallOutcome::Responded(response),
            None => {
                self.abandon_connection(start_request);
                CallOutcome::Interrupted
            }
        }
    }

    /// Aborts the connection of an interrupted call, whose response would otherwise be taken for that of the next call.
    fn abandon_connection(&mut self, start_request: StopOutcome) {
        self.abort_flag.abort();
        self.connection = None;
        self.record(Evidence::ConnectionUnusable(self.connection_id));
        if start_request == StopOutcome::Stopped {
            self.record(Evidence::NeverReached);
        }
    }
}

/// Waits for a cancellation or the send deadline, then stops the request that starts the attempt. If that request has
/// already been sent, its response is still wanted, so this waits until the attempt must not be polled any more.
async fn stop_once_unwanted(
    cancellation: &mut watch::Receiver<CancellationState>,
    send_deadline: Option<Instant>,
    send_gate: Option<&SendGate>,
) -> StopOutcome {
    // Waiting for a state fails only if the sender is dropped, and the task that owns the sender waits for this call.
    tokio::select! {
        _ = cancellation.wait_for(|state| *state != CancellationState::NotRequested) => {}
        () = until_deadline(send_deadline) => {}
    }
    // Without a gate there is no request to stop.
    let outcome = send_gate.map_or(StopOutcome::AlreadySent, SendGate::stop_unless_complete);
    if outcome == StopOutcome::AlreadySent {
        let _ = cancellation.wait_for(|state| !state.allows_polling()).await;
    }
    outcome
}

async fn until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline.into()).await,
        None => pending().await,
    }
}

/// Chooses the grace period of a call whose response is no longer wanted.
fn grace_period(
    kind: CallKind,
    start_request: StopOutcome,
    cancellation: CancellationState,
) -> GracePeriod {
    if start_request == StopOutcome::Stopped {
        return GracePeriod::None;
    }
    // The system may still hold a part of the request, which would reach the engine after the query's answer. Aborting
    // the connection discards that part.
    if kind == CallKind::Start && cancellation == CancellationState::QueryFinished {
        return GracePeriod::None;
    }
    GracePeriod::LongPollLimit
}
