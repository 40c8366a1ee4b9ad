//! Asks for a dispatch until its end is known, or asking can't tell any more.

use super::{EngineAttempt, StreamedBody};
use crate::engines::call::{AttemptEvents, AttemptResult, AttemptStart, Call, CancellationState};
use crate::engines::request::RequestBody;
use crate::engines::response::{attempt_status, AttemptStatus, CallError, Reply};
use crate::engines::LONG_POLL_LIMIT;
use garnetwall::api::AttemptEnd;
use garnetwall_ledger as ledger;
use garnetwall_ledger::{Evidence, PollSchedule, PollStep};
use http::{Method, Request};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};

/// How asking for a dispatch ends.
pub(super) enum PollOutcome {
    /// A good end: the answer that tells so, and its number of pages.
    Succeeded(Reply, usize),
    Ended(AttemptResult),
    /// Asking can't tell any more.
    Unknown,
    /// Nobody waits for the answer any more.
    CancelRequested,
}

impl EngineAttempt<'_> {
    /// The answer that tells of a good end, and its number of pages; or how it ended otherwise. A start that was
    /// not answered may have come whole all the same, and a good end is given again: asking tells.
    pub(super) async fn poll_until_end(
        &mut self,
        call: &Call,
        start: AttemptStart,
        cancellation: &mut watch::Receiver<CancellationState>,
        events: &AttemptEvents,
    ) -> PollOutcome {
        let mut schedule = self.poll_schedule();
        let Some((mut next, mut body)) = self.start_request(call, &start) else {
            self.record(Evidence::NeverReached);
            return PollOutcome::Ended(AttemptResult::of(AttemptEnd::ConnectFailed));
        };
        let mut started = false;
        loop {
            let Some(response) = self
                .call_until_cancelled(next, body.take(), cancellation)
                .await
            else {
                return PollOutcome::CancelRequested;
            };
            let first = !std::mem::replace(&mut started, true);
            if std::mem::take(&mut self.body_unreadable) {
                // What went on is not whole, so that nothing ran; the batch has no body any more.
                self.record(Evidence::NeverReached);
                return PollOutcome::Ended(AttemptResult::of(AttemptEnd::Failed));
            }
            if first
                && response.is_err()
                && self
                    .send_gate
                    .as_ref()
                    .is_some_and(|gate| gate.is_stopped())
            {
                // It was stopped at its last bytes, before who wished so was heard.
                self.record(Evidence::NeverReached);
                let elsewhere = *cancellation.borrow() == CancellationState::Requested
                    || !self.engines.list().takes(self.target);
                return PollOutcome::Ended(AttemptResult::of(if elsewhere {
                    AttemptEnd::ConnectFailed
                } else {
                    AttemptEnd::NotNeeded
                }));
            }
            if first && response.is_err() && !self.request_may_have_arrived {
                self.record(Evidence::NeverReached);
                let local = matches!(response, Err(CallError::LocalResources));
                return PollOutcome::Ended(AttemptResult::of(if local {
                    AttemptEnd::NotSent
                } else {
                    AttemptEnd::ConnectFailed
                }));
            }
            let checked = match response {
                Ok(reply) => match attempt_status(&reply) {
                    AttemptStatus::Succeeded(pages) => {
                        self.record(Evidence::Ended);
                        return PollOutcome::Succeeded(reply, pages);
                    }
                    AttemptStatus::Ended(end) => {
                        self.record(if first {
                            Evidence::Ended
                        } else {
                            Evidence::ReportedFailed(self.connection)
                        });
                        let end = match ledger::weigh_reported_end(
                            first,
                            end == AttemptEnd::Failed,
                            !self.may_run(),
                        ) {
                            ledger::ReportVerdict::Accepted => end,
                            ledger::ReportVerdict::Interrupted => AttemptEnd::ConnectionLost,
                            ledger::ReportVerdict::Inconclusive => return PollOutcome::Unknown,
                        };
                        return PollOutcome::Ended(AttemptResult {
                            report: reply.report(),
                            ..AttemptResult::of(end)
                        });
                    }
                    AttemptStatus::Running(progress) => {
                        self.record(Evidence::Running(self.connection));
                        if progress.is_some() {
                            events.progress.send_replace(progress);
                        }
                        Ok(())
                    }
                    AttemptStatus::Invalid => Err(CallError::InvalidResponse),
                },
                Err(error) => Err(error),
            };
            if !cancellation.borrow().allows_polling() {
                self.drop_if_invalid(checked);
                return PollOutcome::CancelRequested;
            }
            if !self.wait_for_next_poll(&mut schedule, checked).await {
                return PollOutcome::Unknown;
            }
            next = self.poll_request(call, 0);
        }
    }

    /// One call, which is let end for as long as news is held back where nobody waits for it any more; none where
    /// it has not ended then. A start is not: what the machine has not sent of it, or what has not come, would come after the
    /// batch's answer.
    async fn call_until_cancelled(
        &mut self,
        request: Request<RequestBody>,
        body: Option<StreamedBody>,
        cancellation: &mut watch::Receiver<CancellationState>,
    ) -> Option<Result<Reply, CallError>> {
        let time_limit = self.poll_timeout();
        let is_start = request.method() == Method::POST;
        let gate = self.send_gate.clone();
        let stop_sending = || gate.as_ref().is_some_and(|gate| gate.stop());
        let send_deadline = self.send_deadline;
        let send_deadline_passed = async {
            match send_deadline {
                Some(deadline) => sleep_until(deadline.into()).await,
                None => std::future::pending().await,
            }
        };
        // It fails only with who wished gone, who waits for this.
        let no_longer_wanted = async {
            tokio::select! {
                _ = cancellation.wait_for(|state| *state != CancellationState::NotRequested) => {}
                () = send_deadline_passed => {}
            }
            if !stop_sending() {
                let _ = cancellation.wait_for(|state| !state.allows_polling()).await;
            }
        };
        let response = {
            let calling = self.call(request, body, time_limit, true);
            tokio::pin!(calling);
            tokio::select! {
                biased;
                response = &mut calling => Some(response),
                () = no_longer_wanted => match stop_sending() || is_start && *cancellation.borrow() == CancellationState::QueryFinished {
                    true => None,
                    false => timeout(LONG_POLL_LIMIT, calling).await.ok(),
                },
            }
        };
        if response.is_none() {
            // Whatever comes there yet would be taken for the next call's answer.
            self.abort_flag.abort();
            self.sender = None;
            self.record(Evidence::ConnectionUnusable(self.connection));
            if stop_sending() {
                self.record(Evidence::NeverReached);
            }
        }
        response
    }

    /// After what came of the last call, waits until asking may go on; whether it may.
    pub(super) async fn wait_for_next_poll(
        &mut self,
        schedule: &mut PollSchedule,
        response: Result<(), CallError>,
    ) -> bool {
        let now = self.engines.now();
        let step = match response {
            Ok(()) => schedule.answered(now),
            Err(error) => schedule.failed(now, error.call_failure()),
        };
        self.drop_if_invalid(response);
        match step {
            PollStep::PollAgain(after) => {
                // One that was waited for in vain has taken its time already.
                if !after.is_zero() && response != Err(CallError::TimedOut) {
                    sleep(after).await;
                }
                true
            }
            PollStep::Stop => false,
        }
    }
}
