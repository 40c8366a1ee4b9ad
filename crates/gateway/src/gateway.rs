//! Runs a gateway process from start to exit through the phases starting, serving, draining and stopped.

mod background;
mod reload;
mod shutdown;
mod start_error;

use crate::configuration::Config;
use crate::discovery::EngineList;
use crate::engines::{self, result_rows, Engines};
use crate::http::accept::Acceptor;
use crate::http::arrival_order::TurnGranter;
use crate::http::cancellations::PendingCancellations;
use crate::http::client_connections::ClientConnections;
use crate::http::send_time::SendTimeEstimator;
use crate::http::{self, ServerState};
use crate::phase::Phase;
use crate::scheduling::plan_routing::{self, PlanRouter};
use crate::scheduling::scheduler::{MemoryLimits, Scheduler};
use crate::storage::body_store;
use crate::storage::query_journal::QueryJournal;
use crate::supervision::{Supervisor, Task};
use crate::system::clock::{clamped_duration, Clock};
use crate::system::listener::Listener;
use crate::system::os_error::retry;
use crate::system::resource_budget::{ResourceBudget, ResourceLimits};
use crate::system::thread::start_pool_thread;
use garnetwall::api::{EngineId, QueryClass, Settings};
use garnetwall::controller::AdmissionController;
use garnetwall_bodies::Store;
use shutdown::ShutdownSchedule;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::timeout_at;

pub use start_error::StartError;

/// A gateway with its configuration and the components that exist for its whole run.
pub struct Gateway {
    config: Config,
    phase: watch::Sender<Phase>,
    budget: ResourceBudget,
    list: Arc<EngineList>,
    engines: Arc<Engines>,
    scheduler: Arc<Scheduler>,
    /// Receives the engines to health check. [`Gateway::start_background_tasks`] takes it.
    health_check_requests: Option<UnboundedReceiver<EngineId>>,
    supervisor: Supervisor,
    /// The longest deadline of any query class, in seconds.
    longest_deadline_seconds: f64,
}

/// The resources that a gateway acquires from the operating system when it starts.
struct StartResources {
    journal: Arc<QueryJournal>,
    store: Option<Arc<Store>>,
    listener: Listener,
}

impl Gateway {
    /// Creates a gateway in the phase [`Phase::Starting`]; [`Gateway::run`] starts it. `supervisor` records the panics
    /// of its tasks, and may watch tasks of the caller as well.
    pub fn new(config: Config, supervisor: Supervisor) -> Self {
        let clock = Clock::start();
        let budget = resource_budget(&config);
        let classes = query_classes(&config);
        let longest_deadline_seconds = longest_deadline_seconds(&config);
        let settings = admission_settings(&config, &classes, &budget);
        let (scheduler, health_check_requests) = Scheduler::new(
            AdmissionController::new(settings, config.seed, clock.now()),
            plan_router(&config, &budget),
            clock,
            longest_deadline_seconds,
            MemoryLimits {
                answer_cache_bytes: budget.answer_cache_bytes,
                finished_keys: budget.finished_keys,
            },
            supervisor.clone(),
        );
        scheduler.set_classes(&classes);
        let list = Arc::new(EngineList::new(
            engines::endpoint_retention(longest_deadline_seconds),
            clock,
            background::engine_selection(&config, &classes),
        ));
        let engines = Engines::new(
            config.platform.network,
            config.platform.settings.progress_interval,
            &budget,
            longest_deadline_seconds,
            list.clone(),
            supervisor.clone(),
        );
        Gateway {
            phase: watch::Sender::new(Phase::Starting),
            budget,
            list,
            engines: Arc::new(engines),
            scheduler: Arc::new(scheduler),
            health_check_requests: Some(health_check_requests),
            supervisor,
            config,
            longest_deadline_seconds,
        }
    }

