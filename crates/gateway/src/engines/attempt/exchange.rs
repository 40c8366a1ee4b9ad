//! One call and its answer, on a connection that is up or comes up.

use super::{EngineAttempt, OutgoingBody};
use crate::engines::request::{Outgoing, Sender};
use crate::engines::response::{exchange, Fault, Reply};
use garnetwall_bodies::body::ReadFault;
use garnetwall_ledger::Evidence;
use http::{Method, Request};
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::time::timeout;

impl EngineAttempt<'_> {
    /// One call, on a connection that is up or comes up within its own bound. `asks` for one that keeps its dispatch
    /// running.
    pub(in crate::engines) async fn call(
        &mut self,
        request: Request<Outgoing>,
        feed: Option<OutgoingBody>,
        within: Duration,
        asks: bool,
    ) -> Result<Reply, Fault> {
        let answer = self.call_on_connection(request, feed, within, asks).await;
        match answer {
            Ok(_) => {}
            Err(Fault::Silent) => self.patience.missed(),
            Err(_) => self.patience.failed(),
        }
        self.engines.heard(self.target, answer.as_ref().err());
        match answer {
            Err(Fault::Refused) => self.tell(Evidence::ConnectionRefused),
            Err(Fault::Broken) => self.tell(Evidence::ConnectionLost(self.connection)),
            Err(Fault::Silent | Fault::Garbled) => {
                self.abandoned.set();
                self.tell(Evidence::ConnectionUnusable(self.connection));
            }
            Err(Fault::Unconnected | Fault::Local) | Ok(_) => {}
        }
        answer
    }

    async fn call_on_connection(
        &mut self,
        mut request: Request<Outgoing>,
        feed: Option<OutgoingBody>,
        within: Duration,
        asks: bool,
    ) -> Result<Reply, Fault> {
        let is_start = request.method() == Method::POST;
        let up = self.sender.take();
        if up.as_ref().is_some_and(|sender| sender.is_closed()) {
            self.tell(Evidence::ConnectionLost(self.connection));
        }
        let mut sender = match up.filter(|s| !s.is_closed()) {
            Some(sender) => sender,
            None => {
                self.connection += 1;
                let gate = self.gate.clone().filter(|_| is_start);
                let (sender, abandoned) = self.engines.connect(self.target.address, gate).await?;
                self.abandoned = abandoned;
                sender
            }
        };
        if is_start {
            self.stamp_deadline(&mut request);
        }
        if let Some(gate) = &self.gate {
            if is_start {
                gate.begins();
            } else {
                gate.passed();
            }
        }
        let Some(feed) = feed else {
            if asks {
                self.sent_whole();
            }
            let answer = self.awaited(within, exchange(&mut sender, request)).await;
            self.sender = answer.is_ok().then_some(sender);
            return answer;
        };
        let answer = self.streamed(&mut sender, request, feed, within).await;
        // What was not sent to its end leaves a connection of no use.
        self.sender = (answer.is_ok() && self.may_have_come).then_some(sender);
        answer
    }

    /// An answer that is waited for so long, and how long it took for those after it.
    async fn awaited(
        &mut self,
        within: Duration,
        answer: impl Future<Output = Result<Reply, Fault>>,
    ) -> Result<Reply, Fault> {
        let began = Instant::now();
        let answer = timeout(within, answer).await.unwrap_or(Err(Fault::Silent));
        if answer.is_ok() {
            self.patience.answered(Instant::now(), began.elapsed());
        }
        answer
    }

    /// A start whose body goes on as it comes. It takes as long as the body, which its batch's limit bounds; the answer
    /// may come before the body is sent.
    async fn streamed(
        &mut self,
        sender: &mut Sender,
        request: Request<Outgoing>,
        feed: OutgoingBody,
        within: Duration,
    ) -> Result<Reply, Fault> {
        let exchanging = exchange(sender, request);
        tokio::pin!(exchanging);
        let fed = tokio::select! {
            biased;
            answer = &mut exchanging => return answer,
            fed = self.send_body(feed) => fed,
        };
        match fed {
            Ok(()) => self.awaited(within, exchanging).await,
            Err(fault) => {
                tracing::debug!(%fault, "a body could not be sent to its end");
                self.unreadable = !matches!(fault, ReadFault::CutOff);
                Err(Fault::Broken)
            }
        }
    }
}
