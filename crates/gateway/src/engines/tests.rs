use super::test_clients::ConnectedClient;
use super::*;
use crate::discovery::{EngineEntry, Event};
use crate::system::clock::Clock;
use crate::system::resource_budget::ResourceLimits;
use bytes::Bytes;
use garnetwall::api::{EndpointState, ListScope};
use http::HeaderValue;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

fn engine_entry(id: &str, state: EndpointState) -> EngineEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    EngineEntry {
        name: id.into(),
        address,
        zone: 0,
        kind: 0,
        cell: 0,
        started_at_unix: None,
        state,
    }
}

/// An engine that accepts connections and never responds.
struct SilentEngine {
    listener: tokio::net::TcpListener,
    engines: Engines,
    budget: ResourceBudget,
}

impl SilentEngine {
    async fn start() -> SilentEngine {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let budget = ResourceBudget::from_limits(ResourceLimits {
            descriptors: 64,
            memory_mb: 64,
            max_result_bytes: result_rows::MAX_RESULT_BYTES,
        });
        let list = Arc::new(EngineList::new(
            endpoint_retention(5.0),
            Clock::start(),
            None,
        ));
        let engines = Engines::new(
            NetworkTimeouts {
                connect_timeout: 2.0,
                idle_timeout: 15.0,
            },
            0.0,
            &budget,
            5.0,
            list,
            Supervisor::default(),
        );
        let silent = SilentEngine {
            listener,
            engines,
            budget,
        };
        silent.set_state(EndpointState::Ready);
        silent
    }

    fn set_state(&self, state: EndpointState) {
        let address = self.listener.local_addr().unwrap();
        let entries = vec![EngineEntry {
            address,
            ..engine_entry("a", state)
        }];
        self.engines.list.apply(Event {
            number: 1,
            scope: ListScope::Full,
            entries,
        });
    }

    /// Takes all permits of the budget for connections to engines.
    async fn take_all_permits(&self) -> tokio::sync::OwnedSemaphorePermit {
        let all = self.budget.engine_connections.available_permits() as u32;
        self.budget
            .engine_connections
            .clone()
            .acquire_many_owned(all)
            .await
            .unwrap()
    }

    async fn run_attempt(
        &self,
        start: AttemptStart,
        cancellation: watch::Receiver<CancellationState>,
    ) -> AttemptResult {
        let events = AttemptEvents {
            unknown_outcome: watch::channel(None).0,
            progress: watch::channel(None).0,
        };
        let value = HeaderValue::from_static;
        let statement = Statement::Complete(Bytes::from_static(b"SELECT 1"));
        let query = ForwardedQuery {
            query_key: value("a1"),
            class: value("report"),
            idempotency_key: None,
            in_order: false,
            statement,
        };
        let target = self.engines.target(0).unwrap();
        self.engines
            .run_attempt(target, &query, start, cancellation, events)
            .await
    }

    /// Number of bytes that arrive on the first connection; 0 if none is opened within 100 ms.
    async fn received_bytes(&self) -> usize {
        let Ok(Ok((mut stream, _))) =
            timeout(Duration::from_millis(100), self.listener.accept()).await
        else {
            return 0;
        };
        let mut received = Vec::new();
        let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut received).await;
        received.len()
    }
}

fn start() -> AttemptStart {
    let deadline = Instant::now() + Duration::from_secs(3);
    AttemptStart {
        is_retry: true,
        response_deadline: deadline,
        send_deadline: deadline,
        client_presence: ClientPresence::of(Arc::new(ConnectedClient)),
    }
}

/// A retry waits for a connection permit and gets it only after its query was answered.
#[tokio::test]
async fn request_is_not_sent_if_its_query_is_answered_before_it_gets_a_connection() {
    let silent = SilentEngine::start().await;
    let permits = silent.take_all_permits().await;
    let (cancel, cancellation) = watch::channel(CancellationState::NotRequested);
    let answer = async {
        sleep(Duration::from_millis(30)).await;
        cancel.send_replace(CancellationState::QueryFinished);
        drop(permits);
    };
    let (result, ()) = tokio::join!(silent.run_attempt(start(), cancellation), answer);
    assert_eq!(result.end, AttemptEnd::NotNeeded);
    assert_eq!(silent.received_bytes().await, 0);
}

/// The client has disconnected but may reconnect, so the query has not ended. Nothing is sent meanwhile.
#[tokio::test]
async fn request_is_not_sent_if_its_client_disconnects_before_it_gets_a_connection() {
    let silent = SilentEngine::start().await;
    let permits = silent.take_all_permits().await;
    let (_cancel, cancellation) = watch::channel(CancellationState::NotRequested);
    let start = start();
    let client_presence = start.client_presence.clone();
    let leave = async {
        sleep(Duration::from_millis(30)).await;
        client_presence.client_disconnected();
        drop(permits);
    };
    let (result, ()) = tokio::join!(silent.run_attempt(start, cancellation), leave);
    assert_eq!(
        result.end,
        AttemptEnd::NotNeeded,
        "a disconnected client says nothing about the engine"
    );
    assert_eq!(silent.received_bytes().await, 0);
}

/// A client whose connection has ended, which the scheduler does not know yet.
struct LeftClient;

impl WaitingClient for LeftClient {
    fn may_have_left(&self) -> bool {
        true
    }

    fn is_closed(&self) -> bool {
        false
    }
}

#[tokio::test]
async fn request_is_not_sent_if_the_connection_of_its_client_has_ended() {
    let silent = SilentEngine::start().await;
    let (_cancel, cancellation) = watch::channel(CancellationState::NotRequested);
    let start = AttemptStart {
        client_presence: ClientPresence::of(Arc::new(LeftClient)),
        ..start()
    };
    let result = silent.run_attempt(start, cancellation).await;
    assert_eq!(result.end, AttemptEnd::NotNeeded);
    assert_eq!(silent.received_bytes().await, 0);
}

/// The send deadline passes before a connection is established.
#[tokio::test]
async fn request_is_not_sent_after_its_send_deadline() {
    let silent = SilentEngine::start().await;
    let permits = silent.take_all_permits().await;
    let (_cancel, cancellation) = watch::channel(CancellationState::NotRequested);
    let began = Instant::now();
    let start = AttemptStart {
        send_deadline: began + Duration::from_millis(60),
        ..start()
    };
    let free_permits = async {
        sleep(Duration::from_millis(150)).await;
        drop(permits);
    };
    let (result, ()) = tokio::join!(silent.run_attempt(start, cancellation), free_permits);
    assert_eq!(result.end, AttemptEnd::ConnectFailed);
    assert_eq!(silent.received_bytes().await, 0);
}

/// The engine starts to drain, or leaves the endpoint list, before a connection is established.
#[tokio::test]
async fn request_is_not_sent_to_an_engine_that_drains_or_leaves_before_its_first_byte() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let silent = SilentEngine::start().await;
        let permits = silent.take_all_permits().await;
        let (_cancel, cancellation) = watch::channel(CancellationState::NotRequested);
        let drain = async {
            sleep(Duration::from_millis(30)).await;
            silent.set_state(state);
            drop(permits);
        };
        let (result, ()) = tokio::join!(silent.run_attempt(start(), cancellation), drain);
        assert_eq!(
            result.end,
            AttemptEnd::ConnectFailed,
            "the query is tried at another engine"
        );
        assert_eq!(silent.received_bytes().await, 0);
    }
}
