//! Accepts clients' connections.

use super::connection::serve;
use super::Client;
use crate::http::client_connections::ClientConnections;
use crate::http::client_stream::Peer;
use crate::system::os_error;
use axum::Router;
use std::future::{poll_fn, Future};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::coop::unconstrained;
use tokio::task::yield_now;
use tokio::time::sleep;

/// After a fault of accepting that the next would have as well: descriptors come back as clients leave.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections for as long as it is polled, or, once it is `closing`, until none waits to be accepted; each is
/// served in a task of its own.
pub async fn accept(
    listener: &TcpListener,
    router: &Router,
    guests: &Arc<ClientConnections>,
    shut: &watch::Receiver<bool>,
    mut closing: watch::Receiver<bool>,
) {
    let mut failing = false;
    for number in 0.. {
        let accepted = if *closing.borrow_and_update() {
            yield_now().await;
            tokio::select! {
                biased;
                // Its share of a turn must not run out here: that would look as if nobody waited.
                accepted = unconstrained(listener.accept()) => accepted,
                () = std::future::ready(()) => return,
            }
        } else {
            tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                Ok(()) = closing.changed() => continue,
            }
        };
        match accepted {
            Ok((stream, client)) => {
                failing = false;
                let guest = guests.acquire(number).await;
                let peer = Peer::new(stream);
                peer.has_unread();
                let client = Client(client.ip().to_canonical());
                let mut serving =
                    Box::pin(serve(peer, client, router.clone(), guest, shut.clone()));
                // Batches of a key count in the order in which they came, also those that came while this process had
                // no processor time: what a new connection has brought is taken before what came after it on an older
                // one, whose task stands behind this one. A task of its own would stand behind that.
                if poll_fn(|cx| Poll::Ready(serving.as_mut().poll(cx)))
                    .await
                    .is_pending()
                {
                    tokio::spawn(serving);
                }
            }
            Err(fault) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%fault, "a connection could not be accepted");
                } else if os_error::needs_pause(&fault) {
                    // Twice in a row.
                    sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }
}
