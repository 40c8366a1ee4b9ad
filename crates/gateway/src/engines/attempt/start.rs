//! The call that starts a dispatch, and its body on the way to the engine.

use super::{EngineAttempt, StreamedBody};
use crate::engines::call::{AttemptStart, Call, Statement};
use crate::engines::request::{request, RequestBody};
use garnetwall_bodies::body::ReadFault;
use garnetwall_ledger::Evidence;
use http::header::CONTENT_LENGTH;
use http::{HeaderName, HeaderValue, Method, Request};
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use std::time::Instant;

/// Protocol: names of the fields.
const QUERY_ID: HeaderName = HeaderName::from_static("x-trace");
const QUERY_CLASS: HeaderName = HeaderName::from_static("x-profile");
const REMAINING_MS: HeaderName = HeaderName::from_static("x-patience");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("x-op-key");

impl EngineAttempt<'_> {
    /// The call that starts a dispatch, and the body that goes with it; none where that is not there any more.
    pub(super) fn start_request(
        &self,
        call: &Call,
        start: &AttemptStart,
    ) -> Option<(Request<RequestBody>, Option<StreamedBody>)> {
        let is_retry = start.is_retry;
        let mut request = request(Method::POST, self.target.address, "/c");
        let gate = self.send_gate.clone();
        let body = match &call.statement {
            Statement::Whole(bytes) => {
                let remaining_bytes = Some(bytes.len() as u64);
                *request.body_mut() = RequestBody {
                    source: Either::Left(Full::new(bytes.clone())),
                    remaining_bytes,
                    gate,
                };
                None
            }
            Statement::Streamed(statement) => {
                let reader = statement.reader(is_retry).ok()?;
                let (sender, stream) = Channel::new(1);
                *request.body_mut() = RequestBody {
                    source: Either::Right(stream),
                    remaining_bytes: statement.length(),
                    gate,
                };
                if let Some(length) = statement.length() {
                    request
                        .headers_mut()
                        .insert(CONTENT_LENGTH, HeaderValue::from(length));
                }
                Some(StreamedBody {
                    reader,
                    length: statement.length(),
                    sender,
                })
            }
        };
        let head = request.headers_mut();
        head.insert(QUERY_ID, call.id.clone());
        head.insert(QUERY_CLASS, call.class.clone());
        if let Some(key) = &call.idempotency_key {
            head.insert(IDEMPOTENCY_KEY, key.clone());
        }
        Some((request, body))
    }

    /// Tells the engine how long its answer is waited for, as it is when the start leaves: its connection may have taken long.
    pub(super) fn set_remaining_time(&self, request: &mut Request<RequestBody>) {
        let left = self
            .response_deadline
            .saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
        request
            .headers_mut()
            .insert(REMAINING_MS, HeaderValue::from(left));
    }

    /// The last byte of a call that keeps its dispatch running is on its way.
    pub(super) fn request_sent(&mut self) {
        self.request_may_have_arrived = true;
        self.record(Evidence::RequestSent);
    }

    pub(super) async fn send_body(&mut self, body: StreamedBody) -> Result<(), ReadFault> {
        let StreamedBody {
            mut reader,
            length,
            mut sender,
        } = body;
        loop {
            match reader.next().await {
                Ok(Some(bytes)) => {
                    // Only a call that has come whole is one that may run.
                    if length == Some(reader.at()) {
                        self.request_sent();
                    }
                    if sender.send_data(bytes).await.is_err() {
                        // The engine hears no more of it: its answer, or the broken connection, tells why.
                        std::future::pending::<()>().await;
                    }
                }
                Ok(None) => {
                    self.request_sent();
                    return Ok(());
                }
                Err(fault) => {
                    sender.abort(ReadFault::CutOff);
                    return Err(fault);
                }
            }
        }
    }
}
