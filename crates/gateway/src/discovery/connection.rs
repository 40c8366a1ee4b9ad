//! Opens a connection to the change log.

use crate::system::budgeted_stream::{BudgetedStream, MAX_RESPONSE_HEAD_BYTES};
use crate::system::socket::{ConnectWait, Socket};
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Protocol: the path of the log.
const PATH: &str = "/changes";
/// Protocol: the header that names the last event that was received.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Why the change log could not be opened.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    /// No connection.
    #[error("not connected: {0}")]
    Connect(#[from] io::Error),
    /// No HTTP response.
    #[error("not answered: {0}")]
    Http(#[from] hyper::Error),
    /// A response that does not open the stream.
    #[error("answered with status {0}")]
    Status(StatusCode),
}

/// Opens the stream of events after `last_event`; the caller bounds how long that may take.
///
/// The connection does not count against the engines' budget, which reserves a descriptor for it: engines that use up
/// their budget must not keep changes of the engine list out.
///
/// # Errors
///
/// The log cannot be reached, or does not answer with a stream.
pub(super) async fn open(log: SocketAddr, last_event: u64) -> Result<Incoming, OpenError> {
    let socket = Socket::connect(log, &ConnectWait::for_other_end()).await?;
    let stream = BudgetedStream::new(socket, None);
    let mut builder = http1::Builder::new();
    let (mut sender, connection) = builder
        .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
        .handshake(stream)
        .await?;
    tokio::spawn(async move {
        // An error of the connection is reported where its body is read.
        let _ = connection.await;
    });
    let response = sender.send_request(request(log, last_event)).await?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        status => Err(OpenError::Status(status)),
    }
}

fn request(log: SocketAddr, last_event: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = Method::GET;
    *request.uri_mut() = PATH.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::try_from(log.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
        .headers_mut()
        .insert(LAST_EVENT_ID, HeaderValue::from(last_event));
    request
}
