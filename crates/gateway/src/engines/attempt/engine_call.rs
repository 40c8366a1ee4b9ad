//! A call to an engine: the request, and its effect on the attempt.

use crate::engines::request::RequestBody;
use bytes::Bytes;
use garnetwall_bodies::{ReadError, Reader};
use http::Request;
use http_body_util::channel::Sender as BodySender;

/// The effect of a call on the attempt at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// Starts the attempt. The request is sent through the send gate.
    Start,
    /// Polls the attempt or fetches a page, which also renews the attempt's poll expiry.
    Poll,
    /// Neither starts the attempt nor keeps it running: cancels it, or checks the engine's health.
    Other,
}

/// A request body that is sent while it is still being received from the client.
pub(super) struct StreamedBody {
    pub(super) reader: Reader,
    /// The length in bytes, if the client declared it.
    pub(super) length: Option<u64>,
    pub(super) sender: BodySender<Bytes, ReadError>,
}

/// A request to an engine.
pub(super) struct EngineCall {
    pub(super) kind: CallKind,
    pub(super) request: Request<RequestBody>,
    /// The request's body, if it is still being received from the client; otherwise the request contains the whole
    /// body.
    pub(super) streamed_body: Option<StreamedBody>,
}

impl EngineCall {
    /// Creates a call that starts the attempt.
    pub(super) fn start(
        request: Request<RequestBody>,
        streamed_body: Option<StreamedBody>,
    ) -> Self {
        EngineCall {
            kind: CallKind::Start,
            request,
            streamed_body,
        }
    }

    /// Creates a call that polls the attempt or fetches a page.
    pub(super) fn poll(request: Request<RequestBody>) -> Self {
        EngineCall {
            kind: CallKind::Poll,
            request,
            streamed_body: None,
        }
    }

    /// Creates a call that neither starts the attempt nor keeps it running.
    pub(super) fn other(request: Request<RequestBody>) -> Self {
        EngineCall {
            kind: CallKind::Other,
            request,
            streamed_body: None,
        }
    }
}
