//! Asks for a dispatch until its end is known, or asking can't tell any more.

use super::{EngineAttempt, OutgoingBody};
use crate::engines::call::{AttemptEvents, AttemptResult, AttemptStart, Call, CancellationState};
use crate::engines::request::Outgoing;
use crate::engines::response::{news, Fault, News, Reply};
use crate::engines::NEWS;
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
    Over(AttemptResult),
    /// Asking can't tell any more.
    Unknown,
    /// Nobody waits for the answer any more.
    Unwanted,
}

impl EngineAttempt<'_> {
    /// The answer that tells of a good end, and its number of pages; or how it ended otherwise. A start that was
    /// not answered may have come whole all the same, and a good end is given again: asking tells.
    pub(super) async fn poll_until_end(
        &mut self,
        call: &Call,
        start: AttemptStart,
        wishes: &mut watch::Receiver<CancellationState>,
        tidings: &AttemptEvents,
    ) -> PollOutcome {
        let mut asking = self.polling();
        let Some((mut next, mut feed)) = self.start_request(call, &start) else {
            self.tell(Evidence::NeverReached);
            return PollOutcome::Over(AttemptResult::of(AttemptEnd::ConnectFailed));
        };
        let mut started = false;
        loop {
            let Some(answer) = self.call_while_wanted(next, feed.take(), wishes).await else {
                return PollOutcome::Unwanted;
            };
            let first = !std::mem::replace(&mut started, true);
            if std::mem::take(&mut self.unreadable) {
                // What went on is not whole, so that nothing ran; the batch has no body any more.
                self.tell(Evidence::NeverReached);
                return PollOutcome::Over(AttemptResult::of(AttemptEnd::Failed));
            }
            if first && answer.is_err() && self.gate.as_ref().is_some_and(|gate| gate.is_stopped())
            {
                // It was stopped at its last bytes, before who wished so was heard.
                self.tell(Evidence::NeverReached);
                let elsewhere = *wishes.borrow() == CancellationState::Requested
                    || !self.engines.list().accepts_attempts(self.target);
                return PollOutcome::Over(AttemptResult::of(if elsewhere {
                    AttemptEnd::ConnectFailed
                } else {
                    AttemptEnd::NotNeeded
                }));
            }
            if first && answer.is_err() && !self.may_have_come {
                self.tell(Evidence::NeverReached);
                let local = matches!(answer, Err(Fault::Local));
                return PollOutcome::Over(AttemptResult::of(if local {
                    AttemptEnd::NotSent
                } else {
                    AttemptEnd::ConnectFailed
                }));
            }
            let told = match answer {
                Ok(reply) => match news(&reply) {
                    News::Good(pages) => {
                        self.tell(Evidence::Ended);
                        return PollOutcome::Succeeded(reply, pages);
                    }
                    News::Over(end) => {
                        self.tell(if first {
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
                        return PollOutcome::Over(AttemptResult {
                            report: reply.report(),
                            ..AttemptResult::of(end)
                        });
                    }
                    News::NotYet(note) => {
                        self.tell(Evidence::Running(self.connection));
                        if note.is_some() {
                            tidings.progress.send_replace(note);
                        }
                        Ok(())
                    }
                    News::Garbled => Err(Fault::Garbled),
                },
                Err(fault) => Err(fault),
            };
            if !wishes.borrow().asks() {
                self.drop_if_garbled(told);
                return PollOutcome::Unwanted;
            }
            if !self.wait_for_next_poll(&mut asking, told).await {
                return PollOutcome::Unknown;
            }
            next = self.poll_request(call, 0);
        }
    }

    /// One call, which is let end for as long as news is held back where nobody waits for it any more; none where
    /// it has not ended then. A start is not: what the machine has not sent of it, or what has not come, would come after the
    /// batch's answer.
    async fn call_while_wanted(
        &mut self,
        request: Request<Outgoing>,
        feed: Option<OutgoingBody>,
        wishes: &mut watch::Receiver<CancellationState>,
    ) -> Option<Result<Reply, Fault>> {
        let within = self.poll_timeout();
        let is_start = request.method() == Method::POST;
        let gate = self.gate.clone();
        let stops = || gate.as_ref().is_some_and(|gate| gate.stop());
        let comes_by = self.comes_by;
        let too_late = async {
            match comes_by {
                Some(by) => sleep_until(by.into()).await,
                None => std::future::pending().await,
            }
        };
        // It fails only with who wished gone, who waits for this.
        let unwanted = async {
            tokio::select! {
                _ = wishes.wait_for(|wish| *wish != CancellationState::NotRequested) => {}
                () = too_late => {}
            }
            if !stops() {
                let _ = wishes.wait_for(|wish| !wish.asks()).await;
            }
        };
        let answer = {
            let calling = self.call(request, feed, within, true);
            tokio::pin!(calling);
            tokio::select! {
                biased;
                answer = &mut calling => Some(answer),
                () = unwanted => match stops() || is_start && *wishes.borrow() == CancellationState::QueryFinished {
                    true => None,
                    false => timeout(NEWS, calling).await.ok(),
                },
            }
        };
        if answer.is_none() {
            // Whatever comes there yet would be taken for the next call's answer.
            self.abandoned.set();
            self.sender = None;
            self.tell(Evidence::ConnectionUnusable(self.connection));
            if stops() {
                self.tell(Evidence::NeverReached);
            }
        }
        answer
    }

    /// After what came of the last call, waits until asking may go on; whether it may.
    pub(super) async fn wait_for_next_poll(
        &mut self,
        asking: &mut PollSchedule,
        told: Result<(), Fault>,
    ) -> bool {
        let now = self.engines.now();
        let step = match told {
            Ok(()) => asking.answered(now),
            Err(fault) => asking.failed(now, fault.lost()),
        };
        self.drop_if_garbled(told);
        match step {
            PollStep::PollAgain(after) => {
                // One that was waited for in vain has taken its time already.
                if !after.is_zero() && told != Err(Fault::Silent) {
                    sleep(after).await;
                }
                true
            }
            PollStep::Stop => false,
        }
    }
}
