use super::*;
use std::time::Duration;
use tokio::time::timeout;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test]
async fn queue_is_empty_until_a_client_connects_and_after_its_connection_is_accepted() {
    let listener = Listener::bind(loopback()).unwrap();
    assert!(listener.accept_now().unwrap().is_none());
    assert!(!listener.has_waiting_connection());
    let client = TcpStream::connect(listener.local_address().unwrap()).unwrap();
    let readable = timeout(Duration::from_secs(2), listener.readable()).await;
    readable
        .expect("the client has connected")
        .unwrap()
        .clear_ready();
    assert!(listener.has_waiting_connection());
    let (_, address) = listener.accept_now().unwrap().expect("a connection");
    assert_eq!(address, client.local_addr().unwrap());
    assert!(!listener.has_waiting_connection());
    assert!(listener.accept_now().unwrap().is_none());
}