    /// Runs the gateway until it exits: starts it, serves until `stop` completes, then drains and stops.
    ///
    /// `reloads` delivers each configuration that is read again while the gateway runs.
    ///
    /// # Errors
    ///
    /// The journal, the body store or the listening socket cannot be opened. Transient failures are retried for [`START_TIMEOUT`](crate::system::os_error::START_TIMEOUT) before they count.
    pub async fn run(
        mut self,
        stop: impl Future<Output = ()>,
        reloads: UnboundedReceiver<Config>,
    ) -> Result<(), StartError> {
        tokio::pin!(stop);
        let Some(resources) = self.start(stop.as_mut()).await? else {
            // No query was admitted yet, so there is nothing to drain.
            self.set_phase(Phase::Stopped);
            return Ok(());
        };
        self.start_background_tasks(reloads);
        let server_state = Arc::new(self.server_state(&resources));
        let arrival_order = server_state.arrival_order.clone();
        let clients = ClientConnections::new(self.budget.client_connections.clone());
        let stop_accepting = watch::Sender::new(false);
        let close_connections = watch::Sender::new(false);
        let (acceptor, accept_queue) = Acceptor::new(
            http::router(server_state),
            clients.clone(),
            close_connections.subscribe(),
            self.supervisor.clone(),
            clamped_duration(self.longest_deadline_seconds),
        );
        let turns = TurnGranter::new(arrival_order, accept_queue, clients.clone());
        self.supervisor
            .spawn_restarting(Task::ArrivalOrder, turns, |turns| Box::pin(turns.run()));
        // Serving and draining poll the same future, since it may hold an accepted connection that waits for a permit.
        let mut accepting = Box::pin(acceptor.run(&resources.listener, stop_accepting.subscribe()));

        self.serve(accepting.as_mut(), stop).await;
        let schedule = self
            .drain(accepting.as_mut(), &stop_accepting, &close_connections)
            .await;
        drop(accepting);
        drop(resources.listener);
        self.finish_requests(&clients, &schedule).await;
        self.finish_shutdown(resources.store.as_deref());
        Ok(())
    }

    fn set_phase(&self, phase: Phase) {
        tracing::info!(gateway = self.config.name, ?phase, "gateway phase changed");
        self.phase.send_replace(phase);
    }

    /// Acquires the resources to serve with; returns `None` if `stop` completes first.
    async fn start(
        &self,
        stop: Pin<&mut impl Future<Output = ()>>,
    ) -> Result<Option<StartResources>, StartError> {
        self.set_phase(Phase::Starting);
        tokio::select! {
            biased;
            () = stop => Ok(None),
            resources = self.acquire_resources() => resources.map(Some),
        }
    }

    /// Opens the journal, the body store and the listening socket, retrying transient failures.
    async fn acquire_resources(&self) -> Result<StartResources, StartError> {
        let journal = retry("query journal", || self.open_journal())
            .await
            .map_err(StartError::Journal)?;
        let store = retry("body store", || self.open_body_store())
            .await
            .map_err(StartError::BodyStore)?;
        let address = self.config.listen;
        let listener = retry("listener", || Listener::bind(address))
            .await
            .map_err(|error| StartError::Listener { address, error })?;
        Ok(StartResources {
            journal: Arc::new(journal),
            store,
            listener,
        })
    }

    /// Opens the journal that the plan names, or one that records nothing. The scheduler is told of the queries that an
    /// earlier process recorded, since attempts of those may still run.
    fn open_journal(&self) -> io::Result<QueryJournal> {
        let plan = self.config.plan.as_ref();
        let Some(journal) = plan.and_then(|plan| plan.journal.as_ref()) else {
            return Ok(QueryJournal::default());
        };
        self.scheduler.set_recovery_pending();
        let scheduler = self.scheduler.clone();
        let longest_unpolled_run = self.engines.longest_unpolled_run();
        let on_recovered =
            move |queries: Vec<_>| scheduler.complete_recovery(&queries, longest_unpolled_run);
        QueryJournal::open(
            &journal.directory,
            &self.config.name,
            self.scheduler.clock(),
            self.longest_deadline_seconds,
            on_recovered,
        )
    }

    /// Creates the body store if the plan configures one.
    fn open_body_store(&self) -> io::Result<Option<Arc<Store>>> {
        let plan = self.config.plan.as_ref();
        let Some(bodies) = plan.and_then(|plan| plan.bodies.as_ref()) else {
            return Ok(None);
        };
        start_pool_thread()?;
        let names = &self.config.platform.names.classes;
        body_store::body_store(bodies, names, &self.config.name).map(Some)
    }

    fn server_state(&self, resources: &StartResources) -> ServerState {
        ServerState {
            scheduler: self.scheduler.clone(),
            engines: self.engines.clone(),
            journal: resources.journal.clone(),
            body_store: resources.store.clone(),
            platform: self.config.platform.clone(),
            phase: self.phase.subscribe(),
            arrival_order: Arc::default(),
            cancellations: PendingCancellations::default(),
            longest_deadline: clamped_duration(self.longest_deadline_seconds),
            supervisor: self.supervisor.clone(),
            statement_memory: self.budget.statement_memory.clone(),
            answer_memory: self.budget.answer_memory.clone(),
            send_time_estimator: Mutex::new(SendTimeEstimator::new(
                self.budget.query_capacity,
                self.config.platform.network.connect_timeout,
                self.longest_deadline_seconds,
            )),
        }
    }

