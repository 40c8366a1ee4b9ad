//! HTTP client with explicit connections and a timeout for each call.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on an answer's size; larger than any answer in a run.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Sending half of an HTTP/1 connection.
pub type Connection = SendRequest<Full<Bytes>>;

/// Failure to set up a connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The TCP connection was not set up within [`CONNECT_TIMEOUT`].
    #[error("connecting timed out")]
    TimedOut,
    #[error("connecting failed: {0}")]
    Connect(#[from] io::Error),
    /// The TCP connection was set up, but not the HTTP connection on it.
    #[error("HTTP handshake failed: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Part of an exchange that failed.
#[derive(Debug, Error)]
pub enum CutShort {
    /// The exchange failed before the head of the answer was complete.
    #[error(transparent)]
    Head(#[from] hyper::Error),
    /// The exchange failed in the body of the answer, or the body is longer than [`MAX_ANSWER_BYTES`].
    #[error(transparent)]
    Body(#[from] Box<dyn StdError + Send + Sync>),
}

/// Failure of a call on an open connection.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("answer incomplete: {0}")]
    CutShort(#[from] CutShort),
    #[error("no complete answer in time")]
    TimedOut,
}

/// Connects to `address`. A spawned task drives the connection.
///
/// # Errors
///
/// The connection can't be set up, or not within [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| ConnectError::TimedOut)??;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(cause) = connection.await {
            tracing::debug!(%cause, "client connection failed");
        }
    });
    Ok(sender)
}

/// Sends a request and returns the complete answer.
///
/// # Errors
///
/// The exchange fails, or is not complete after `within`.
pub async fn call(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    within: Duration,
) -> Result<Response<Bytes>, CallError> {
    let exchange = async {
        let response = connection
            .send_request(request)
            .await
            .map_err(CutShort::Head)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(CutShort::Body)?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    timeout(within, exchange)
        .await
        .unwrap_or(Err(CallError::TimedOut))
}

/// Builds a GET request without a body. Building can't fail, since all parts are static.
pub fn get(path: &'static str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = http::Uri::from_static(path);
    request.headers_mut().insert(
        http::header::HOST,
        http::HeaderValue::from_static("gateway"),
    );
    request
}

/// Whether the gateway at `address` answers its health check with 200.
pub async fn is_healthy(address: SocketAddr) -> bool {
    let Ok(mut connection) = connect(address).await else {
        return false;
    };
    let answer = call(&mut connection, get("/healthz"), HEALTH_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
