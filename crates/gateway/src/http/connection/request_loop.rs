//! Connection stage: serves the requests on one connection, and returns the reason why it reads no further one.

use super::{ClientAddress, ConnectionServer, REQUEST_READ_TIMEOUT};
use crate::http::client_connections::ClientConnection;
use crate::http::client_stream::{ClientStream, StreamHandle};
use crate::http::request_head::{KEY_DIGITS, QUERY_KEY_HEADER, QUERY_PATH_PREFIX};
use crate::http::responses::handler_panicked_response;
use crate::metrics::ConnectionEnd;
use crate::supervision::{catch_panic, Supervisor, Task, TaskPanic};
use axum::response::Response;
use axum::Router;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioTimer;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};
use tower_service::Service;

/// Time after which the gateway closes an idle connection. By the protocol, clients close idle connections after 4 s;
/// this is far above, so that no request is sent while the gateway closes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Extra time for the first request head if bytes have arrived that the parser has not taken when
/// [`REQUEST_READ_TIMEOUT`] expires.
const UNPARSED_HEAD_GRACE: Duration = Duration::from_millis(20);
/// Size of the HTTP parser's buffer in bytes, the smallest that hyper allows; larger than any valid request head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Number of bytes of a path that are logged if a handler panics.
const LOGGED_PATH_BYTES: usize = 64;

/// Limit on the number of requests that are still read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RemainingRequests {
    /// Any number, with idle time in between of up to [`IDLE_TIMEOUT`].
    Unlimited,
    /// Only the request whose first bytes have already arrived.
    One,
}

impl RemainingRequests {
    /// Returns the longest time to wait for the complete head of the next request.
    fn head_timeout(self) -> Duration {
        match self {
            RemainingRequests::Unlimited => IDLE_TIMEOUT,
            RemainingRequests::One => REQUEST_READ_TIMEOUT,
        }
    }
}

/// Progress of closing a connection for the shutdown of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownProgress {
    /// No shutdown was requested.
    NotRequested,
    /// The shutdown was requested while unparsed bytes were present; the parser is polled once more for them.
    ParsingReceived,
    /// The HTTP connection was told to shut down after any open request.
    Handled,
}

/// Event on a connection that is being served.
enum Event {
    /// HTTP processing ended with an error or after the last response.
    HttpEnded(hyper::Result<()>),
    /// HTTP processing panicked.
    HttpPanicked(TaskPanic),
    ClientClosed,
    EvictionRequested,
    FirstRequestTimeout,
    ShutdownRequested,
}

/// Action after an [`Event`].
enum Step {
    /// Continue serving.
    Continue,
    /// Stop serving without a further response.
    Close(ConnectionEnd),
    /// Stop serving after the response to the open request, if there is one.
    CloseAfterResponse(ConnectionEnd),
}

/// Runs HTTP on a connection, and handles closes by the client, evictions, time-outs and the shutdown of the gateway.
pub(super) struct RequestLoop<'a> {
    server: &'a mut ConnectionServer,
    http: http1::Connection<ClientStream, RequestService>,
    first_request_timeout: Pin<Box<Sleep>>,
    /// Whether [`UNPARSED_HEAD_GRACE`] was added to the time for the first request head.
    grace_granted: bool,
    shutdown: ShutdownProgress,
    /// Reason to return when HTTP processing ends without an error.
    close_reason: ConnectionEnd,
}

impl<'a> RequestLoop<'a> {
    /// Returns a loop that serves up to `remaining_requests` on the connection of `server`.
    pub fn new(server: &'a mut ConnectionServer, remaining_requests: RemainingRequests) -> Self {
        let http = http1::Builder::new()
            .timer(TokioTimer::new())
            .max_buf_size(MAX_HEAD_BYTES)
            .keep_alive(remaining_requests == RemainingRequests::Unlimited)
            .header_read_timeout(remaining_requests.head_timeout())
            .serve_connection(server.stream.stream(), RequestService::new(server));
        RequestLoop {
            server,
            http,
            first_request_timeout: Box::pin(sleep(REQUEST_READ_TIMEOUT)),
            grace_granted: false,
            shutdown: ShutdownProgress::NotRequested,
            close_reason: ConnectionEnd::LastResponse,
        }
    }

