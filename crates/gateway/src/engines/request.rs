//! Requests to engines: a start goes out through its gate.

use super::call::Call;
use crate::system::send_gate::SendGate;
use bytes::Bytes;
use garnetwall_bodies::body::ReadFault;
use http::header::HOST;
use http::{HeaderValue, Method, Request};
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use hyper::body::{Body as OutgoingBody, Frame, SizeHint};
use hyper::client::conn::http1;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

/// Sends calls over one connection.
pub(super) type Sender = http1::SendRequest<Outgoing>;

/// What a call brings along: all at once, or as it comes.
pub(super) type Carried = Either<Full<Bytes>, Channel<Bytes, ReadFault>>;

/// It, and the gate that it goes out through where the call is a start.
pub(super) struct Outgoing {
    pub(super) carried: Carried,
    /// Bytes of it still to come, where that is known.
    pub(super) left: Option<u64>,
    pub(super) gate: Option<Arc<SendGate>>,
}

impl Outgoing {
    /// All of it has been handed over to be written.
    pub(super) fn read_out(&self) {
        if let Some(gate) = &self.gate {
            gate.read_out();
        }
    }
}

impl OutgoingBody for Outgoing {
    type Data = Bytes;
    type Error = <Carried as OutgoingBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.carried).poll_frame(cx));
        let bytes = frame
            .as_ref()
            .and_then(|f| f.as_ref().ok())
            .and_then(Frame::data_ref)
            .map_or(0, Bytes::len);
        self.left = self.left.map(|left| left.saturating_sub(bytes as u64));
        if frame.is_none() || self.left == Some(0) || self.carried.is_end_stream() {
            self.read_out();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.carried.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.carried.size_hint()
    }
}

pub(super) fn path(call: &Call, page: Option<usize>) -> String {
    let id = call.id.to_str().unwrap_or_default();
    page.map_or_else(|| format!("/c/{id}"), |page| format!("/c/{id}/{page}"))
}

pub(super) fn request(method: Method, address: SocketAddr, path: &str) -> Request<Outgoing> {
    let nothing = Outgoing {
        carried: Either::Left(Full::default()),
        left: None,
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
