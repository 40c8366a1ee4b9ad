//! The request that starts an attempt, and the transfer of its body to the engine.

use super::engine_call::{EngineCall, StreamedBody};
use super::EngineSession;
use crate::engines::messages::{AttemptStart, ForwardedQuery, Statement};
use crate::engines::protocol::request_header;
use crate::engines::request::{request, RequestBody, START_PATH};
use bytes::Bytes;
use garnetwall_bodies::{ReadBy, ReadError, Reader};
use garnetwall_ledger::Evidence;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use std::future::pending;
use std::time::Instant;

/// Number of chunks of a streamed body that may be queued for the connection.
const BODY_CHANNEL_CAPACITY: usize = 1;

impl EngineSession<'_> {
    /// Creates the call that starts the attempt; `None` if its body is no longer stored.
    pub(super) fn start_call(
        &self,
        query: &ForwardedQuery,
        start: &AttemptStart,
    ) -> Option<EngineCall> {
        match &query.statement {
            Statement::Complete(bytes) => Some(self.complete_start_call(query, bytes)),
            Statement::Streamed(body) => {
                let read_by = if start.is_retry {
                    ReadBy::Retry
                } else {
                    ReadBy::FirstAttempt
                };
                let reader = body.reader(read_by).ok()?;
                Some(self.streamed_start_call(query, reader, body.length()))
            }
        }
    }

    fn complete_start_call(&self, query: &ForwardedQuery, statement: &Bytes) -> EngineCall {
        let mut request = request(Method::POST, self.target.address, START_PATH);
        insert_query_headers(request.headers_mut(), query);
        *request.body_mut() = RequestBody {
            source: Either::Left(Full::new(statement.clone())),
            remaining_bytes: Some(statement.len() as u64),
            gate: self.send_gate.clone(),
        };
        EngineCall::start(request, None)
    }

    fn streamed_start_call(
        &self,
        query: &ForwardedQuery,
        reader: Reader,
        length: Option<u64>,
    ) -> EngineCall {
        let (sender, receiver) = Channel::new(BODY_CHANNEL_CAPACITY);
        let mut request = request(Method::POST, self.target.address, START_PATH);
        insert_content_length(request.headers_mut(), length);
        insert_query_headers(request.headers_mut(), query);
        *request.body_mut() = RequestBody {
            source: Either::Right(receiver),
            remaining_bytes: length,
            gate: self.send_gate.clone(),
        };
        let streamed_body = StreamedBody {
            reader,
            length,
            sender,
        };
        EngineCall::start(request, Some(streamed_body))
    }

    /// Sets the header that tells the engine the milliseconds until the response deadline, at least 1. Called right
    /// before the request is sent, because connecting takes time.
    pub(super) fn set_remaining_time(&self, request: &mut Request<RequestBody>) {
        let remaining = self
            .response_deadline
            .saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let value = HeaderValue::from(remaining_ms.max(1));
        request
            .headers_mut()
            .insert(request_header::REMAINING_MS, value);
    }

    /// Records that the last byte of a poll, or of the request that starts the attempt, is about to be sent. From then
    /// on the engine may receive the whole request.
    pub(super) fn record_request_sending(&mut self) {
        self.request_may_have_arrived = true;
        self.record(Evidence::RequestSent);
    }

    /// Sends a streamed body while it is being received.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the body can't be read to its end. The connection is aborted in this case.
    pub(super) async fn send_body(&mut self, body: StreamedBody) -> Result<(), ReadError> {
        let StreamedBody {
            mut reader,
            length,
            mut sender,
        } = body;
        loop {
            let chunk = match reader.next().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => {
                    self.record_request_sending();
                    return Ok(());
                }
                Err(error) => {
                    sender.abort(ReadError::Truncated);
                    return Err(error);
                }
            };
            // An engine runs an attempt only after it has received the whole body, so the request counts as sent with
            // the last chunk.
            let is_last = length == Some(reader.position());
            if is_last {
                self.record_request_sending();
            }
            if sender.send_data(chunk).await.is_err() {
                // The connection is lost or the engine has responded. The caller waits for the response as well and
                // drops this future.
                pending::<()>().await;
            }
        }
    }
}

fn insert_query_headers(headers: &mut HeaderMap, query: &ForwardedQuery) {
    headers.insert(request_header::QUERY_KEY, query.query_key.clone());
    headers.insert(request_header::QUERY_CLASS, query.class.clone());
    if let Some(key) = &query.idempotency_key {
        headers.insert(request_header::IDEMPOTENCY_KEY, key.clone());
    }
}

fn insert_content_length(headers: &mut HeaderMap, length: Option<u64>) {
    if let Some(length) = length {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
}
