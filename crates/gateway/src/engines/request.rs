//! Requests to engines: a start goes out through its gate.

use super::call::Call;
use crate::system::send_gate::SendGate;
use bytes::Bytes;
use garnetwall_bodies::body::ReadFault;
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

/// Sends calls over one connection.
pub(super) type Sender = http1::SendRequest<RequestBody>;

/// What a call brings along: all at once, or as it comes.
pub(super) type BodySource = Either<Full<Bytes>, Channel<Bytes, ReadFault>>;

/// It, and the gate that it goes out through where the call is a start.
pub(super) struct RequestBody {
    pub(super) source: BodySource,
    /// Bytes of it still to come, where that is known.
    pub(super) remaining_bytes: Option<u64>,
    pub(super) gate: Option<Arc<SendGate>>,
}

impl RequestBody {
    /// All of it has been handed over to be written.
    pub(super) fn body_consumed(&self) {
        if let Some(gate) = &self.gate {
            gate.body_consumed();
        }
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
        let bytes = frame
            .as_ref()
            .and_then(|f| f.as_ref().ok())
            .and_then(Frame::data_ref)
            .map_or(0, Bytes::len);
        self.remaining_bytes = self
            .remaining_bytes
            .map(|remaining_bytes| remaining_bytes.saturating_sub(bytes as u64));
        if frame.is_none() || self.remaining_bytes == Some(0) || self.source.is_end_stream() {
            self.body_consumed();
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

pub(super) fn path(call: &Call, page: Option<usize>) -> String {
    let id = call.id.to_str().unwrap_or_default();
    page.map_or_else(|| format!("/c/{id}"), |page| format!("/c/{id}/{page}"))
}

pub(super) fn request(method: Method, address: SocketAddr, path: &str) -> Request<RequestBody> {
    let nothing = RequestBody {
        source: Either::Left(Full::default()),
        remaining_bytes: None,
        gate: None,
    };
    let mut request = Request::new(nothing);
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}
