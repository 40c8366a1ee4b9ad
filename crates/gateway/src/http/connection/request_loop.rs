//! Connection stage: reads requests from one connection until no further one is to be read, and says why.

use super::{ClientAddress, ConnectionServer, REQUEST_READ_TIMEOUT};
use crate::http::client_connections::ClientConnection;
use crate::http::client_stream::{ClientStream, StreamHandle};
use axum::response::Response;
use axum::Router;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioTimer;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};
use tower_service::Service;

/// Protocol: clients close idle connections after 4 s. Far above that, so that no request crosses our close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Extra time for a first request head of which bytes had arrived when its time was over.
const UNPARSED_HEAD_GRACE: Duration = Duration::from_millis(20);
/// The parser's buffer; more than any request head.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Why no further request is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client closed it: no response is owed.
    ClientClosed,
    /// No complete first request head arrived in time.
    Silent,
    /// Evicted before a complete first request head arrived.
    EvictedUnserved,
    /// The last response announced it, or what the client sent is no HTTP.
    LastResponse,
    /// The gateway closes its connections, and no request was open.
    Shutdown,
    /// Evicted while idle.
    Evicted,
}

/// How many requests a connection may still carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RemainingRequests {
    /// Any number, with idle times between them.
    Unlimited,
    /// The one that has begun to arrive.
    One,
}

impl RemainingRequests {
    /// How long the head of the next request is waited for.
    fn head_timeout(self) -> Duration {
        match self {
            RemainingRequests::Unlimited => IDLE_TIMEOUT,
            RemainingRequests::One => REQUEST_READ_TIMEOUT,
        }
    }
}

/// How far a connection has come in closing for the gateway's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownProgress {
    /// It was not asked to.
    NotRequested,
    /// Bytes were found that the parser has not seen, and it is polled once more.
    ParsingReceived,
    /// The HTTP protocol was asked to end.
    Handled,
}

/// What happened on a connection that is being served.
enum Event {
    /// The HTTP protocol ended: by an error, or after the last response.
    HttpEnded(hyper::Result<()>),
    ClientClosed,
    EvictionRequested,
    FirstRequestTimeout,
    ShutdownRequested,
}

/// What follows an [`Event`].
enum Step {
    /// Go on serving.
    Continue,
    /// Close without a further response.
    Close(CloseReason),
    /// Close after the response to the open request.
    CloseAfterResponse(CloseReason),
}

/// Runs the HTTP protocol on a connection, and handles what happens beside it.
pub(super) struct RequestLoop<'a> {
    server: &'a mut ConnectionServer,
    http: http1::Connection<ClientStream, RequestService>,
    first_request_timeout: Pin<Box<Sleep>>,
    /// The extra time for a first request head was granted.
    grace_granted: bool,
    shutdown: ShutdownProgress,
    /// Holds once the HTTP protocol has ended without an error.
    close_reason: CloseReason,
}

impl<'a> RequestLoop<'a> {
    /// A loop over the requests of a connection, for as many as are wanted.
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
            close_reason: CloseReason::LastResponse,
        }
    }

    /// Serves requests until no further one is read; bytes that were not parsed are put back into the stream.
    pub async fn run(mut self) -> CloseReason {
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
        if reason != CloseReason::ClientClosed {
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
            result = poll_fn(|cx| http.poll_without_shutdown(cx)) => Event::HttpEnded(result),
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
                tracing::debug!(client = %self.client(), %error, "client connection failed");
                Step::Close(CloseReason::LastResponse)
            }
            Event::ClientClosed => {
                tracing::debug!(client = %self.client(), "client closed its connection with a request open");
                Step::Close(CloseReason::ClientClosed)
            }
            Event::EvictionRequested => self.eviction_requested(),
            Event::FirstRequestTimeout => self.first_request_timed_out(),
            Event::ShutdownRequested => self.shutdown_requested(),
        }
    }

    /// What has arrived by now is answered first; another connection is evicted instead.
    fn eviction_requested(&self) -> Step {
        let connection = &self.server.connection;
        if connection.has_request() || self.server.stream.has_unparsed_bytes() {
            connection.cancel_eviction();
            return Step::Continue;
        }
        tracing::debug!(client = %self.client(), "client connection evicted");
        if connection.awaits_first_request() {
            return Step::Close(CloseReason::EvictedUnserved);
        }
        Step::CloseAfterResponse(CloseReason::Evicted)
    }

    /// Bytes that arrived while this process had no processor time are still parsed; the extra time for it is granted once.
    fn first_request_timed_out(&mut self) -> Step {
        let has_no_request = self.server.connection.awaits_first_request();
        if has_no_request && (self.grace_granted || !self.server.stream.has_unparsed_bytes()) {
            tracing::debug!(client = %self.client(), "silent client connection closed");
            return Step::Close(CloseReason::Silent);
        }
        self.grace_granted = true;
        self.first_request_timeout
            .as_mut()
            .reset(Instant::now() + UNPARSED_HEAD_GRACE);
        Step::Continue
    }

    /// A request that arrived before the shutdown is parsed first: the parser is polled once more.
    fn shutdown_requested(&mut self) -> Step {
        let has_request = self.server.connection.has_request();
        if self.shutdown == ShutdownProgress::NotRequested
            && !has_request
            && self.server.stream.has_unparsed_bytes()
        {
            self.shutdown = ShutdownProgress::ParsingReceived;
            return Step::Continue;
        }
        self.shutdown = ShutdownProgress::Handled;
        let reason = match has_request {
            true => CloseReason::LastResponse,
            false => CloseReason::Shutdown,
        };
        Step::CloseAfterResponse(reason)
    }

    fn client(&self) -> std::net::IpAddr {
        self.server.client.0
    }
}

/// Hands the requests of one connection to the router, and marks the connection active while one is open.
struct RequestService {
    stream: StreamHandle,
    client: ClientAddress,
    router: Router,
    connection: Arc<ClientConnection>,
}

impl RequestService {
    fn new(server: &ConnectionServer) -> Self {
        RequestService {
            stream: server.stream.clone(),
            client: server.client,
            router: server.router.clone(),
            connection: server.connection.clone(),
        }
    }
}

impl hyper::service::Service<Request<Incoming>> for RequestService {
    type Response = Response;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response, Infallible>> + Send>>;

    fn call(&self, mut request: Request<Incoming>) -> Self::Future {
        request.extensions_mut().insert(self.stream.clone());
        request.extensions_mut().insert(self.client);
        let response = self.router.clone().call(request);
        let connection = self.connection.clone();
        connection.request_started();
        Box::pin(async move {
            let response = response.await;
            connection.response_ready();
            response
        })
    }
}
