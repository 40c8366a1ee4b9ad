use super::*;
use crate::http::accept::Acceptor;
use crate::http::client_connections::ClientConnections;
use crate::system::listener::Listener;
use axum::body::Body;
use axum::routing::post;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Serves a router on a loopback address. Returns the address and the supervisor with the counters.
async fn serve(router: Router) -> (SocketAddr, Supervisor) {
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_address().unwrap();
    let supervisor = Supervisor::default();
    let connections = ClientConnections::new(Arc::new(Semaphore::new(8)));
    let close_connections = watch::Sender::new(false);
    let (acceptor, _) = Acceptor::new(
        router,
        connections,
        close_connections.subscribe(),
        supervisor.clone(),
        Duration::from_secs(3),
    );
    tokio::spawn(async move {
        let stop = watch::Sender::new(false);
        acceptor.run(&listener, stop.subscribe()).await;
        drop(close_connections);
    });
    (address, supervisor)
}

/// Sends a request and returns all bytes that come until the connection ends.
async fn exchange(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: a\r\nX-Job-Id: 00000000000000a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    let read = stream.read_to_string(&mut response);
    timeout(Duration::from_secs(5), read)
        .await
        .unwrap()
        .unwrap();
    response
}

async fn panic_in_handler() -> &'static str {
    panic!("in the handler")
}

/// Its head is still in the encoder's buffer when the body is asked for.
async fn panic_in_body() -> Body {
    Body::new(Full::new(Bytes::from_static(b"rows")).map_frame(|_| panic!("in the body")))
}

#[tokio::test]
async fn request_whose_handler_or_response_panics_is_answered_as_failed() {
    let router = Router::new()
        .route("/v1/handler", post(panic_in_handler))
        .route("/v1/body", post(panic_in_body))
        .route("/v1/good", post(|| async { "served" }));
    let (address, supervisor) = serve(router).await;
    for path in ["/v1/handler", "/v1/body"] {
        let response = exchange(address, path).await;
        assert!(response.starts_with("HTTP/1.1 500 "), "{path}: {response}");
        assert!(
            response.ends_with("\r\n\r\n{\"error\":\"Failed\"}"),
            "{path}: {response}"
        );
    }
    assert!(exchange(address, "/v1/good").await.ends_with("served"));
    let page = supervisor.metrics().render(true).unwrap();
    for line in [
        r#"garnetwall_task_panics_total{task="Request"} 1"#,
        r#"garnetwall_task_panics_total{task="ClientConnection"} 1"#,
        r#"garnetwall_panic_answers_total{answer="Failed"} 1"#,
        r#"garnetwall_client_connections_ended_total{reason="Panicked"} 1"#,
        r#"garnetwall_responses_total{status="500"} 1"#,
    ] {
        assert!(page.lines().any(|found| found == line), "{line}: {page}");
    }
}
