//! HTTP calls on connections of one's own, each bounded in time.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
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

/// Why a call brought no whole answer.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("not connected: {0}")]
    Unconnected(String),
    #[error("no whole answer: {0}")]
    CutShort(String),
    #[error("no answer in time")]
    Silent,
}

/// Connects, and drives the connection in a task of its own.
pub async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let unconnected = |cause: String| CallError::Unconnected(cause);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| unconnected("no answer".into()))?;
    let stream = stream.map_err(|cause| unconnected(cause.to_string()))?;
    let _ = stream.set_nodelay(true);
    let connected = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = connected.map_err(|cause| unconnected(cause.to_string()))?;
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
            .map_err(|e| CallError::CutShort(e.to_string()))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|cause| CallError::CutShort(cause.to_string()))?;
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
