//! The call that starts a dispatch, and its body on the way to the engine.

use super::{EngineAttempt, OutgoingBody};
use crate::engines::call::{AttemptStart, Call, Statement};
use crate::engines::request::{request, Outgoing};
use garnetwall_bodies::body::ReadFault;
use garnetwall_ledger::Evidence;
use http::header::CONTENT_LENGTH;
use http::{HeaderName, HeaderValue, Method, Request};
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use std::time::Instant;

/// Protocol: names of the fields.
const ID: HeaderName = HeaderName::from_static("x-trace");
const GROUP: HeaderName = HeaderName::from_static("x-profile");
const DEADLINE: HeaderName = HeaderName::from_static("x-patience");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("x-op-key");

impl EngineAttempt<'_> {
    /// The call that starts a dispatch, and the body that goes with it; none where that is not there any more.
    pub(super) fn start_request(
        &self,
        call: &Call,
        start: &AttemptStart,
    ) -> Option<(Request<Outgoing>, Option<OutgoingBody>)> {
        let further = start.is_retry;
        let mut request = request(Method::POST, self.target.address, "/c");
        let gate = self.gate.clone();
        let feed = match &call.statement {
            Statement::Whole(bytes) => {
                let left = Some(bytes.len() as u64);
                *request.body_mut() = Outgoing {
                    carried: Either::Left(Full::new(bytes.clone())),
                    left,
                    gate,
                };
                None
            }
            Statement::Streamed(body) => {
                let reader = body.reader(further).ok()?;
                let (out, stream) = Channel::new(1);
                *request.body_mut() = Outgoing {
                    carried: Either::Right(stream),
                    left: body.length(),
                    gate,
                };
                if let Some(length) = body.length() {
                    request
                        .headers_mut()
                        .insert(CONTENT_LENGTH, HeaderValue::from(length));
                }
                Some(OutgoingBody {
                    reader,
                    length: body.length(),
                    out,
                })
            }
        };
        let head = request.headers_mut();
        head.insert(ID, call.id.clone());
        head.insert(GROUP, call.class.clone());
        if let Some(mark) = &call.idempotency_key {
            head.insert(IDEMPOTENCY_KEY, mark.clone());
        }
        Some((request, feed))
    }

    /// Tells the engine how long its answer is waited for, as it is when the start leaves: its connection may have taken long.
    pub(super) fn stamp_deadline(&self, request: &mut Request<Outgoing>) {
        let left = self.until.saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
        request
            .headers_mut()
            .insert(DEADLINE, HeaderValue::from(left));
    }

    /// The last byte of a call that keeps its dispatch running is on its way.
    pub(super) fn sent_whole(&mut self) {
        self.may_have_come = true;
        self.tell(Evidence::RequestSent);
    }

    pub(super) async fn send_body(&mut self, feed: OutgoingBody) -> Result<(), ReadFault> {
        let OutgoingBody {
            mut reader,
            length,
            mut out,
        } = feed;
        loop {
            match reader.next().await {
                Ok(Some(bytes)) => {
                    // Only a call that has come whole is one that may run.
                    if length == Some(reader.at()) {
                        self.sent_whole();
                    }
                    if out.send_data(bytes).await.is_err() {
                        // The engine hears no more of it: its answer, or the broken connection, tells why.
                        std::future::pending::<()>().await;
                    }
                }
                Ok(None) => {
                    self.sent_whole();
                    return Ok(());
                }
                Err(fault) => {
                    out.abort(ReadFault::CutOff);
                    return Err(fault);
                }
            }
        }
    }
}
