//! Connection stage: accepts client connections, and starts a task for each that serves it.

mod refusal;

use super::connection::ConnectionServer;
use super::ClientAddress;
use crate::http::client_connections::ClientConnections;
use crate::http::client_stream::{AcceptDelay, StreamHandle};
use crate::supervision::{Supervisor, Task};
use crate::system::listener::{AcceptedStream, Listener, BACKLOG};
use crate::system::os_error;
use crate::system::socket::Socket;
use crate::system::watched_socket::UnwatchedSocket;
use axum::Router;
use std::future::ready;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::unix::AsyncFdReadyGuard;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Pause before a repeated accept error for lack of resources, since the next accept would fail as well. Descriptors
/// become free as connections close.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Number of accepts in a row that may fail for another reason before there is a pause as well.
const MAX_IMMEDIATE_RETRIES: u32 = 32;
/// Number of connections after which other tasks run before the next one is accepted.
const ACCEPTS_PER_TURN: u32 = 64;

/// Reason for which connections stay in the accept queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptState {
    /// Connections are accepted as they come.
    Accepting,
    /// No slot is free for a connection that was accepted.
    WaitingForSlot,
    /// The system does not let the gateway accept or watch connections, at least one of which waits.
    Failing,
    /// As `Failing`, for longer than any query allows.
    FailingForLong,
}

/// Handle to [`Acceptor`], for waiting until no connection is left in the system's accept queue.
pub struct AcceptQueue {
    drain_requests: mpsc::Sender<DrainRequest>,
    state: watch::Receiver<AcceptState>,
}

/// Asks the acceptor to accept all connections that wait. It drops the request when it has done so.
struct DrainRequest {
    _done: oneshot::Sender<()>,
}

impl AcceptQueue {
    /// Waits until each connection that is in the accept queue now is accepted. Returns at once if the gateway accepts
    /// no more connections.
    pub async fn drain(&self) {
        let (sender, done) = oneshot::channel();
        let request = DrainRequest { _done: sender };
        // An error of either call means that the request was dropped: the queue is drained, or the acceptor has ended.
        if self.drain_requests.send(request).await.is_ok() {
            let _ = done.await;
        }
    }

    /// The reason for which connections stay in the queue now.
    pub fn state(&self) -> AcceptState {
        *self.state.borrow()
    }
}

/// Accepts client connections, and serves each in a task of its own.
pub struct Acceptor {
    router: Router,
    connections: Arc<ClientConnections>,
    /// Once set, the tasks close their connections after any open request.
    close_connections: watch::Receiver<bool>,
    supervisor: Supervisor,
    drain_requests: mpsc::Receiver<DrainRequest>,
    /// Number of the next connection.
    next_number: u64,
    state: watch::Sender<AcceptState>,
    /// Number of accepts in a row that have failed.
    failures: u32,
    /// Number of pauses after failures since a connection was last accepted and watched.
    pauses: u32,
    /// Number of pauses after which failures count as lasting.
    max_pauses: u32,
    /// Time at which the accept queue was last empty.
    queue_empty_at: Instant,
    /// Time since which connections have not been accepted as they came; `None` if they are.
    delayed_since: Option<Instant>,
}

/// Event for the acceptor.
enum Event<'a> {
    /// Connections may wait.
    Readable(AsyncFdReadyGuard<'a, TcpListener>),
    DrainRequested(DrainRequest),
    /// No more connections are to be accepted but those that wait.
    Stopped,
}

/// Result of accepting connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueueState {
    Empty,
    MayHaveMore,
}

impl Acceptor {
    /// Returns an acceptor and the handle to its accept queue. When `close_connections` is set, connections are closed
    /// after any open request. Failures of accepts count as lasting after `longest_deadline`, the longest time that a
    /// query allows.
    pub fn new(
        router: Router,
        connections: Arc<ClientConnections>,
        close_connections: watch::Receiver<bool>,
        supervisor: Supervisor,
        longest_deadline: Duration,
    ) -> (Acceptor, AcceptQueue) {
        let (sender, drain_requests) = mpsc::channel(1);
        let (state, state_receiver) = watch::channel(AcceptState::Accepting);
        let max_pauses = longest_deadline.as_millis() / ACCEPT_RETRY_PAUSE.as_millis();
        let acceptor = Acceptor {
            router,
            connections,
            close_connections,
            supervisor,
            drain_requests,
            next_number: 0,
            state,
            failures: 0,
            pauses: 0,
            max_pauses: u32::try_from(max_pauses).unwrap_or(u32::MAX),
            queue_empty_at: Instant::now(),
            delayed_since: None,
        };
        let accept_queue = AcceptQueue {
            drain_requests: sender,
            state: state_receiver,
        };
        (acceptor, accept_queue)
    }

    /// Accepts connections. Returns once `stop_accepting` is set and no connection waits to be accepted.
    pub async fn run(mut self, listener: &Listener, mut stop_accepting: watch::Receiver<bool>) {
        loop {
            match self.next_event(listener, &mut stop_accepting).await {
                Event::Readable(mut readiness) => {
                    if self.accept_up_to(ACCEPTS_PER_TURN, listener).await == QueueState::Empty {
                        readiness.clear_ready();
                    }
                }
                Event::DrainRequested(request) => {
                    // The system hands connections out in the order in which they came.
                    self.accept_up_to(BACKLOG + 1, listener).await;
                    drop(request);
                }
                Event::Stopped => {
                    while self.accept_up_to(BACKLOG, listener).await != QueueState::Empty {}
                    return;
                }
            }
        }
    }

