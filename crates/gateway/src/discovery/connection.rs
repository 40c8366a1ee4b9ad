//! Opens connections to the change log.

use crate::supervision::{Supervisor, Task};
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

/// Protocol: the path of the event stream.
const PATH: &str = "/changes";
/// Protocol: the request header with the number of the last event received. The log resumes after it.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// The reason that no event stream could be opened.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    /// The TCP connection could not be established.
    #[error("cannot connect to the change log: {0}")]
    Connect(#[from] io::Error),
    /// The connection failed before the head of an HTTP response arrived.
    #[error("no HTTP response from the change log: {0}")]
    Http(#[from] hyper::Error),
    /// The response has a status other than 200.
    #[error("change log answered with status {0} instead of 200")]
    Status(StatusCode),
}

/// Opens the stream of the events after `last_event` and returns the response body.
///
/// There is no timeout; the caller drops the future when it takes too long.
///
/// The connection does not count against the socket budget of the engines, which sets aside a file descriptor for it.
/// Otherwise engine connections that exhaust the budget would block updates of the engine list.
///
/// # Errors
///
/// Returns an error if the log cannot be reached, the connection fails, or the status is not 200.
pub(super) async fn open(
    log: SocketAddr,
    last_event: u64,
    supervisor: &Supervisor,
) -> Result<Incoming, OpenError> {
    let socket = Socket::connect(log, &ConnectWait::remote()).await?;
    let stream = BudgetedStream::new(socket, None);
    let mut builder = http1::Builder::new();
    let (mut sender, connection) = builder
        .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
        .handshake(stream)
        .await?;
    supervisor.spawn(Task::ChangeLogConnection, async move {
        // Ignored here, because reading the response or its body returns the same error.
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