    /// Serves requests until no further one is to be read, and returns the reason. Unparsed bytes are put back into the
    /// stream, unless the client closed the connection.
    pub async fn run(mut self) -> ConnectionEnd {
        let reason = loop {
            let event = self.next_event().await;
            match self.handle(event) {
                Step::Continue => {}
                Step::Close(reason) => break reason,
                Step::CloseAfterResponse(reason) => {
                    self.close_reason = reason;
                    Pin::new(&mut self.http).graceful_shutdown();
                }
            }
        };
        if reason != ConnectionEnd::ClientClosed {
            let unparsed = self.http.into_parts().read_buf;
            self.server.stream.unread(&unparsed);
        }
        reason
    }

    async fn next_event(&mut self) -> Event {
        let ConnectionServer {
            stream,
            connection,
            close_connections,
            ..
        } = &mut *self.server;
        let http = &mut self.http;
        let first_request_timeout = self.first_request_timeout.as_mut();
        let is_shutdown_handled = self.shutdown == ShutdownProgress::Handled;
        let awaits_first_request =
            connection.awaits_first_request() && !first_request_timeout.is_elapsed();
        tokio::select! {
            biased;
            result = catch_panic(poll_fn(|cx| poll_until_written(http, stream, cx))) => match result {
                Ok(result) => Event::HttpEnded(result),
                Err(panic) => Event::HttpPanicked(panic),
            },
            () = stream.closed_by_client(|| connection.has_request()) => Event::ClientClosed,
            () = connection.eviction.notified() => Event::EvictionRequested,
            () = first_request_timeout, if awaits_first_request => Event::FirstRequestTimeout,
            Ok(_) = close_connections.wait_for(|close| *close), if !is_shutdown_handled => {
                Event::ShutdownRequested
            }
        }
    }

    fn handle(&mut self, event: Event) -> Step {
        match event {
            Event::HttpEnded(Ok(())) => Step::Close(self.close_reason),
            Event::HttpEnded(Err(error)) => {
                tracing::debug!(connection = self.number(), client = %self.client(), %error, "HTTP processing on a client connection failed");
                Step::Close(ConnectionEnd::LastResponse)
            }
            Event::HttpPanicked(panic) => {
                let supervisor = &self.server.supervisor;
                supervisor.record_panic(Task::ClientConnection, &panic);
                tracing::error!(connection = self.number(), client = %self.client(), "HTTP processing on a client connection panicked");
                Step::Close(ConnectionEnd::Panicked)
            }
            Event::ClientClosed => {
                tracing::debug!(connection = self.number(), client = %self.client(), "client closed its connection before its response was ready");
                Step::Close(ConnectionEnd::ClientClosed)
            }
            Event::EvictionRequested => self.eviction_requested(),
            Event::FirstRequestTimeout => self.first_request_timed_out(),
            Event::ShutdownRequested => self.shutdown_requested(),
        }
    }

    /// Cancels the eviction if a request is open or unparsed bytes have arrived, since these are served first; another
    /// connection is evicted instead.
    fn eviction_requested(&self) -> Step {
        let connection = &self.server.connection;
        if connection.has_request() || self.server.stream.may_have_unparsed_bytes() {
            connection.cancel_eviction();
            return Step::Continue;
        }
        tracing::debug!(connection = self.number(), client = %self.client(), "client connection without an open request evicted to free its slot");
        if connection.awaits_first_request() {
            return Step::Close(ConnectionEnd::EvictedUnserved);
        }
        Step::CloseAfterResponse(ConnectionEnd::Evicted)
    }

    /// Closes the connection, unless its first request head was read in the meantime, or bytes have arrived that the
    /// parser has not taken. For such bytes, grants [`UNPARSED_HEAD_GRACE`] once, since they may have arrived while
    /// this process had no processor time to parse them.
    fn first_request_timed_out(&mut self) -> Step {
        let awaits_first_request = self.server.connection.awaits_first_request();
        if awaits_first_request
            && (self.grace_granted || !self.server.stream.may_have_unparsed_bytes())
        {
            tracing::debug!(connection = self.number(), client = %self.client(), "client connection closed: the first request head did not arrive in time");
            return Step::Close(ConnectionEnd::Silent);
        }
        self.grace_granted = true;
        self.first_request_timeout
            .as_mut()
            .reset(Instant::now() + UNPARSED_HEAD_GRACE);
        Step::Continue
    }

