use super::*;
use crate::discovery::{EngineEntry, Event};
use crate::scheduling::client_presence::ClientPresence;
use crate::system::clock::Clock;
use bytes::Bytes;
use garnetwall::api::EndpointState;
use http::HeaderValue;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

fn line(id: &str, condition: EndpointState) -> EngineEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    EngineEntry {
        id: id.into(),
        address,
        zone: 0,
        kind: 0,
        cell: 0,
        started_at_unix: None,
        state: condition,
    }
}

/// One engine that listens and never answers, and what reaches it.
struct Silent {
    listener: tokio::net::TcpListener,
    engines: Engines,
    budget: ResourceBudget,
}

impl Silent {
    async fn start() -> Silent {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let budget = ResourceBudget::of(64, 64);
        let list = Arc::new(EngineList::new(
            endpoint_retention(5.0),
            Clock::start(),
            None,
        ));
        let engines = Engines::new(
            Network {
                dial: 2.0,
                idle: 15.0,
            },
            0.0,
            &budget,
            5.0,
            list,
        );
        let silent = Silent {
            listener,
            engines,
            budget,
        };
        silent.lists(EndpointState::Ready);
        silent
    }

    fn lists(&self, condition: EndpointState) {
        let address = self.listener.local_addr().unwrap();
        let lines = vec![EngineEntry {
            address,
            ..line("a", condition)
        }];
        self.engines.list.apply(Event {
            number: 1,
            is_full_list: true,
            entries: lines,
        });
    }

    /// Holds all connections that there may be to engines.
    async fn hold_all(&self) -> tokio::sync::OwnedSemaphorePermit {
        let all = self.budget.engines.available_permits() as u32;
        self.budget
            .engines
            .clone()
            .acquire_many_owned(all)
            .await
            .unwrap()
    }

    async fn dispatch(
        &self,
        start: AttemptStart,
        wishes: watch::Receiver<CancellationState>,
    ) -> AttemptResult {
        let tidings = AttemptEvents {
            unknown_outcome: watch::channel(None).0,
            progress: watch::channel(None).0,
        };
        let value = HeaderValue::from_static;
        let statement = Statement::Whole(Bytes::from_static(b"SELECT 1"));
        let call = Call {
            id: value("a1"),
            class: value("report"),
            idempotency_key: None,
            in_order: false,
            statement,
        };
        let target = self.engines.target(0).unwrap();
        self.engines
            .run_attempt(target, &call, start, wishes, tidings)
            .await
    }

    /// What a connection brings, if one comes up.
    async fn came(&self) -> usize {
        let Ok(Ok((mut stream, _))) =
            timeout(Duration::from_millis(100), self.listener.accept()).await
        else {
            return 0;
        };
        let mut came = Vec::new();
        let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut came).await;
        came.len()
    }
}

fn start() -> AttemptStart {
    let until = Instant::now() + Duration::from_secs(3);
    AttemptStart {
        is_retry: true,
        response_deadline: until,
        send_deadline: until,
        client_presence: ClientPresence::default(),
    }
}

/// A further dispatch waits for one of the few connections; the one that it gets comes after its batch's answer.
#[tokio::test]
async fn a_start_that_waited_for_its_connection_until_after_the_answer_is_not_sent() {
    let silent = Silent::start().await;
    let taken = silent.hold_all().await;
    let (wish, wishes) = watch::channel(CancellationState::NotRequested);
    let answered = async {
        sleep(Duration::from_millis(30)).await;
        wish.send_replace(CancellationState::QueryFinished);
        drop(taken);
    };
    let (ended, ()) = tokio::join!(silent.dispatch(start(), wishes), answered);
    assert_eq!(ended.end, AttemptEnd::NotNeeded);
    assert_eq!(silent.came().await, 0);
}

/// Its client has left, and may come again at once, so that its batch is not over: nothing is sent meanwhile.
#[tokio::test]
async fn a_start_that_waited_for_its_connection_until_its_client_left_is_not_sent() {
    let silent = Silent::start().await;
    let taken = silent.hold_all().await;
    let (_wish, wishes) = watch::channel(CancellationState::NotRequested);
    let start = start();
    let attended = start.client_presence.clone();
    let leaves = async {
        sleep(Duration::from_millis(30)).await;
        attended.set_waiting(false);
        drop(taken);
    };
    let (ended, ()) = tokio::join!(silent.dispatch(start, wishes), leaves);
    assert_eq!(
        ended.end,
        AttemptEnd::NotNeeded,
        "which says nothing of the engine"
    );
    assert_eq!(silent.came().await, 0);
}

/// The window in which its engines drop repeats ends while its connection is still to come up.
#[tokio::test]
async fn a_start_that_can_t_come_within_its_window_is_not_sent() {
    let silent = Silent::start().await;
    let taken = silent.hold_all().await;
    let (_wish, wishes) = watch::channel(CancellationState::NotRequested);
    let began = Instant::now();
    let start = AttemptStart {
        send_deadline: began + Duration::from_millis(60),
        ..start()
    };
    let frees = async {
        sleep(Duration::from_millis(150)).await;
        drop(taken);
    };
    let (ended, ()) = tokio::join!(silent.dispatch(start, wishes), frees);
    assert_eq!(ended.end, AttemptEnd::ConnectFailed);
    assert_eq!(silent.came().await, 0);
}

/// Its engine is told draining while its connection is still to come up.
#[tokio::test]
async fn a_start_whose_engine_drains_before_its_first_byte_is_not_sent() {
    for told in [EndpointState::Draining, EndpointState::Removed] {
        let silent = Silent::start().await;
        let taken = silent.hold_all().await;
        let (_wish, wishes) = watch::channel(CancellationState::NotRequested);
        let drains = async {
            sleep(Duration::from_millis(30)).await;
            silent.lists(told);
            drop(taken);
        };
        let (ended, ()) = tokio::join!(silent.dispatch(start(), wishes), drains);
        assert_eq!(ended.end, AttemptEnd::ConnectFailed, "it goes elsewhere");
        assert_eq!(silent.came().await, 0);
    }
}
