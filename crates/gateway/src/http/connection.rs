//! One client's connection: its calls one after another, and how it is closed.

use super::{Client, FIRST_REQUEST_TIMEOUT};
use crate::http::client_connections::ClientConnection;
use crate::http::client_stream::{ClientStream, Peer};
use axum::body::Body;
use axum::Router;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};
use tower_service::Service;

/// Far above the protocol's 4 s after which clients close idle connections, so that no call crosses ours.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// After the last answer a client has this long to read it and close; what it sends meanwhile is read slowly.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_READ_PAUSE: Duration = Duration::from_millis(20);
const LINGER_READ_BYTES: usize = 4096;
/// More than any head.
const LONGEST_HEAD: usize = 16 << 10;

/// The answer to a call of which only a part has come in its time.
const HALF_A_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\n\
    Content-Length: 36\r\n\r\n{\"error\":\"the call came too slowly\"}";

/// How a connection's calls came to their end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// The client has left: nothing is owed.
    Gone,
    /// No whole head has come in its time; or none yet, and its place is wanted.
    NoHead { evicted: bool },
    /// Its last answer said so, or what it sent is no call.
    Last,
    /// We were to close it, and no call was open.
    Idle,
    /// The same, and its place is wanted.
    Evicted,
}

/// Serves a connection until it ends, says nothing for too long, or is to give way.
pub(super) async fn serve(
    peer: Peer,
    client: Client,
    router: Router,
    guest: ClientConnection,
    mut shut: watch::Receiver<bool>,
) {
    let guest = Arc::new(guest);
    let mut closing = false;
    let evicted = loop {
        let (asks, router, of) = (guest.clone(), router.clone(), peer.clone());
        let service = hyper::service::service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(of.clone());
            request.extensions_mut().insert(client);
            let (asks, answer) = (asks.clone(), router.clone().call(request));
            asks.request_started();
            Box::pin(async move {
                let answer = answer.await;
                asks.became_idle();
                answer
            })
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .max_buf_size(LONGEST_HEAD)
            .keep_alive(!closing);
        builder.header_read_timeout(if closing {
            FIRST_REQUEST_TIMEOUT
        } else {
            IDLE_TIMEOUT
        });
        let mut connection = builder.serve_connection(peer.stream(), service);
        let close = serve_requests(&mut connection, &peer, &guest, client, &mut shut).await;
        if close == Close::Gone {
            return;
        }
        let evicted = close == Close::Evicted;
        let rest = connection.into_parts().read_buf;
        peer.unread(&rest);
        if let Close::NoHead { evicted } = close {
            if peer.has_unread() {
                refuse_half_a_head(&peer, evicted).await;
            }
            return;
        }
        // A call that had begun to come before we close is still taken, as the last.
        if closing || close == Close::Last || !peer.has_unread() {
            break evicted;
        }
        closing = true;
    };
    peer.shut();
    if !evicted {
        guest.client_closed();
        tokio::select! {
            () = linger(&peer) => {}
            () = guest.leave.notified() => {}
        }
    }
    peer.discard();
}

/// Answers a connection's calls, one after another.
async fn serve_requests<S>(
    connection: &mut http1::Connection<ClientStream, S>,
    peer: &Peer,
    guest: &ClientConnection,
    client: Client,
    shut: &mut watch::Receiver<bool>,
) -> Close
where
    S: hyper::service::HttpService<Incoming, ResBody = Body> + Unpin,
    S::Future: Unpin,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let first_call = sleep(FIRST_REQUEST_TIMEOUT);
    tokio::pin!(first_call);
    let (mut looked, mut told, mut granted) = (false, false, false);
    let mut close = Close::Last;
    loop {
        tokio::select! {
            biased;
            end = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {
                if let Err(fault) = end {
                    tracing::debug!(%fault, "a client's connection ended");
                    return Close::Last;
                }
                return close;
            }
            () = peer.left(|| guest.has_request()) => {
                tracing::debug!(client = ?client.0, "a client has left");
                return Close::Gone;
            }
            () = guest.leave.notified() => {
                // What has come by now is answered first, and another gives way.
                if guest.has_request() || peer.has_unread() {
                    guest.keep_open();
                    continue;
                }
                tracing::debug!(client = ?client.0, "a connection gives way");
                if guest.sent_nothing() {
                    return Close::NoHead { evicted: true };
                }
                close = Close::Evicted;
                Pin::new(&mut *connection).graceful_shutdown();
            }
            () = &mut first_call, if guest.sent_nothing() && !first_call.is_elapsed() => {
                if guest.sent_nothing() && (granted || !peer.has_unread()) {
                    tracing::debug!(client = ?client.0, "a silent connection is closed");
                    return Close::NoHead { evicted: false };
                }
                // What had come while this process had no processor time is still read, but once.
                granted = true;
                first_call.as_mut().reset(Instant::now() + LINGER_READ_PAUSE);
            }
            Ok(_) = shut.wait_for(|shut| *shut), if !told => {
                // A call that came before is read before the connection is told to end.
                if !looked && !guest.has_request() && peer.has_unread() {
                    looked = true;
                    continue;
                }
                told = true;
                close = if guest.has_request() { Close::Last } else { Close::Idle };
                Pin::new(&mut *connection).graceful_shutdown();
            }
        }
    }
}

/// A client that writes slowly is told that its call was not read: the rest of it may cross our close.
async fn refuse_half_a_head(peer: &Peer, evicted: bool) {
    let mut stream = TokioIo::new(peer.stream());
    // Whoever does not read it hears of the close.
    let _ = timeout(LINGER_TIMEOUT, stream.write_all(HALF_A_HEAD)).await;
    peer.shut();
    if !evicted {
        linger(peer).await;
    }
    peer.discard();
}

/// Lets a client that is still sending read its answer: closed with bytes unread, the connection would be reset
/// and the answer lost.
async fn linger(peer: &Peer) {
    let mut stream = TokioIo::new(peer.stream());
    let mut rest = [0; LINGER_READ_BYTES];
    let all = async {
        while let Ok(1..) = stream.read(&mut rest).await {
            sleep(LINGER_READ_PAUSE).await;
        }
    };
    // Whoever goes on sending is cut off.
    let _ = timeout(LINGER_TIMEOUT, all).await;
}
