use super::*;
use crate::http::client_stream::test_streams::accepted_stream;
use std::io::Write as _;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio::time::timeout;

/// The check reads the bytes before the runtime learns of them. The system does not report the socket readable then, so
/// that nothing else wakes the connection's task.
#[tokio::test]
async fn check_for_an_unread_request_wakes_the_task_that_parses_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = accepted_stream(listener.accept().await.unwrap().0);
    let parsing = tokio::spawn({
        let stream = stream.clone();
        async move {
            let mut parser = TokioIo::new(stream.stream());
            let mut bytes = [0; 4];
            tokio::select! {
                biased;
                read = parser.read_exact(&mut bytes) => read.map(|_| bytes),
                () = stream.closed_by_client(|| false) => unreachable!("the stream is not watched"),
            }
        }
    });
    yield_now().await;
    assert!(!stream.has_unread_request());
    client.write_all(b"POST").unwrap();
    assert!(stream.has_unread_request());
    let parsed = timeout(Duration::from_secs(2), parsing).await;
    assert_eq!(
        parsed.expect("the task should be woken").unwrap().unwrap(),
        *b"POST"
    );
    assert!(!stream.has_unread_request());
}