    async fn next_event<'a>(
        &mut self,
        listener: &'a Listener,
        stop_accepting: &mut watch::Receiver<bool>,
    ) -> Event<'a> {
        loop {
            if *stop_accepting.borrow_and_update() {
                yield_now().await;
                return Event::Stopped;
            }
            tokio::select! {
                biased;
                Some(request) = self.drain_requests.recv() => return Event::DrainRequested(request),
                Ok(readiness) = listener.readable() => return Event::Readable(readiness),
                Ok(()) = stop_accepting.changed() => {}
            }
        }
    }

    /// Accepts connections until none waits, `count` at most. Repeats calls that fail as long as a connection waits.
    async fn accept_up_to(&mut self, count: u32, listener: &Listener) -> QueueState {
        let mut accepted = 0;
        while accepted < count {
            let called_at = Instant::now();
            match listener.accept_now() {
                Ok(None) => {
                    self.queue_was_empty(called_at);
                    return QueueState::Empty;
                }
                Ok(Some(stream)) => {
                    self.accepted(stream).await;
                    accepted += 1;
                    if accepted % ACCEPTS_PER_TURN == 0 {
                        yield_now().await;
                    }
                }
                Err(error) => {
                    self.record_failure(&error);
                    if !listener.has_waiting_connection() {
                        self.queue_was_empty(called_at);
                        return QueueState::Empty;
                    }
                    self.pause_after_failure(&error).await;
                }
            }
        }
        QueueState::MayHaveMore
    }

    fn queue_was_empty(&mut self, at: Instant) {
        self.queue_empty_at = at;
        self.delayed_since = None;
        self.set_state(AcceptState::Accepting);
    }

    fn set_state(&self, state: AcceptState) {
        self.state.send_if_modified(|current| {
            let is_changed = *current != state;
            *current = state;
            is_changed
        });
    }

    fn record_failure(&mut self, error: &io::Error) {
        self.supervisor.metrics().accept_failed();
        if self.failures == 0 {
            tracing::warn!(%error, "accepting a client connection failed; repeats are not logged until one succeeds");
        }
        self.failures = self.failures.saturating_add(1);
        self.delayed_since.get_or_insert_with(Instant::now);
    }

    /// Lets other tasks run before an accept is repeated. There is a pause unless the call may well succeed at once.
    async fn pause_after_failure(&mut self, error: &io::Error) {
        self.set_state(match self.pauses < self.max_pauses {
            true => AcceptState::Failing,
            false => AcceptState::FailingForLong,
        });
        let is_repeated = self.failures > 1;
        let has_retries_left = self.failures <= MAX_IMMEDIATE_RETRIES;
        if has_retries_left && !(is_repeated && os_error::needs_accept_pause(error)) {
            yield_now().await;
            return;
        }
        self.pauses = self.pauses.saturating_add(1);
        sleep(ACCEPT_RETRY_PAUSE).await;
    }

    /// Serves an accepted connection. A panic costs this connection alone.
    async fn accepted(&mut self, (stream, address): AcceptedStream) {
        let supervisor = self.supervisor.clone();
        // The supervisor has recorded a panic, and there is nothing left of the connection.
        let _ = supervisor
            .watch(Task::Accept, self.serve(stream, address))
            .await;
    }

    /// Waits for a slot, then starts the task that serves the connection.
    async fn serve(&mut self, stream: TcpStream, address: SocketAddr) {
        let Some(socket) = self.register(stream).await else {
            return;
        };
        self.failures = 0;
        self.pauses = 0;
        let delay = AcceptDelay {
            queue_empty_at: self.queue_empty_at,
            delayed_since: self.delayed_since,
        };
        let stream = StreamHandle::new(socket, delay);
        let connections = self.connections.clone();
        let mut acquiring = pin!(connections.acquire(self.next_number, stream.clone()));
        let connection = tokio::select! {
            biased;
            connection = acquiring.as_mut() => connection,
            () = ready(()) => {
                self.set_state(AcceptState::WaitingForSlot);
                self.delayed_since.get_or_insert_with(Instant::now);
                acquiring.await
            }
        };
        self.set_state(AcceptState::Accepting);
        self.next_number += 1;
        stream.read_available();
        self.supervisor.metrics().connection_accepted();
        let server = ConnectionServer::new(
            stream,
            ClientAddress(address.ip().to_canonical()),
            self.router.clone(),
            connection,
            self.close_connections.clone(),
            self.supervisor.clone(),
        );
        self.supervisor.spawn(Task::ClientConnection, server.run());
    }

    /// Registers a connection with the runtime, which the system may not allow for a while. If that lasts, the client is
    /// refused: `None`.
    async fn register(&mut self, stream: TcpStream) -> Option<Socket> {
        let mut stream = stream;
        loop {
            let UnwatchedSocket { socket, error } = match Socket::register(stream) {
                Ok(socket) => return Some(socket),
                Err(unwatched) => unwatched,
            };
            self.record_failure(&error);
            if self.pauses >= self.max_pauses {
                self.set_state(AcceptState::FailingForLong);
                refusal::refuse(socket);
                return None;
            }
            stream = socket;
            self.pause_after_failure(&error).await;
        }
    }
}
