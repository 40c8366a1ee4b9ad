//! Calls that end early once nobody waits for their response any more.

use super::exchange::CallKind;
use super::start::StreamedBody;
use super::EngineAttempt;
use crate::engines::call::CancellationState;
use crate::engines::protocol::LONG_POLL_LIMIT;
use crate::engines::request::RequestBody;
use crate::engines::response::{CallError, Reply};
use crate::system::send_gate::SendGate;
use garnetwall_ledger::Evidence;
use http::Request;
use std::future::pending;
use std::time::Instant;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout};

impl EngineAttempt<'_> {
    /// Sends the request that starts the attempt; none where it was interrupted.
    pub(super) async fn start_until_cancelled(
        &mut self,
        request: Request<RequestBody>,
        body: Option<StreamedBody>,
        cancellation: &mut watch::Receiver<CancellationState>,
    ) -> Option<Result<Reply, CallError>> {
        self.call_until_cancelled(CallKind::Start, request, body, cancellation)
            .await
    }

    /// Polls the attempt; none where the poll was interrupted.
    pub(super) async fn poll_until_cancelled(
        &mut self,
        request: Request<RequestBody>,
        cancellation: &mut watch::Receiver<CancellationState>,
    ) -> Option<Result<Reply, CallError>> {
        self.call_until_cancelled(CallKind::Poll, request, None, cancellation)
            .await
    }

    /// One call. Once its response is no longer wanted, it gets as long as an engine may hold a poll back, then it is
    /// interrupted. A request that starts the attempt is interrupted at once where part of it has not been sent, or where
    /// the query has finished: what is still on its way would otherwise arrive after the query's answer.
    async fn call_until_cancelled(
        &mut self,
        kind: CallKind,
        request: Request<RequestBody>,
        body: Option<StreamedBody>,
        cancellation: &mut watch::Receiver<CancellationState>,
    ) -> Option<Result<Reply, CallError>> {
        let time_limit = self.poll_timeout();
        let send_deadline = self.send_deadline;
        let gate = self.send_gate.clone();
        let gate = gate.as_deref();
        let response = {
            let calling = self.call(kind, request, body, time_limit);
            tokio::pin!(calling);
            tokio::select! {
                biased;
                response = &mut calling => return Some(response),
                () = until_unwanted(cancellation, send_deadline, gate) => {}
            }
            let is_query_finished = *cancellation.borrow() == CancellationState::QueryFinished;
            let interrupt_now = stop_sending(gate) || kind == CallKind::Start && is_query_finished;
            if interrupt_now {
                None
            } else {
                timeout(LONG_POLL_LIMIT, calling).await.ok()
            }
        };
        if response.is_none() {
            self.abandon_connection(stop_sending(gate));
        }
        response
    }

    /// Gives up the connection of an interrupted call: its response would be taken for that of the next call.
    fn abandon_connection(&mut self, request_stopped: bool) {
        self.abort_flag.abort();
        self.sender = None;
        self.record(Evidence::ConnectionUnusable(self.connection));
        if request_stopped {
            self.record(Evidence::NeverReached);
        }
    }
}

/// Waits until the response is no longer wanted: the request was stopped before it was sent completely, or the attempt
/// is not to be polled any more.
async fn until_unwanted(
    cancellation: &mut watch::Receiver<CancellationState>,
    send_deadline: Option<Instant>,
    gate: Option<&SendGate>,
) {
    // The waits for a state fail only once the sender is dropped, by the task that waits for this call.
    tokio::select! {
        _ = cancellation.wait_for(|state| *state != CancellationState::NotRequested) => {}
        () = until_deadline(send_deadline) => {}
    }
    if stop_sending(gate) {
        return;
    }
    let _ = cancellation.wait_for(|state| !state.allows_polling()).await;
}

async fn until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline.into()).await,
        None => pending().await,
    }
}

/// Stops the request that starts the attempt unless it has been sent completely; whether it was stopped.
fn stop_sending(gate: Option<&SendGate>) -> bool {
    gate.is_some_and(SendGate::stop)
}