    /// Accepts connections until `stop` completes. Queries are admitted at once; the phase becomes [`Phase::Serving`]
    /// when the first engine list is known.
    async fn serve(
        &self,
        accepting: Pin<&mut impl Future<Output = ()>>,
        stop: Pin<&mut impl Future<Output = ()>>,
    ) {
        let become_healthy = async {
            self.list.wait_until_known().await;
            self.set_phase(Phase::Serving);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = accepting => {}
            () = become_healthy => {}
            () = stop => {}
        }
    }

    /// Caps all deadlines, goes on accepting connections until [`ShutdownSchedule::accept_until`], then closes each
    /// connection as soon as it has no open request.
    async fn drain(
        &self,
        mut accepting: Pin<&mut impl Future<Output = ()>>,
        stop_accepting: &watch::Sender<bool>,
        close_connections: &watch::Sender<bool>,
    ) -> ShutdownSchedule {
        self.set_phase(Phase::Draining);
        let schedule = ShutdownSchedule::new(Instant::now(), self.longest_deadline_seconds);
        let answers_due = self.scheduler.clock().at(schedule.answers_due);
        self.scheduler.limit_deadlines(answers_due);
        // This always ends by the timeout, since `accepting` completes only after `stop_accepting` is set.
        let _ = timeout_at(schedule.accept_until.into(), accepting.as_mut()).await;
        // Connections that the system has queued by now are still accepted and served.
        stop_accepting.send_replace(true);
        close_connections.send_replace(true);
        let _ = timeout_at(schedule.exit_at.into(), accepting).await;
        schedule
    }

    /// Waits until all connections are closed and no query is open, but no longer than [`ShutdownSchedule::exit_at`]:
    /// the exit is not delayed by a client that does not read its answer or an engine that does not answer DELETE.
    async fn finish_requests(&self, clients: &Arc<ClientConnections>, schedule: &ShutdownSchedule) {
        let finished = async {
            clients.all_closed().await;
            self.scheduler.until_idle().await;
        };
        if timeout_at(schedule.exit_at.into(), finished).await.is_err() {
            tracing::warn!("exit time reached, stopping with requests still open");
        }
    }

    fn finish_shutdown(&self, store: Option<&Store>) {
        if let Some(store) = store {
            body_store::log_body_counts(store, &self.config.platform.names.classes);
        }
        self.set_phase(Phase::Stopped);
    }
}

/// Splits the configured limits on descriptors and memory into budgets.
fn resource_budget(config: &Config) -> ResourceBudget {
    ResourceBudget::from_limits(ResourceLimits {
        descriptors: config.descriptors,
        memory_mb: config.memory_mb,
        max_result_bytes: result_rows::MAX_RESULT_BYTES,
    })
}

/// The longest deadline of any query class in the settings, in seconds; 0 without classes.
fn longest_deadline_seconds(config: &Config) -> f64 {
    let classes = &config.platform.settings.classes;
    classes
        .iter()
        .map(|class| class.deadline)
        .fold(0.0, f64::max)
}

/// The query classes of the settings, narrowed by the plan if there is one.
fn query_classes(config: &Config) -> Vec<QueryClass> {
    let classes = &config.platform.settings.classes;
    match &config.plan {
        Some(plan) => plan_routing::narrowed_classes(classes, &config.platform.names.classes, plan),
        None => classes.clone(),
    }
}

/// The settings of the admission controller, with the capacity capped by the gateway's own resources.
fn admission_settings(
    config: &Config,
    classes: &[QueryClass],
    budget: &ResourceBudget,
) -> Settings {
    let settings = &config.platform.settings;
    let capacity = settings.capacity.unwrap_or(f64::INFINITY);
    Settings {
        capacity: Some(capacity.min(budget.query_capacity as f64)),
        classes: classes.to_vec(),
        ..settings.clone()
    }
}

fn plan_router(config: &Config, budget: &ResourceBudget) -> Option<PlanRouter> {
    let plan = config.plan.clone()?;
    tracing::info!(
        routes = plan.routes.len(),
        limits = plan.limits.len(),
        "plan in force"
    );
    Some(PlanRouter::new(
        &config.platform,
        plan,
        budget.query_capacity as f64,
    ))
}
