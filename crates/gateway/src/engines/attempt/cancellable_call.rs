//! Calls that end early once nobody waits for their response any more.
//!
//! # States of a call
//!
//! | state | waits for | next state |
//! |---|---|---|
//! | wanted | the response | responded |
//! | | a cancellation of any kind, or the send deadline | the gate is told to stop the request that starts the attempt: unwanted where it is [`Stopped`](StopOutcome::Stopped), sent where it was [`AlreadySent`](StopOutcome::AlreadySent) |
//! | sent | the response | responded |
//! | | a cancellation that forbids polling | unwanted |
//! | unwanted | nothing | interrupted where the request was stopped, or where the call starts the attempt and its query has finished; otherwise last wait |
//! | last wait | the response | responded |
//! | | [`LONG_POLL_LIMIT`], the longest that an engine holds a poll back | interrupted |
//! | interrupted | nothing: its connection is aborted | |
//! | responded | nothing: the response goes to the caller | |
//!
//! A response that has come goes before all else.

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

/// How a call ended that a cancellation or a deadline may interrupt.
pub(super) enum CallOutcome {
    /// The call ended by itself, with a response or an error.
    Responded(Result<Reply, CallError>),
    /// It was interrupted, and its connection is aborted.
    Interrupted,
}

/// How long the response is waited for once it is no longer wanted.
enum LastWait {
    /// The call is interrupted at once.
    None,
    /// As long as an engine may hold a poll back: what it says tells whether the attempt runs.
    LongPollLimit,
}

impl EngineSession<'_> {
    /// Starts or polls the attempt, until nobody waits for the response any more.
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
            match last_wait(kind, start_request, cancellation) {
                LastWait::None => None,
                LastWait::LongPollLimit => timeout(LONG_POLL_LIMIT, response).await.ok(),
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

    /// Gives up the connection of an interrupted call: its response would be taken for that of the next call.
    fn abandon_connection(&mut self, start_request: StopOutcome) {
        self.abort_flag.abort();
        self.sender = None;
        self.record(Evidence::ConnectionUnusable(self.connection_id));
        if start_request == StopOutcome::Stopped {
            self.record(Evidence::NeverReached);
        }
    }
}

/// Waits for a cancellation or the send deadline, then stops the request that starts the attempt. Where that had been sent
/// before, its response stays wanted: waits on until the attempt is not to be polled any more.
async fn stop_once_unwanted(
    cancellation: &mut watch::Receiver<CancellationState>,
    send_deadline: Option<Instant>,
    send_gate: Option<&SendGate>,
) -> StopOutcome {
    // The waits for a state fail only once the sender is dropped, by the task that waits for this call.
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

/// How long an unwanted call still waits for its response.
fn last_wait(
    kind: CallKind,
    start_request: StopOutcome,
    cancellation: CancellationState,
) -> LastWait {
    if start_request == StopOutcome::Stopped {
        return LastWait::None;
    }
    // What of the request is still on its way would arrive after the query's answer.
    if kind == CallKind::Start && cancellation == CancellationState::QueryFinished {
        return LastWait::None;
    }
    LastWait::LongPollLimit
}
