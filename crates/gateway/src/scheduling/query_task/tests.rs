use super::*;
use crate::discovery::{EngineList, EngineUpdate, ListChange};
use crate::engines::test_clients::ConnectedClient;
use crate::scheduling::scheduler::{Admission, ArrivingQuery, MemoryLimits, OpenedQuery, Waiter};
use crate::supervision::catch_panic_of_call;
use crate::system::clock::Clock;
use crate::system::resource_budget::{ResourceBudget, ResourceLimits};
use garnetwall::api::{Endpoint, EndpointState, Idempotency, ListScope, QueryClass, Settings};
use garnetwall::controller::AdmissionController;
use garnetwall::key_arrivals::ArrivalBounds;
use garnetwall_settings::NetworkTimeouts;
use http::HeaderValue;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::timeout;

const ORDERING_KEY: u64 = 7;
const LONGEST_DEADLINE_SECONDS: f64 = 8.0;

/// A scheduler with one engine and one class of non-idempotent queries, which run one at a time for each ordering key.
struct OneEngine {
    scheduler: Arc<Scheduler>,
    engines: Arc<Engines>,
    forwarded_query: Arc<ForwardedQuery>,
    supervisor: Supervisor,
}

fn settings() -> Settings {
    Settings {
        classes: vec![QueryClass {
            latency_objective: 1.0,
            deadline: LONGEST_DEADLINE_SECONDS,
            priority_weight: 1.0,
            idempotency: Idempotency::NonIdempotent,
            in_order: true,
            threads: 1.0,
            latency_objective_stretch: 0.0,
            late_value_share: 0.5,
            zones: None,
            kinds: None,
            loads_data: false,
            waits_for_data_loads: false,
            retry_budget: None,
        }],
        tenants: 1,
        gateways: 1.0,
        kind_cores: vec![Some(64.0)],
        max_attempts: 2,
        ..Settings::default()
    }
}

impl OneEngine {
    fn start() -> OneEngine {
        let clock = Clock::start();
        let supervisor = Supervisor::default();
        let controller = AdmissionController::new(settings(), 7, clock.now());
        let (scheduler, _) = Scheduler::new(
            controller,
            None,
            clock,
            LONGEST_DEADLINE_SECONDS,
            MemoryLimits {
                answer_cache_bytes: 1024,
                finished_keys: 100,
            },
            supervisor.clone(),
        );
        let address = SocketAddr::from(([127, 0, 0, 1], 4100));
        let endpoint = Endpoint {
            engine: 0,
            zone: 0,
            kind: 0,
            cell: 0,
            started_at: None,
            state: EndpointState::Ready,
            gateways: None,
        };
        scheduler.update_endpoints(&ListChange {
            updates: vec![EngineUpdate {
                endpoint,
                name: "a".into(),
                address,
            }],
            scope: ListScope::Full,
        });
        let budget = ResourceBudget::from_limits(ResourceLimits {
            descriptors: 64,
            memory_mb: 64,
            max_result_bytes: result_rows::MAX_RESULT_BYTES,
        });
        let timeouts = NetworkTimeouts {
            connect_timeout: 2.0,
            idle_timeout: 15.0,
        };
        let list = Arc::new(EngineList::new(Duration::from_secs(10), clock, None));
        let engines = Engines::new(
            timeouts,
            0.0,
            &budget,
            LONGEST_DEADLINE_SECONDS,
            list,
            supervisor.clone(),
        );
        let value = HeaderValue::from_static;
        OneEngine {
            scheduler: Arc::new(scheduler),
            engines: Arc::new(engines),
            forwarded_query: Arc::new(ForwardedQuery {
                query_key: value("00000000000000a1"),
                class: value("load"),
                idempotency_key: None,
                in_order: true,
                statement: Statement::Complete(Bytes::from_static(b"INSERT 1")),
            }),
            supervisor,
        }
    }

    fn admit(&self, query_key: u64) -> Admission {
        self.admit_arrived_at(query_key, self.scheduler.clock().now())
    }

    fn admit_arrived_at(&self, query_key: u64, arrived_at: f64) -> Admission {
        let now = self.scheduler.clock().now();
        let arriving = ArrivingQuery {
            query_key,
            class: 0,
            tenant: 0,
            ordering_key: Some(ORDERING_KEY),
            arrival: ArrivalBounds {
                earliest: arrived_at,
                latest: arrived_at,
            },
            deadline: now + LONGEST_DEADLINE_SECONDS,
            estimated_work: None,
            estimated_memory: None,
            data_set: Some(0),
            client: [127, 0, 0, 1].into(),
            statement_bytes: 8,
        };
        self.scheduler.admit(
            arriving,
            self.forwarded_query.clone(),
            Arc::new(ConnectedClient),
        )
    }

    fn open(&self, query_key: u64) -> OpenedQuery {
        match self.admit(query_key) {
            Admission::New(opened) => opened,
            _ => panic!("query {query_key} is not new"),
        }
    }

