//! Connection stage: accepts client connections, and starts a task for each that serves it.

use super::connection::ConnectionServer;
use super::ClientAddress;
use crate::http::client_connections::ClientConnections;
use crate::http::client_stream::StreamHandle;
use crate::supervision::{Supervisor, Task};
use crate::system::os_error;
use crate::system::socket::accept_now;
use axum::Router;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::coop::unconstrained;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Pause after a repeated accept error for lack of resources, since the next accept would fail as well. Descriptors
/// become free as connections close.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Handle to [`Acceptor`], for waiting until no connection is left in the system's accept queue.
pub struct AcceptQueue {
    drain_requests: mpsc::Sender<DrainRequest>,
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
    /// Whether the last accept failed.
    has_failed: bool,
}

/// Event for the acceptor.
enum Event {
    /// A connection was accepted, or accepting one failed.
    Accepted(io::Result<(TcpStream, SocketAddr)>),
    DrainRequested(DrainRequest),
    /// No more connections are to be accepted, and none waits.
    Stopped,
}

impl Acceptor {
    /// Returns an acceptor and the handle to its accept queue. When `close_connections` is set, connections are closed
    /// after any open request.
    pub fn new(
        router: Router,
        connections: Arc<ClientConnections>,
        close_connections: watch::Receiver<bool>,
        supervisor: Supervisor,
    ) -> (Acceptor, AcceptQueue) {
        let (sender, drain_requests) = mpsc::channel(1);
        let acceptor = Acceptor {
            router,
            connections,
            close_connections,
            supervisor,
            drain_requests,
            next_number: 0,
            has_failed: false,
        };
        let accept_queue = AcceptQueue {
            drain_requests: sender,
        };
        (acceptor, accept_queue)
    }

    /// Accepts connections. Returns once `stop_accepting` is set and no connection waits to be accepted.
    pub async fn run(mut self, listener: &TcpListener, mut stop_accepting: watch::Receiver<bool>) {
        loop {
            match self.next_event(listener, &mut stop_accepting).await {
                Event::Accepted(accepted) => self.accepted(accepted).await,
                Event::DrainRequested(request) => {
                    self.drain(listener).await;
                    drop(request);
                }
                Event::Stopped => return,
            }
        }
    }

    async fn next_event(
        &mut self,
        listener: &TcpListener,
        stop_accepting: &mut watch::Receiver<bool>,
    ) -> Event {
        loop {
            if *stop_accepting.borrow_and_update() {
                yield_now().await;
                return tokio::select! {
                    biased;
                    // `unconstrained` is needed because a task that has used up its cooperative budget is told that no
                    // connection waits, even if one does.
                    accepted = unconstrained(listener.accept()) => Event::Accepted(accepted),
                    () = std::future::ready(()) => Event::Stopped,
                };
            }
            tokio::select! {
                biased;
                accepted = listener.accept() => return Event::Accepted(accepted),
                Some(request) = self.drain_requests.recv() => return Event::DrainRequested(request),
                Ok(()) = stop_accepting.changed() => {}
            }
        }
    }

    /// Accepts all connections that wait. Asks the system, since the runtime learns of a new connection only at its
    /// next poll.
    async fn drain(&mut self, listener: &TcpListener) {
        while let Some(accepted) = accept_now(listener) {
            self.accepted(accepted).await;
        }
    }

    /// Serves an accepted connection, or handles the error of an accept. A panic costs this connection alone.
    async fn accepted(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let supervisor = self.supervisor.clone();
        // The supervisor has recorded a panic, and there is nothing left of the connection.
        let _ = supervisor
            .watch(Task::Accept, self.serve_or_log(accepted))
            .await;
    }

    async fn serve_or_log(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let error = match accepted {
            Ok((stream, address)) => {
                self.has_failed = false;
                return self.serve(stream, address).await;
            }
            Err(error) => error,
        };
        self.supervisor.metrics().accept_failed();
        if !self.has_failed {
            self.has_failed = true;
            tracing::warn!(%error, "accepting a client connection failed; repeats are not logged until one succeeds");
        } else if os_error::needs_accept_pause(&error) {
            sleep(ACCEPT_RETRY_PAUSE).await;
        }
    }

    /// Waits for a slot, then starts the task that serves the connection.
    async fn serve(&mut self, stream: TcpStream, address: SocketAddr) {
        let stream = StreamHandle::new(stream);
        let connection = self
            .connections
            .acquire(self.next_number, stream.clone())
            .await;
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
}
