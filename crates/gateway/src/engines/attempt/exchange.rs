//! One call and its response, on a connection that is up or is opened for it.

use super::{EngineAttempt, StreamedBody};
use crate::engines::request::{RequestBody, Sender};
use crate::engines::response::{exchange, CallError, Reply};
use garnetwall_bodies::body::ReadFault;
use garnetwall_ledger::Evidence;
use http::{Method, Request};
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::time::timeout;

impl EngineAttempt<'_> {
    /// One call, on a connection that is up or comes up within its own bound. `renews_expiry` for one that keeps its dispatch
    /// running.
    pub(in crate::engines) async fn call(
        &mut self,
        request: Request<RequestBody>,
        body: Option<StreamedBody>,
        time_limit: Duration,
        renews_expiry: bool,
    ) -> Result<Reply, CallError> {
        let response = self
            .call_on_connection(request, body, time_limit, renews_expiry)
            .await;
        match response {
            Ok(_) => {}
            Err(CallError::TimedOut) => self.response_timeout.timed_out(),
            Err(_) => self.response_timeout.failed(),
        }
        self.engines
            .log_reachability(self.target, response.as_ref().err());
        match response {
            Err(CallError::ConnectionRefused) => self.record(Evidence::ConnectionRefused),
            Err(CallError::ConnectionLost) => {
                self.record(Evidence::ConnectionLost(self.connection))
            }
            Err(CallError::TimedOut | CallError::InvalidResponse) => {
                self.abort_flag.abort();
                self.record(Evidence::ConnectionUnusable(self.connection));
            }
            Err(CallError::ConnectFailed | CallError::LocalResources) | Ok(_) => {}
        }
        response
    }

    async fn call_on_connection(
        &mut self,
        mut request: Request<RequestBody>,
        body: Option<StreamedBody>,
        time_limit: Duration,
        renews_expiry: bool,
    ) -> Result<Reply, CallError> {
        let is_start = request.method() == Method::POST;
        let connected = self.sender.take();
        if connected.as_ref().is_some_and(|sender| sender.is_closed()) {
            self.record(Evidence::ConnectionLost(self.connection));
        }
        let mut sender = match connected.filter(|s| !s.is_closed()) {
            Some(sender) => sender,
            None => {
                self.connection += 1;
                let gate = self.send_gate.clone().filter(|_| is_start);
                let (sender, abort_flag) = self.engines.connect(self.target.address, gate).await?;
                self.abort_flag = abort_flag;
                sender
            }
        };
        if is_start {
            self.set_remaining_time(&mut request);
        }
        if let Some(gate) = &self.send_gate {
            if is_start {
                gate.start_sending();
            } else {
                gate.release();
            }
        }
        let Some(body) = body else {
            if renews_expiry {
                self.request_sent();
            }
            let response = self
                .await_response(time_limit, exchange(&mut sender, request))
                .await;
            self.sender = response.is_ok().then_some(sender);
            return response;
        };
        let response = self
            .send_streamed(&mut sender, request, body, time_limit)
            .await;
        // What was not sent to its end leaves a connection of no use.
        self.sender = (response.is_ok() && self.request_may_have_arrived).then_some(sender);
        response
    }

    /// A response that is waited for so long, and how long it took for those after it.
    async fn await_response(
        &mut self,
        time_limit: Duration,
        response: impl Future<Output = Result<Reply, CallError>>,
    ) -> Result<Reply, CallError> {
        let sent_at = Instant::now();
        let response = timeout(time_limit, response)
            .await
            .unwrap_or(Err(CallError::TimedOut));
        if response.is_ok() {
            self.response_timeout
                .answered(Instant::now(), sent_at.elapsed());
        }
        response
    }

    /// A start whose body goes on as it comes. It takes as long as the body, which its batch's limit bounds; the response
    /// may come before the body is sent.
    async fn send_streamed(
        &mut self,
        sender: &mut Sender,
        request: Request<RequestBody>,
        body: StreamedBody,
        time_limit: Duration,
    ) -> Result<Reply, CallError> {
        let exchanging = exchange(sender, request);
        tokio::pin!(exchanging);
        let sent = tokio::select! {
            biased;
            response = &mut exchanging => return response,
            sent = self.send_body(body) => sent,
        };
        match sent {
            Ok(()) => self.await_response(time_limit, exchanging).await,
            Err(error) => {
                tracing::debug!(%error, "a body could not be sent to its end");
                self.body_unreadable = !matches!(error, ReadFault::CutOff);
                Err(CallError::ConnectionLost)
            }
        }
    }
}
