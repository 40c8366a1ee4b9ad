//! Requests to engines. The body of a request that starts an attempt passes through its send gate.

use super::messages::ForwardedQuery;
use crate::system::send_gate::SendGate;
use bytes::Bytes;
use garnetwall_bodies::ReadError;
use http::header::HOST;
use http::{HeaderValue, Method, Request};
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::client::conn::http1;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

/// The path that starts an attempt.
pub(super) const START_PATH: &str = "/c";

/// Sends requests over one connection.
pub(super) type Sender = http1::SendRequest<RequestBody>;

/// A request body that is complete, or one that is still being received from the client.
pub(super) type BodySource = Either<Full<Bytes>, Channel<Bytes, ReadError>>;

/// The body of a request.
pub(super) struct RequestBody {
    pub(super) source: BodySource,
    /// Number of bytes that `source` has yet to yield; `None` if the length is unknown.
    pub(super) remaining_bytes: Option<u64>,
    /// The send gate; set if the request starts an attempt.
    pub(super) gate: Option<Arc<SendGate>>,
}

impl RequestBody {
    fn empty() -> Self {
        RequestBody {
            source: Either::Left(Full::default()),
            remaining_bytes: None,
            gate: None,
        }
    }

    /// Records that hyper has taken `byte_count` bytes.
    fn record_consumed(&mut self, byte_count: usize) {
        self.remaining_bytes = self
            .remaining_bytes
            .map(|remaining| remaining.saturating_sub(byte_count as u64));
    }

    /// Whether hyper has taken the last byte, even if it has not polled for the end of the body yet.
    fn is_consumed(&self) -> bool {
        self.remaining_bytes == Some(0) || self.source.is_end_stream()
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = <BodySource as HttpBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.source).poll_frame(cx));
        let data = match &frame {
            Some(Ok(frame)) => frame.data_ref(),
            _ => None,
        };
        let byte_count = data.map_or(0, Bytes::len);
        self.record_consumed(byte_count);
        if frame.is_none() || self.is_consumed() {
            if let Some(gate) = &self.gate {
                gate.record_body_consumed();
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.source.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.source.size_hint()
    }
}

/// The path of an attempt at its engine.
pub(super) fn attempt_path(query: &ForwardedQuery) -> String {
    let query_key = query.query_key.to_str().unwrap_or_default();
    format!("{START_PATH}/{query_key}")
}

/// The path of a page of an attempt's result. A request for page 0 also polls the attempt.
pub(super) fn page_path(query: &ForwardedQuery, page: usize) -> String {
    format!("{}/{page}", attempt_path(query))
}

/// Creates a request without a body.
pub(super) fn request(method: Method, address: SocketAddr, path: &str) -> Request<RequestBody> {
    let mut request = Request::new(RequestBody::empty());
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}
