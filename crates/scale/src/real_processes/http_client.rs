//! HTTP calls on connections of one's own, each bounded in time.

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
/// More than any answer of this run.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// An HTTP/1 connection that requests are sent on.
pub type Connection = SendRequest<Full<Bytes>>;

/// Why there is no connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// Not within [`CONNECT_TIMEOUT`].
    #[error("not connected: no answer")]
    TimedOut,
    #[error("not connected: {0}")]
    Connect(#[from] io::Error),
    /// No HTTP connection could be set up on it.
    #[error("not connected: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Where an exchange broke off.
#[derive(Debug, Error)]
pub enum CutShort {
    /// Before the head of the answer was whole.
    #[error(transparent)]
    Head(#[from] hyper::Error),
    /// In the answer's body, or it was longer than [`MAX_ANSWER_BYTES`].
    #[error(transparent)]
    Body(#[from] Box<dyn StdError + Send + Sync>),
}

/// Why a call on an open connection brought no whole answer.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("no whole answer: {0}")]
    CutShort(#[from] CutShort),
    #[error("no answer in time")]
    Silent,
}

/// Connects, and drives the connection in a task of its own.
///
/// # Errors
///
/// The connection cannot be set up in time.
pub async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| ConnectError::TimedOut)??;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(cause) = connection.await {
            tracing::debug!(%cause, "client connection ended");
        }
    });
    Ok(sender)
}

/// One call, with its whole answer.
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
        .unwrap_or(Err(CallError::Silent))
}

/// A call without a body; its fields never fail to build.
pub fn get(path: &'static str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = http::Uri::from_static(path);
    request.headers_mut().insert(
        http::header::HOST,
        http::HeaderValue::from_static("gateway"),
    );
    request
}

/// Whether a gateway says that it serves.
pub async fn is_healthy(address: SocketAddr) -> bool {
    let Ok(mut connection) = connect(address).await else {
        return false;
    };
    let answer = call(&mut connection, get("/healthz"), HEALTH_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
