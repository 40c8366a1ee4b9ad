//! The way of one dispatch: its start, asking for it, its pages, giving it up.

mod cancel;
mod exchange;
mod pages;
mod polling;
mod response_timeout;
mod start;

use super::call::{AttemptEvents, AttemptResult, AttemptStart, Call, CancellationState};
use super::request::{path, request, Outgoing, Sender};
use super::response::Fault;
use super::{Engines, Target};
use crate::system::budgeted_stream::Abandoned;
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
    pub(super) dispatch: Option<AttemptId>,
    pub(super) sender: Option<Sender>,
    /// Of the connection that is up, or was last.
    pub(super) abandoned: Abandoned,
    /// What its start goes out through; none for a probe.
    pub(super) gate: Option<Arc<SendGate>>,
    /// Its start has come whole by then or is not sent, where that is before its batch's end.
    pub(super) comes_by: Option<Instant>,
    /// Nobody waits for its answer from then on.
    pub(super) until: Instant,
    /// Its start may have come whole.
    pub(super) may_have_come: bool,
    /// Its body could not be read to its end.
    pub(super) unreadable: bool,
    /// The number of the connection that is up, or was last.
    pub(super) connection: Connection,
    /// How long answers are waited for.
    pub(super) patience: ResponseTimeout,
}

/// A body on its way to an engine.
pub(super) struct OutgoingBody {
    reader: Reader,
    length: Option<u64>,
    out: BodySender<Bytes, ReadFault>,
}

impl EngineAttempt<'_> {
    pub(super) async fn live(
        &mut self,
        call: &Call,
        start: AttemptStart,
        mut wishes: watch::Receiver<CancellationState>,
        tidings: AttemptEvents,
    ) -> AttemptResult {
        let told = self
            .poll_until_end(call, start, &mut wishes, &tidings)
            .await;
        let end = match told {
            PollOutcome::Succeeded(..) if *wishes.borrow() == CancellationState::QueryFinished => {
                AttemptEnd::Cancelled
            }
            PollOutcome::Succeeded(first, pages) => {
                return self.fetch_pages(call, first, pages).await
            }
            PollOutcome::Over(ended) => return ended,
            PollOutcome::Unknown => {
                tidings
                    .unknown_outcome
                    .send_replace(Some(AttemptEnd::ConnectionLost));
                self.cancel(call).await;
                AttemptEnd::ConnectionLost
            }
            PollOutcome::Unwanted => match (self.cancel(call).await, *wishes.borrow()) {
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

    fn poll_request(&self, call: &Call, page: usize) -> Request<Outgoing> {
        request(Method::GET, self.target.address, &path(call, Some(page)))
    }

    /// How long news may take once a connection is up.
    fn poll_timeout(&self) -> Duration {
        self.patience.timeout(Instant::now())
    }

    fn tell(&self, fact: Evidence) {
        if let Some(id) = self.dispatch {
            self.engines.ledger().record(self.engines.now(), id, fact);
        }
    }

    /// Whether it is not proved that the dispatch does not run any more.
    fn may_run(&self) -> bool {
        self.dispatch
            .is_some_and(|id| self.engines.ledger().may_run_until(id).is_some())
    }

    fn polling(&self) -> PollSchedule {
        PollSchedule::new(self.engines.now(), self.engines.bounds, self.engines.dial)
    }

    /// A connection that something spoilt came over is of no further use.
    fn drop_if_garbled(&mut self, told: Result<(), Fault>) {
        if told == Err(Fault::Garbled) {
            self.sender = None;
            self.tell(Evidence::ConnectionUnusable(self.connection));
        }
    }
}
