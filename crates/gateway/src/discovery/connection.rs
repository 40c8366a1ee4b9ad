//! The connection to the change log.

use crate::system::budgeted_stream::{BudgetedStream, MAX_RESPONSE_HEAD_BYTES};
use crate::system::socket::Socket;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use thiserror::Error;

/// Protocol: the path of the log and the field that names the last event had.
const PATH: &str = "/changes";
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Why the change log could not be opened.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    #[error("not connected: {0}")]
    Connect(#[from] io::Error),
    #[error("not answered: {0}")]
    Http(#[from] hyper::Error),
    #[error("answered with status {0}")]
    Status(StatusCode),
}

/// Opens the change log after an event, for its stream; it waits for as long as it is polled. It takes nothing of the engines' budget, which keeps a descriptor
/// back for it: engines that hold all of that must not keep out the news of them.
pub(super) async fn open(log: SocketAddr, last: u64) -> Result<Incoming, OpenError> {
    let socket = Socket::connect(log, &AtomicBool::default()).await?;
    let line = BudgetedStream::new(socket, None);
    let mut builder = http1::Builder::new();
    let (mut sender, connection) = builder
        .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
        .handshake(line)
        .await?;
    tokio::spawn(async move { drop(connection.await) });
    let answer = sender.send_request(request(log, last)).await?;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        status => Err(OpenError::Status(status)),
    }
}

fn request(log: SocketAddr, last: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = Method::GET;
    *request.uri_mut() = PATH.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::try_from(log.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
        .headers_mut()
        .insert(LAST_EVENT, HeaderValue::from(last));
    request
}