    fn task(&self, opened: OpenedQuery) -> (QueryTask, Waiter) {
        let task = QueryTask {
            scheduler: self.scheduler.clone(),
            engines: self.engines.clone(),
            query_id: opened.query_id,
            forwarded_query: self.forwarded_query.clone(),
            commands: opened.commands,
            journal: Arc::default(),
            journal_entry: None,
            client_presence: opened.client_presence,
            answer_memory: ResultMemory::new(1 << 20),
            supervisor: self.supervisor.clone(),
            _memory: Arc::new(Semaphore::new(1)).try_acquire_owned().unwrap(),
        };
        (task, opened.waiter)
    }
}

async fn begins_attempt(commands: &mut UnboundedReceiver<Command>, limit: Duration) -> bool {
    let command = timeout(limit, commands.recv()).await;
    matches!(command, Ok(Some(Command::BeginAttempt { .. })))
}

/// The controller is not told that the client has left, so that it begins an attempt that breaks a rule.
#[tokio::test]
async fn attempt_that_would_break_a_rule_is_not_begun_and_its_query_is_rejected() {
    let gateway = OneEngine::start();
    let mut first = gateway.open(1);
    let mut second = gateway.open(2);
    assert!(begins_attempt(&mut first.commands, Duration::from_secs(2)).await);
    second.client_presence.client_disconnected();
    let attempt = ScheduledAttempt {
        engine: 0,
        number: 0,
        started_at: Instant::now(),
    };
    let result = AttemptResult::from_end(AttemptEnd::Succeeded);
    let outcome = attempt.outcome(&result, QueryStatus::Open, Instant::now());
    gateway
        .scheduler
        .attempt_ended(first.query_id, outcome, None);
    let command = timeout(Duration::from_secs(2), second.commands.recv()).await;
    let answer = match command {
        Ok(Some(Command::Answer(answer))) => QueryAnswer::from(answer),
        other => panic!("an answer expected, not {other:?}"),
    };
    assert!(matches!(answer, QueryAnswer::Rejected { .. }));
    let page = gateway.supervisor.metrics().render(true).unwrap();
    assert!(
        page.contains("garnetwall_rule_violations_total{rule=\"ClientLeft\"} 1"),
        "{page}"
    );
}

/// A query that is read late is refused if it arrived before one of its key that was admitted.
#[tokio::test]
async fn query_that_arrived_before_an_admitted_one_of_its_key_is_out_of_order() {
    let gateway = OneEngine::start();
    let _admitted = gateway.open(1);
    let earlier = gateway.scheduler.clock().now() - 0.2;
    assert!(matches!(
        gateway.admit_arrived_at(2, earlier),
        Admission::OutOfOrder
    ));
    assert!(matches!(
        gateway.admit_arrived_at(1, earlier),
        Admission::Joined(_)
    ));
}

/// The engine may run the attempt until polls are missed for so long that it ends it.
#[tokio::test]
async fn query_whose_task_panics_is_answered_and_its_key_waits_for_the_end_of_its_attempt() {
    let gateway = OneEngine::start();
    let timer = gateway.scheduler.clone();
    tokio::spawn(async move { timer.run_timer().await });
    let (mut first, first_waiter) = gateway.task(gateway.open(1));
    let (mut second, _second_waiter) = gateway.task(gateway.open(2));
    assert!(begins_attempt(&mut first.commands, Duration::from_secs(2)).await);
    let attempts = AttemptHistory {
        begun: 1,
        in_flight: Some(ScheduledAttempt {
            engine: 0,
            number: 0,
            started_at: Instant::now(),
        }),
    };
    let longest_run = gateway
        .engines
        .longest_run_without_task(&gateway.forwarded_query);
    let panic = catch_panic_of_call(|| panic!("in the task"));
    let panic = panic.map(|(): ()| ()).unwrap_err();
    let panicked_at = Instant::now();
    tokio::spawn(async move {
        first.end_after_panic(attempts, &panic).await;
        first.release(attempts.begun);
    });

    let answer = timeout(Duration::from_secs(1), first_waiter.answer()).await;
    assert_eq!(answer, Ok(QueryAnswer::Failed));
    assert!(
        matches!(gateway.admit(1), Admission::Joined(_)),
        "the attempt may still run"
    );
    let margin = Duration::from_millis(200);
    assert!(!begins_attempt(&mut second.commands, longest_run - margin).await);
    assert!(begins_attempt(&mut second.commands, Duration::from_secs(2)).await);
    assert!(panicked_at.elapsed() >= longest_run);
    let repeated = gateway.admit(1);
    assert!(matches!(repeated, Admission::Answered(QueryAnswer::Failed)));
    assert!(gateway
        .supervisor
        .metrics()
        .render(true)
        .unwrap()
        .contains("garnetwall_task_panics_total{task=\"Query\"} 1"));
}
