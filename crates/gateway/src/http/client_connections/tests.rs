use super::*;
use crate::http::client_stream::test_streams::accepted_stream;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Connects a client; returns the connection as the gateway accepts it, and the client's side.
async fn connected_client() -> (StreamHandle, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap());
    let (accepted, client) = tokio::join!(listener.accept(), client);
    (accepted_stream(accepted.unwrap().0), client.unwrap())
}

/// Registers the connection of a client that sends nothing.
async fn acquire(connections: &Arc<ClientConnections>, number: u64) -> ClientConnection {
    let (stream, _) = connected_client().await;
    connections.acquire(number, stream).await
}

#[tokio::test]
async fn silent_connections_are_evicted_before_idle_ones_and_active_ones_never() {
    let connections = ClientConnections::new(Arc::new(Semaphore::new(3)));
    let (active, idle, silent) = (
        acquire(&connections, 1).await,
        acquire(&connections, 2).await,
        acquire(&connections, 3).await,
    );
    active.request_started();
    idle.request_started();
    idle.response_ready();
    connections.entries().get_mut(&3).unwrap().state_since -= NEW_CONNECTION_GRACE * 2;
    let acquiring = tokio::spawn({
        let connections = connections.clone();
        async move {
            (
                acquire(&connections, 4).await,
                acquire(&connections, 5).await,
            )
        }
    });
    silent.eviction.notified().await;
    drop(silent);
    idle.eviction.notified().await;
    drop(idle);
    let (fourth, fifth) = acquiring.await.unwrap();
    fourth.request_started();
    fifth.request_started();
    let last = tokio::spawn({
        let connections = connections.clone();
        async move { acquire(&connections, 6).await }
    });
    tokio::task::yield_now().await;
    assert!(
        connections
            .entries()
            .values()
            .all(|entry| entry.eviction_requested_at.is_none()),
        "no active connection is asked to close"
    );
    fourth.response_ready();
    fourth.eviction.notified().await;
    drop(fourth);
    assert!(last.await.unwrap().awaits_first_request());
}

#[tokio::test]
async fn connection_has_an_unread_request_from_its_first_bytes_until_it_is_received_or_the_connection_closes(
) {
    let connections = ClientConnections::new(Arc::new(Semaphore::new(2)));
    let (stream, mut client) = connected_client().await;
    let silent = acquire(&connections, 1).await;
    let connection = connections.acquire(2, stream.clone()).await;
    assert!(connections.with_unread_requests().is_empty());
    client.write_all(b"POST").await.unwrap();
    assert_eq!(connections.with_unread_requests(), [2]);
    stream.request_received();
    assert!(!connections.has_unread_request(2), "a request is open");
    stream.response_ready();
    assert!(connections.has_unread_request(2));
    connection.started_closing();
    assert!(!connections.has_unread_request(2), "no request is read");
    drop((silent, connection));
    assert!(!connections.has_unread_request(2), "closed");
}
