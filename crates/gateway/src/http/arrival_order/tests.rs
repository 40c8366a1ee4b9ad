use super::*;
use crate::http::accept::Acceptor;
use crate::http::client_stream::test_streams::accepted_stream;
use crate::http::client_stream::StreamHandle;
use crate::supervision::Supervisor;
use std::future::pending;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinHandle;

/// Requests that wait for their turn, and the order in which they had it.
#[derive(Clone, Default)]
struct Requests {
    order: Arc<ArrivalOrder>,
    had_turn: Arc<Mutex<Vec<&'static str>>>,
}

impl Requests {
    /// Lets a request wait that arrived at `arrived_at`. It keeps its turn over some polls of other tasks.
    async fn wait(&self, name: &'static str, arrived_at: Instant) -> JoinHandle<()> {
        let requests = self.clone();
        let waiting = tokio::spawn(async move {
            let turn = requests.order.turn(arrived_at, pending()).await.unwrap();
            requests.had_turn.lock().unwrap().push(name);
            yield_now().await;
            requests.had_turn.lock().unwrap().push(name);
            drop(turn);
        });
        yield_now().await;
        waiting
    }

    fn had_turn(&self) -> Vec<&'static str> {
        self.had_turn.lock().unwrap().clone()
    }
}

#[tokio::test]
async fn turns_are_granted_one_by_one_in_order_of_arrival() {
    let requests = Requests::default();
    let now = Instant::now();
    let (early, middle) = (
        now - Duration::from_millis(60),
        now - Duration::from_millis(30),
    );
    requests.wait("middle", middle).await;
    requests.wait("late", now).await;
    requests.wait("early", early).await;
    requests.wait("middle again", middle).await;
    requests.order.grant_until(middle).await;
    let expected = ["early", "middle", "middle again"].map(|name| [name, name]);
    assert_eq!(requests.had_turn(), expected.concat());
    requests.order.grant_until(now).await;
    assert_eq!(requests.had_turn().last(), Some(&"late"));
}

#[tokio::test]
async fn request_whose_handler_is_dropped_does_not_hold_up_the_others() {
    let requests = Requests::default();
    let now = Instant::now();
    let left = requests.wait("left", now - Duration::from_millis(60)).await;
    requests.wait("stayed", now).await;
    left.abort();
    yield_now().await;
    requests.order.grant_until(now).await;
    assert_eq!(requests.had_turn(), ["stayed", "stayed"]);
}

/// A registered connection on which a part of a request has arrived. Its task does not run, so the bytes stay unread
/// until the test says that the request was received.
struct UnreadConnection {
    connections: Arc<ClientConnections>,
    stream: StreamHandle,
    _client: TcpStream,
    _registration: crate::http::client_connections::ClientConnection,
}

impl UnreadConnection {
    async fn open() -> UnreadConnection {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap());
        let (accepted, client) = tokio::join!(listener.accept(), client);
        let mut client = client.unwrap();
        let stream = accepted_stream(accepted.unwrap().0);
        client.write_all(b"POST").await.unwrap();
        let connections = ClientConnections::new(Arc::new(Semaphore::new(1)));
        let registration = connections.acquire(0, stream.clone()).await;
        UnreadConnection {
            connections,
            stream,
            _client: client,
            _registration: registration,
        }
    }

    /// Starts to catch up, with an accept queue that is empty.
    fn start_catching_up(&self) -> JoinHandle<()> {
        let connections = self.connections.clone();
        let (acceptor, accept_queue) = Acceptor::new(
            axum::Router::new(),
            connections.clone(),
            watch::Sender::new(false).subscribe(),
            Supervisor::default(),
            Duration::from_secs(3),
        );
        drop(acceptor);
        tokio::spawn(async move { catch_up(&accept_queue, &connections).await })
    }
}

#[tokio::test]
async fn stall_while_the_gateway_catches_up_does_not_end_the_wait() {
    let unread = UnreadConnection::open().await;
    let catching_up = unread.start_catching_up();
    for _ in 0..3 {
        sleep(Duration::from_millis(2)).await;
        std::thread::sleep(Duration::from_millis(150));
    }
    sleep(Duration::from_millis(2)).await;
    assert!(!catching_up.is_finished(), "the request is still unread");
    unread.stream.request_received();
    catching_up.await.unwrap();
}

#[tokio::test]
async fn connection_that_is_never_read_holds_up_the_others_for_a_limited_time() {
    let unread = UnreadConnection::open().await;
    let catching_up = unread.start_catching_up();
    timeout(Duration::from_secs(2), catching_up)
        .await
        .expect("the wait should end")
        .unwrap();
}

#[tokio::test]
async fn request_that_is_given_up_leaves_its_place() {
    let order = ArrivalOrder::default();
    let turn = order.turn(Instant::now(), sleep(Duration::from_millis(5)));
    assert_eq!(turn.await.err(), Some(TurnError::NotKnownToBeNext));
    assert!(order.is_empty());
}
