//! Polls an attempt until its end is known, further polls can't determine it, or its cancellation is requested.

use super::cancellable_call::CallOutcome;
use super::EngineSession;
use crate::engines::messages::{
    AttemptEvents, AttemptResult, AttemptStart, CancellationState, ForwardedQuery,
};
use crate::engines::response::{attempt_status, AttemptStatus, CallError, Reply};
use garnetwall::api::AttemptEnd;
use garnetwall_ledger::{Evidence, PollSchedule, PollStep, ReportVerdict, ReportedEnd};
use std::ops::ControlFlow;
use tokio::sync::watch;
use tokio::time::sleep;

/// The result of polling an attempt.
pub(super) enum PollOutcome {
    /// The attempt has succeeded and has a result.
    Succeeded {
        /// The response that reports the success. Its body is the first page.
        first_page: Reply,
        page_count: usize,
    },
    /// The attempt has ended without a result.
    Ended(AttemptResult),
    /// Further polls can't determine the outcome.
    Unknown,
    /// The response is no longer wanted, and the attempt has to be cancelled.
    CancelRequested,
}

impl PollOutcome {
    fn ended(end: AttemptEnd) -> Self {
        PollOutcome::Ended(AttemptResult::from_end(end))
    }
}

/// Whether an attempt is polled again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextPoll {
    /// The next poll is due now.
    Due,
    /// Further polls can't determine the outcome.
    Stop,
}

/// The kind of request that a response answers: the one that starts the attempt, or a later poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseTo {
    Start,
    Poll,
}

