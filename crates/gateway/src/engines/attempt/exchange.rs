//! A single call to an engine. It opens a connection if none is open, sends the request, waits for the response and
//! records the evidence that the call gives about the attempt.

use super::engine_call::{CallKind, EngineCall, StreamedBody};
use super::EngineSession;
use crate::engines::connect::EngineConnection;
use crate::engines::request::RequestBody;
use crate::engines::response::{CallError, Reply};
use crate::engines::result_rows;
use garnetwall_bodies::ReadError;
use garnetwall_ledger::Evidence;
use http::Request;
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::time::timeout;

impl EngineSession<'_> {
    /// Sends the request of a health check.
    pub(in crate::engines) async fn check_health(
        &mut self,
        request: Request<RequestBody>,
        time_limit: Duration,
    ) -> Result<Reply, CallError> {
        self.call(EngineCall::other(request), time_limit).await
    }

    /// Makes one call, on the open connection or on a new one. `time_limit` bounds the wait for the response;
    /// connecting and sending a streamed body do not count towards it.
    pub(super) async fn call(
        &mut self,
        call: EngineCall,
        time_limit: Duration,
    ) -> Result<Reply, CallError> {
        let response = self.call_on_connection(call, time_limit).await;
        let error = response.as_ref().err();
        self.engines.log_reachability(self.target, error);
        if let Some(error) = error {
            self.record_call_error(*error);
        }
        response
    }

    fn record_call_error(&mut self, error: CallError) {
        match error {
            CallError::TimedOut => self.call_timeout.timed_out(),
            _ => self.call_timeout.failed(),
        }
        match error {
            CallError::ConnectionRefused => self.record(Evidence::ConnectionRefused),
            CallError::ConnectionLost => self.record(Evidence::ConnectionLost(self.connection_id)),
            CallError::TimedOut | CallError::InvalidResponse => {
                self.abort_flag.abort();
                self.record(Evidence::ConnectionUnusable(self.connection_id));
            }
            CallError::ConnectFailed | CallError::LocalResources => {}
        }
    }

    async fn call_on_connection(
        &mut self,
        call: EngineCall,
        time_limit: Duration,
    ) -> Result<Reply, CallError> {
        let EngineCall {
            kind,
            mut request,
            streamed_body,
        } = call;
        let mut connection = self.ready_connection(kind).await?;
        if kind == CallKind::Start {
            self.set_remaining_time(&mut request);
        }
        self.notify_send_gate(kind);
        let is_streamed = streamed_body.is_some();
        let response = match streamed_body {
            Some(body) => {
                self.send_streamed(&mut connection, request, body, time_limit)
                    .await
            }
            None => {
                self.send_complete(kind, &mut connection, request, time_limit)
                    .await
            }
        };
        // A connection can't carry another request if this one was not sent completely.
        let is_request_complete = !is_streamed || self.request_may_have_arrived;
        match response.is_ok() && is_request_complete {
            true => self.connection = Some(connection),
            false => self.check_surplus(connection),
        }
        response
    }

    /// Records whether a connection that carries no further call has received rows behind its last reply.
    fn check_surplus(&mut self, mut connection: EngineConnection) {
        if result_rows::begins_with_row(&connection.take_surplus()) {
            self.last_reply_was_cut = true;
        }
    }

    /// Returns the open connection, or opens a new one.
    async fn ready_connection(&mut self, kind: CallKind) -> Result<EngineConnection, CallError> {
        match self.connection.take() {
            Some(connection) if !connection.is_closed() => return Ok(connection),
            Some(closed) => {
                self.check_surplus(closed);
                self.record(Evidence::ConnectionLost(self.connection_id));
            }
            None => {}
        }
        self.connection_id = self.connection_id.next();
        let gate = self.send_gate.clone().filter(|_| kind == CallKind::Start);
        let connection = self.engines.connect(self.target.address, gate).await?;
        self.abort_flag = connection.abort_flag();
        Ok(connection)
    }

    fn notify_send_gate(&self, kind: CallKind) {
        let Some(gate) = &self.send_gate else {
            return;
        };
        match kind {
            CallKind::Start => gate.record_sending_started(),
            CallKind::Poll | CallKind::Other => gate.record_later_call(),
        }
    }

    /// Waits for a response for at most `time_limit`. The time that the response took adapts the timeouts of later
    /// calls.
    async fn await_response(
        &mut self,
        time_limit: Duration,
        response: impl Future<Output = Result<Reply, CallError>>,
    ) -> Result<Reply, CallError> {
        let started_at = Instant::now();
        let response = timeout(time_limit, response)
            .await
            .unwrap_or(Err(CallError::TimedOut));
        if response.is_ok() {
            self.call_timeout
                .answered(Instant::now(), started_at.elapsed());
        }
        response
    }

    /// Sends a request whose body is complete or empty.
    async fn send_complete(
        &mut self,
        kind: CallKind,
        connection: &mut EngineConnection,
        request: Request<RequestBody>,
        time_limit: Duration,
    ) -> Result<Reply, CallError> {
        if kind != CallKind::Other {
            self.record_request_sending();
        }
        let receiving = connection.receive_reply(request);
        self.await_response(time_limit, receiving).await
    }

    /// Sends a request whose body is still being received from the client. Sending takes as long as receiving the body,
    /// which the query's deadline bounds. The engine may respond before the body has been sent.
    async fn send_streamed(
        &mut self,
        connection: &mut EngineConnection,
        request: Request<RequestBody>,
        body: StreamedBody,
        time_limit: Duration,
    ) -> Result<Reply, CallError> {
        let receiving = connection.receive_reply(request);
        tokio::pin!(receiving);
        let body_result = tokio::select! {
            biased;
            response = &mut receiving => return response,
            result = self.send_body(body) => result,
        };
        if let Err(error) = body_result {
            tracing::debug!(%error, "request body could not be read to its end; connection aborted");
            // If the client cut its body off, the store did not lose it.
            self.stored_body_lost = !matches!(error, ReadError::Truncated);
            return Err(CallError::ConnectionLost);
        }
        self.await_response(time_limit, receiving).await
    }
}
