//! Connection stage: accepts client connections, and starts a task for each that serves it.

use super::connection::ConnectionServer;
use super::ClientAddress;
use crate::http::client_connections::ClientConnections;
use crate::http::client_stream::StreamHandle;
use crate::system::os_error;
use axum::Router;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::coop::unconstrained;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Pause after a repeated accept error for lack of resources, since the next accept would fail as well. Descriptors
/// become free as connections close.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections, and serves each in a task of its own. Returns once `stop_accepting` is set and no connection
/// waits to be accepted. When `close_connections` is set, the tasks close their connections after any open request.
pub async fn accept(
    listener: &TcpListener,
    router: &Router,
    connections: &Arc<ClientConnections>,
    mut stop_accepting: watch::Receiver<bool>,
    close_connections: watch::Receiver<bool>,
) {
    let mut has_failed = false;
    for number in 0.. {
        let Some(accepted) = next_connection(listener, &mut stop_accepting).await else {
            return;
        };
        match accepted {
            Ok((stream, address)) => {
                has_failed = false;
                let connection = connections.acquire(number).await;
                let stream = StreamHandle::new(stream);
                stream.read_available();
                let client = ClientAddress(address.ip().to_canonical());
                let server = ConnectionServer::new(
                    stream,
                    client,
                    router.clone(),
                    connection,
                    close_connections.clone(),
                );
                spawn_polled(server.run()).await;
            }
            Err(error) if !has_failed => {
                has_failed = true;
                tracing::warn!(%error, "accepting a client connection failed; repeats are not logged until one succeeds");
            }
            Err(error) if os_error::needs_accept_pause(&error) => sleep(ACCEPT_RETRY_PAUSE).await,
            Err(_) => {}
        }
    }
}

/// Waits for the next connection, and returns it or the accept error. Returns `None` if `stop_accepting` is set and no
/// connection waits to be accepted.
async fn next_connection(
    listener: &TcpListener,
    stop_accepting: &mut watch::Receiver<bool>,
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    loop {
        if *stop_accepting.borrow_and_update() {
            yield_now().await;
            return tokio::select! {
                biased;
                // `unconstrained` is needed because a task that has used up its cooperative budget is told that no
                // connection waits, even if one does.
                accepted = unconstrained(listener.accept()) => Some(accepted),
                () = std::future::ready(()) => None,
            };
        }
        tokio::select! {
            biased;
            accepted = listener.accept() => return Some(accepted),
            Ok(()) = stop_accepting.changed() => {}
        }
    }
}

/// Polls a task once, and spawns it if it has not completed.
///
/// Queries of one ordering key must be admitted in the order in which they arrived, even if they arrived while this
/// process had no processor time. The tasks of older connections may already be in the run queue, and a task that is
/// only spawned would run after them. The poll here reads the request on the new connection before requests that
/// arrived later on older connections.
async fn spawn_polled(task: impl Future<Output = ()> + Send + 'static) {
    let mut task = Box::pin(task);
    let first_poll = poll_fn(|cx| Poll::Ready(task.as_mut().poll(cx))).await;
    if first_poll.is_pending() {
        tokio::spawn(task);
    }
}
