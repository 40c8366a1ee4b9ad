//! Connection stage: accepts clients' connections, and starts a task that serves each.

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

/// After repeated errors that the next accept would meet as well: descriptors come free as connections close.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections for as long as it is polled or, once `stop_accepting` is set, until none waits to be accepted. Each is
/// served in a task of its own; `close_connections` asks those tasks to close their connections once no request is open.
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
                tracing::warn!(%error, "accept failed");
            }
            Err(error) if os_error::needs_pause(&error) => sleep(ACCEPT_RETRY_PAUSE).await,
            Err(_) => {}
        }
    }
}

/// The next connection, or the error of accepting it; none if `stop_accepting` is set and none waits.
async fn next_connection(
    listener: &TcpListener,
    stop_accepting: &mut watch::Receiver<bool>,
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    loop {
        if *stop_accepting.borrow_and_update() {
            yield_now().await;
            return tokio::select! {
                biased;
                // With its cooperative budget used up, the listener would look as if no connection waited.
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

/// Polls a task once before it is spawned.
///
/// Queries of one ordering key count in the order in which they arrived, also those that arrived while this process had no
/// processor time. So the request on a new connection is read before later ones on older connections, whose tasks are queued
/// already; a spawned task would be queued behind them.
async fn spawn_polled(task: impl Future<Output = ()> + Send + 'static) {
    let mut task = Box::pin(task);
    let first_poll = poll_fn(|cx| Poll::Ready(task.as_mut().poll(cx))).await;
    if first_poll.is_pending() {
        tokio::spawn(task);
    }
}
