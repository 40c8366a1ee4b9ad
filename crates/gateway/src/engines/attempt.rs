//! The way of one dispatch: its start, asking for it, its pages, giving it up.

mod cancel;
mod exchange;
mod pages;
mod polling;
mod response_timeout;
mod start;

use super::call::{AttemptEvents, AttemptResult, AttemptStart, Call, CancellationState};
use super::request::{path, request, RequestBody, Sender};
use super::response::CallError;
use super::{Engines, Target};
use crate::system::budgeted_stream::AbortFlag;
use crate::system::send_gate::SendGate;
use bytes::Bytes;
use garnetwall::api::AttemptEnd;
use garnetwall_bodies::body::ReadFault;
use garnetwall_bodies::Reader;
use garnetwall_ledger as ledger;
use garnetwall_ledger::{AttemptId, Connection, Evidence, PollSchedule};
use http::{Method, Request};
use http_body_util::channel::Sender as BodySender;
use polling::PollOutcome;
pub(super) use response_timeout::ResponseTimeout;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The way of one dispatch to its engine: a connection at a time, used by no other batch and given up with
/// whatever was spoilt on it.
pub(super) struct EngineAttempt<'a> {
    pub(super) engines: &'a Engines,
    pub(super) target: Target,
    /// None for a probe.
    pub(super) ledger_id: Option<AttemptId>,
    pub(super) sender: Option<Sender>,
    /// Of the connection that is up, or was last.
    pub(super) abort_flag: AbortFlag,
    /// What its start goes out through; none for a probe.
    pub(super) send_gate: Option<Arc<SendGate>>,
    /// Its start has come whole by then or is not sent, where that is before its batch's end.
    pub(super) send_deadline: Option<Instant>,
    /// Nobody waits for its answer from then on.
    pub(super) response_deadline: Instant,
    /// Its start may have come whole.
    pub(super) request_may_have_arrived: bool,
    /// Its body could not be read to its end.
    pub(super) body_unreadable: bool,
    /// The number of the connection that is up, or was last.
    pub(super) connection: Connection,
    /// How long answers are waited for.
    pub(super) response_timeout: ResponseTimeout,
}

/// A body on its way to an engine.
pub(super) struct StreamedBody {
    reader: Reader,
    length: Option<u64>,
    sender: BodySender<Bytes, ReadFault>,
}

impl EngineAttempt<'_> {
    pub(super) async fn run(
        &mut self,
        call: &Call,
        start: AttemptStart,
        mut cancellation: watch::Receiver<CancellationState>,
        events: AttemptEvents,
    ) -> AttemptResult {
        let outcome = self
            .poll_until_end(call, start, &mut cancellation, &events)
            .await;
        let end = match outcome {
            PollOutcome::Succeeded(..)
                if *cancellation.borrow() == CancellationState::QueryFinished =>
            {
                AttemptEnd::Cancelled
            }
            PollOutcome::Succeeded(first_page, pages) => {
                return self.fetch_pages(call, first_page, pages).await
            }
            PollOutcome::Ended(ended) => return ended,
            PollOutcome::Unknown => {
                events
                    .unknown_outcome
                    .send_replace(Some(AttemptEnd::ConnectionLost));
                self.cancel(call).await;
                AttemptEnd::ConnectionLost
            }
            PollOutcome::CancelRequested => match (self.cancel(call).await, *cancellation.borrow())
            {
                // Its batch was over before it could be started: that says nothing of the engine.
                (
                    ledger::Proof::NeverReached,
                    CancellationState::QueryFinished | CancellationState::IfNotStarted,
                ) => AttemptEnd::NotNeeded,
                (ledger::Proof::NeverReached, _) => AttemptEnd::ConnectFailed,
                _ => AttemptEnd::Cancelled,
            },
        };
        AttemptResult::of(end)
    }

    fn poll_request(&self, call: &Call, page: usize) -> Request<RequestBody> {
        request(Method::GET, self.target.address, &path(call, Some(page)))
    }

    /// How long news may take once a connection is up.
    fn poll_timeout(&self) -> Duration {
        self.response_timeout.timeout(Instant::now())
    }

    fn record(&self, evidence: Evidence) {
        if let Some(id) = self.ledger_id {
            self.engines
                .ledger()
                .record(self.engines.now(), id, evidence);
        }
    }

    /// Whether it is not proved that the dispatch does not run any more.
    fn may_run(&self) -> bool {
        self.ledger_id
            .is_some_and(|id| self.engines.ledger().may_run_until(id).is_some())
    }

    fn poll_schedule(&self) -> PollSchedule {
        PollSchedule::new(
            self.engines.now(),
            self.engines.bounds,
            self.engines.connect_timeout,
        )
    }

    /// A connection that something spoilt came over is of no further use.
    fn drop_if_invalid(&mut self, response: Result<(), CallError>) {
        if response == Err(CallError::InvalidResponse) {
            self.sender = None;
            self.record(Evidence::ConnectionUnusable(self.connection));
        }
    }
}