impl EngineSession<'_> {
    /// Sends the request and polls the attempt. A request that got no response may still have arrived, so the attempt
    /// is polled in this case, too. If the response that reported a success was lost, the engine repeats it at the next
    /// poll.
    pub(super) async fn poll_until_end(
        &mut self,
        query: &ForwardedQuery,
        start: &AttemptStart,
        cancellation: &mut watch::Receiver<CancellationState>,
        events: &AttemptEvents,
    ) -> PollOutcome {
        let mut schedule = self.poll_schedule();
        let mut response = match self.send_start(query, start, cancellation).await {
            ControlFlow::Break(outcome) => return outcome,
            ControlFlow::Continue(response) => response,
        };
        let mut response_to = ResponseTo::Start;
        loop {
            let checked = match self.process_response(response, response_to, events) {
                ControlFlow::Break(outcome) => return outcome,
                ControlFlow::Continue(checked) => checked,
            };
            if !cancellation.borrow().allows_polling() {
                self.drop_connection_if_invalid(checked);
                return PollOutcome::CancelRequested;
            }
            let next_poll = self.wait_for_next_poll(&mut schedule, checked).await;
            if next_poll == NextPoll::Stop {
                return PollOutcome::Unknown;
            }
            let poll = self.poll_call(query, 0);
            response = match self.call_until_cancelled(poll, cancellation).await {
                CallOutcome::Responded(response) => response,
                CallOutcome::Interrupted => return PollOutcome::CancelRequested,
            };
            response_to = ResponseTo::Poll;
        }
    }

    /// Sends the request that starts the attempt. Breaks with the outcome if the request has not arrived or the call
    /// was interrupted, otherwise continues with the response.
    async fn send_start(
        &mut self,
        query: &ForwardedQuery,
        start: &AttemptStart,
        cancellation: &mut watch::Receiver<CancellationState>,
    ) -> ControlFlow<PollOutcome, Result<Reply, CallError>> {
        let Some(call) = self.start_call(query, start) else {
            return ControlFlow::Break(self.never_reached(AttemptEnd::ConnectFailed));
        };
        let outcome = self.call_until_cancelled(call, cancellation).await;
        let CallOutcome::Responded(response) = outcome else {
            return ControlFlow::Break(PollOutcome::CancelRequested);
        };
        let cancellation = *cancellation.borrow();
        match self.end_before_arrival(&response, cancellation) {
            Some(end) => ControlFlow::Break(self.never_reached(end)),
            None => ControlFlow::Continue(response),
        }
    }

    /// Ends an attempt whose request has not arrived completely and can't arrive any more.
    fn never_reached(&self, end: AttemptEnd) -> PollOutcome {
        self.record(Evidence::NeverReached);
        PollOutcome::ended(end)
    }

    /// The end of an attempt whose request has not arrived completely; `None` if the request may have arrived.
    fn end_before_arrival(
        &self,
        response: &Result<Reply, CallError>,
        cancellation: CancellationState,
    ) -> Option<AttemptEnd> {
        if self.stored_body_lost {
            // The body is lost for any further attempt, too.
            return Some(AttemptEnd::Failed);
        }
        let error = response.as_ref().err()?;
        let gate = self.send_gate.as_ref();
        if gate.is_some_and(|gate| gate.is_stopped()) {
            return Some(self.end_after_stopped_request(cancellation));
        }
        if self.request_may_have_arrived {
            return None;
        }
        match error {
            CallError::LocalResources => Some(AttemptEnd::NotSent),
            _ => Some(AttemptEnd::ConnectFailed),
        }
    }

    /// The end of an attempt whose request was stopped by the gate before the task noticed the cause. The query is
    /// tried at another engine if it is still wanted, that is, if only this attempt was cancelled or the engine does
    /// not accept new attempts.
    fn end_after_stopped_request(&self, cancellation: CancellationState) -> AttemptEnd {
        let is_query_wanted = cancellation == CancellationState::Requested
            || !self.engines.list().accepts_attempts(self.target);
        if is_query_wanted {
            AttemptEnd::ConnectFailed
        } else {
            AttemptEnd::NotNeeded
        }
    }

    /// Records the evidence that a response gives. Breaks with the outcome if the response ends the attempt, otherwise
    /// continues with whether the response was valid.
    fn process_response(
        &mut self,
        response: Result<Reply, CallError>,
        response_to: ResponseTo,
        events: &AttemptEvents,
    ) -> ControlFlow<PollOutcome, Result<(), CallError>> {
        let reply = match response {
            Ok(reply) => reply,
            Err(error) => return ControlFlow::Continue(Err(error)),
        };
        match attempt_status(&reply) {
            AttemptStatus::Succeeded { page_count } => {
                self.record(Evidence::Ended);
                ControlFlow::Break(PollOutcome::Succeeded {
                    first_page: reply,
                    page_count,
                })
            }
            AttemptStatus::Ended(end) => {
                ControlFlow::Break(self.process_reported_end(&reply, end, response_to))
            }
            AttemptStatus::Running(progress) => {
                self.record(Evidence::Running(self.connection_id));
                if progress.is_some() {
                    events.progress.send_replace(progress);
                }
                ControlFlow::Continue(Ok(()))
            }
            AttemptStatus::Invalid => ControlFlow::Continue(Err(CallError::InvalidResponse)),
        }
    }

    /// Handles an engine's report that the attempt has ended without a result. The process that answers a poll may not
    /// be the one that runs the attempt, so its report alone does not prove the end.
    fn process_reported_end(
        &self,
        reply: &Reply,
        reported: AttemptEnd,
        response_to: ResponseTo,
    ) -> PollOutcome {
        let answers_start = response_to == ResponseTo::Start;
        let evidence = match response_to {
            ResponseTo::Start => Evidence::Ended,
            ResponseTo::Poll => Evidence::ReportedFailed(self.connection_id),
        };
        self.record(evidence);
        let reported_end = ReportedEnd {
            answers_start,
            is_failure: reported == AttemptEnd::Failed,
        };
        let end = match reported_end.evaluate(!self.may_run()) {
            ReportVerdict::Accepted => reported,
            ReportVerdict::Interrupted => AttemptEnd::ConnectionLost,
            ReportVerdict::Inconclusive => return PollOutcome::Unknown,
        };
        PollOutcome::Ended(AttemptResult {
            report: reply.load_report(),
            ..AttemptResult::from_end(end)
        })
    }

    /// Waits after a call until the next poll is due. `response` is the result of that call.
    pub(super) async fn wait_for_next_poll(
        &mut self,
        schedule: &mut PollSchedule,
        response: Result<(), CallError>,
    ) -> NextPoll {
        let now = self.engines.now();
        let step = match response {
            Ok(()) => schedule.answered(now),
            Err(error) => schedule.failed(now, error.into()),
        };
        self.drop_connection_if_invalid(response);
        let PollStep::PollAgain(pause) = step else {
            return NextPoll::Stop;
        };
        // A call that timed out has taken at least as long as the pause.
        let has_waited = response == Err(CallError::TimedOut);
        if !pause.is_zero() && !has_waited {
            sleep(pause).await;
        }
        NextPoll::Due
    }
}
