//! A call to an engine as it is handed to the session: a request, and what it does to the attempt.

use crate::engines::request::RequestBody;
use bytes::Bytes;
use garnetwall_bodies::{ReadError, Reader};
use http::Request;
use http_body_util::channel::Sender as BodySender;

/// What a call does to the attempt at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// Starts the attempt. Goes out through the send gate.
    Start,
    /// Polls the attempt or fetches a page, which also renews its poll expiry.
    Poll,
    /// Neither: cancels the attempt, or checks the engine's health.
    Other,
}

/// A body that is sent while it is still being received from the client.
pub(super) struct StreamedBody {
    pub(super) reader: Reader,
    /// Its length in bytes, where the client declared it.
    pub(super) length: Option<u64>,
    pub(super) sender: BodySender<Bytes, ReadError>,
}

/// A request to an engine.
pub(super) struct EngineCall {
    pub(super) kind: CallKind,
    pub(super) request: Request<RequestBody>,
    /// Its body, where that is still being received from the client; otherwise the request holds all of it.
    pub(super) streamed_body: Option<StreamedBody>,
}

impl EngineCall {
    /// Starts the attempt.
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

    /// Polls the attempt, or fetches a page.
    pub(super) fn poll(request: Request<RequestBody>) -> Self {
        EngineCall {
            kind: CallKind::Poll,
            request,
            streamed_body: None,
        }
    }

    /// Neither starts the attempt nor keeps it running.
    pub(super) fn other(request: Request<RequestBody>) -> Self {
        EngineCall {
            kind: CallKind::Other,
            request,
            streamed_body: None,
        }
    }
}