    /// Shuts down the HTTP connection. If unparsed bytes have arrived and no request is open, first lets the parser be
    /// polled once more, so that a request that arrived before the shutdown is still served.
    fn shutdown_requested(&mut self) -> Step {
        let has_request = self.server.connection.has_request();
        if self.shutdown == ShutdownProgress::NotRequested
            && !has_request
            && self.server.stream.may_have_unparsed_bytes()
        {
            self.shutdown = ShutdownProgress::ParsingReceived;
            return Step::Continue;
        }
        self.shutdown = ShutdownProgress::Handled;
        let reason = match has_request {
            true => ConnectionEnd::LastResponse,
            false => ConnectionEnd::Shutdown,
        };
        Step::CloseAfterResponse(reason)
    }

    fn number(&self) -> u64 {
        self.server.connection.number()
    }

    fn client(&self) -> std::net::IpAddr {
        self.server.client.0
    }
}

/// Runs HTTP to its end, and until the last response is written: HTTP processing that reads no further request ends
/// although the connection has not taken all bytes of the response, also where it ends with an error in the request.
fn poll_until_written(
    http: &mut http1::Connection<ClientStream, RequestService>,
    stream: &StreamHandle,
    context: &mut Context,
) -> Poll<hyper::Result<()>> {
    match http.poll_without_shutdown(context) {
        Poll::Ready(_) if stream.is_write_pending() => Poll::Pending,
        result => result,
    }
}

/// Passes the requests of one connection to the router, and marks the connection active while a request is open.
struct RequestService {
    stream: StreamHandle,
    client: ClientAddress,
    router: Router,
    connection: Arc<ClientConnection>,
    supervisor: Supervisor,
}

impl RequestService {
    fn new(server: &ConnectionServer) -> Self {
        RequestService {
            stream: server.stream.clone(),
            client: server.client,
            router: server.router.clone(),
            connection: server.connection.clone(),
            supervisor: server.supervisor.clone(),
        }
    }
}

/// Facts of a request that are logged if its handler panics. They are copies: slices of the head would keep the buffer
/// that it was read into in memory as long as the request is open.
struct LoggedRequest {
    method: Method,
    path: String,
    query_key: Option<String>,
}

impl LoggedRequest {
    fn of(request: &Request<Incoming>) -> Self {
        LoggedRequest {
            method: request.method().clone(),
            path: request
                .uri()
                .path()
                .chars()
                .take(LOGGED_PATH_BYTES)
                .collect(),
            query_key: request
                .headers()
                .get(QUERY_KEY_HEADER)
                .and_then(|key| key.to_str().ok())
                .map(|key| key.chars().take(KEY_DIGITS).collect()),
        }
    }

    /// The kind of task that its handler counts as.
    fn task(&self) -> Task {
        match self.path.starts_with(QUERY_PATH_PREFIX) {
            true => Task::Request,
            false => Task::StatusPage,
        }
    }

    fn log_panic(&self, connection: u64) {
        let LoggedRequest {
            method,
            path,
            query_key,
        } = self;
        tracing::error!(connection, %method, path, ?query_key, "request handler panicked; its request is answered as failed");
    }
}

impl hyper::service::Service<Request<Incoming>> for RequestService {
    type Response = Response;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response, Infallible>> + Send>>;

    fn call(&self, mut request: Request<Incoming>) -> Self::Future {
        request.extensions_mut().insert(self.stream.clone());
        request.extensions_mut().insert(self.client);
        let logged = LoggedRequest::of(&request);
        let body_bytes = request.body().size_hint().exact();
        let mut router = self.router.clone();
        let response = async move { router.call(request).await };
        let connection = self.connection.clone();
        let stream = self.stream.clone();
        let supervisor = self.supervisor.clone();
        connection.request_started();
        stream.request_started(body_bytes);
        Box::pin(async move {
            let response = match supervisor.watch(logged.task(), response).await {
                Ok(Ok(response)) => response,
                Ok(Err(never)) => match never {},
                Err(_) => {
                    logged.log_panic(connection.number());
                    handler_panicked_response()
                }
            };
            supervisor
                .metrics()
                .response_ready(response.status().as_u16());
            connection.response_ready();
            stream.response_ready();
            Ok(response)
        })
    }
}
