//! One gateway: its phases from start to exit, and what runs in each.

mod background;
mod reload;
mod shutdown;
mod start_error;

use crate::configuration::Config;
use crate::discovery::EngineList;
use crate::engines::{self, result_rows, Engines};
use crate::http::client_connections::ClientConnections;
use crate::http::send_time::SendTimeEstimator;
use crate::http::{self, ServerState};
use crate::phase::Phase;
use crate::scheduling::plan_routing::{self, PlanRouter};
use crate::scheduling::scheduler::Scheduler;
use crate::storage::body_store;
use crate::storage::query_journal::QueryJournal;
use crate::system::clock::Clock;
use crate::system::os_error::retry;
use crate::system::resource_budget::{ResourceBudget, ResourceLimits};
use garnetwall::api::{EngineId, QueryClass, Settings};
use garnetwall::controller::AdmissionController;
use garnetwall_bodies::Store;
use shutdown::ShutdownSchedule;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::timeout_at;

pub use start_error::StartError;

/// Connections that wait to be accepted, at most.
const LISTEN_BACKLOG: u32 = 1024;

/// One gateway.
pub struct Gateway {
    config: Config,
    phase: watch::Sender<Phase>,
    budget: ResourceBudget,
    list: Arc<EngineList>,
    engines: Arc<Engines>,
    scheduler: Arc<Scheduler>,
    /// Engines whose health is to be checked; taken by the task that does so.
    health_check_requests: Option<UnboundedReceiver<EngineId>>,
    /// The longest deadline of any query class.
    longest_deadline_seconds: f64,
}

/// What a gateway acquires from the system when it starts.
struct StartResources {
    journal: Arc<QueryJournal>,
    store: Option<Arc<Store>>,
    listener: TcpListener,
}

impl Gateway {
    /// A gateway that has not been started.
    pub fn new(config: Config) -> Self {
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
            budget.answer_cache_bytes,
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
        );
        Gateway {
            phase: watch::Sender::new(Phase::Starting),
            budget,
            list,
            engines: Arc::new(engines),
            scheduler: Arc::new(scheduler),
            health_check_requests: Some(health_check_requests),
            config,
            longest_deadline_seconds,
        }
    }

    /// Runs from start to exit: starts, serves until `stop` completes, drains, and stops. `reloads` delivers the
    /// configurations that were read again meanwhile.
    ///
    /// # Errors
    ///
    /// The journal, the body store or the listening socket cannot be had, or not within
    /// [`START_TIMEOUT`](crate::system::os_error::START_TIMEOUT).
    pub async fn run(
        mut self,
        stop: impl Future<Output = ()>,
        reloads: UnboundedReceiver<Config>,
    ) -> Result<(), StartError> {
        tokio::pin!(stop);
        let Some(resources) = self.start(stop.as_mut()).await? else {
            // Nothing was admitted yet.
            self.enter(Phase::Stopped);
            return Ok(());
        };
        let StartResources {
            journal,
            store,
            listener,
        } = resources;
        self.start_background_tasks(reloads);
        let router = http::router(Arc::new(self.server_state(journal, store.clone())));
        let clients = ClientConnections::new(self.budget.client_connections.clone());
        let stop_accepting = watch::Sender::new(false);
        let close_connections = watch::Sender::new(false);
        // One future for all phases: it holds a connection that waits for its slot.
        let mut accepting = Box::pin(http::accept(
            &listener,
            &router,
            &clients,
            stop_accepting.subscribe(),
            close_connections.subscribe(),
        ));

        self.serve(accepting.as_mut(), stop).await;
        let schedule = self
            .drain(accepting.as_mut(), &stop_accepting, &close_connections)
            .await;
        drop(accepting);
        drop(listener);
        self.finish_requests(&clients, &schedule).await;
        self.stopped(store.as_deref());
        Ok(())
    }

    fn enter(&self, phase: Phase) {
        tracing::info!(gateway = self.config.name, ?phase, "phase");
        self.phase.send_replace(phase);
    }

    /// Acquires what the start needs; `None` where the gateway is asked to stop before it has that.
    async fn start(
        &self,
        stop: Pin<&mut impl Future<Output = ()>>,
    ) -> Result<Option<StartResources>, StartError> {
        self.enter(Phase::Starting);
        tokio::select! {
            biased;
            () = stop => Ok(None),
            resources = self.acquire_resources() => resources.map(Some),
        }
    }

    /// Acquires what the start needs of the system, with retries where that fails for the moment.
    async fn acquire_resources(&self) -> Result<StartResources, StartError> {
        let journal = self.open_journal().map_err(StartError::Journal)?;
        let store = retry("store of bodies", || self.open_body_store())
            .await
            .map_err(StartError::BodyStore)?;
        let address = self.config.listen;
        let listener = retry("listener", || listen(address))
            .await
            .map_err(|error| StartError::Listener { address, error })?;
        Ok(StartResources {
            journal: Arc::new(journal),
            store,
            listener,
        })
    }

    /// Opens the journal that the plan names, with the attempts that an earlier process may have left running.
    fn open_journal(&self) -> io::Result<QueryJournal> {
        let plan = self.config.plan.as_ref();
        let Some(journal) = plan.and_then(|plan| plan.journal.as_ref()) else {
            return Ok(QueryJournal::default());
        };
        self.scheduler.set_recovery_pending();
        let scheduler = self.scheduler.clone();
        let longest_unpolled_run = self.engines.longest_unpolled_run();
        let recovered = move |open: Vec<_>| scheduler.recovered(&open, longest_unpolled_run);
        QueryJournal::open(
            &journal.directory,
            &self.config.name,
            self.scheduler.clock(),
            self.longest_deadline_seconds,
            recovered,
        )
    }

    /// Opens the store for bodies that the plan asks for.
    fn open_body_store(&self) -> io::Result<Option<Arc<Store>>> {
        let plan = self.config.plan.as_ref();
        let Some(bodies) = plan.and_then(|plan| plan.bodies.as_ref()) else {
            return Ok(None);
        };
        let names = &self.config.platform.names.classes;
        body_store::body_store(bodies, names, &self.config.name).map(Some)
    }

    fn server_state(&self, journal: Arc<QueryJournal>, store: Option<Arc<Store>>) -> ServerState {
        ServerState {
            scheduler: self.scheduler.clone(),
            engines: self.engines.clone(),
            journal,
            body_store: store,
            platform: self.config.platform.clone(),
            phase: self.phase.subscribe(),
            statement_bytes: self.budget.statement_bytes.clone(),
            send_times: Mutex::new(SendTimeEstimator::new(
                self.budget.query_capacity,
                self.config.platform.network.connect_timeout,
                self.longest_deadline_seconds,
            )),
        }
    }

    /// Accepts connections until the gateway is asked to stop. It is healthy once it knows an engine list; queries are
    /// admitted before that, too.
    async fn serve(
        &self,
        accepting: Pin<&mut impl Future<Output = ()>>,
        stop: Pin<&mut impl Future<Output = ()>>,
    ) {
        let become_healthy = async {
            self.list.wait_until_known().await;
            self.enter(Phase::Serving);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = accepting => {}
            () = become_healthy => {}
            () = stop => {}
        }
    }

    /// Caps all deadlines, accepts connections for as long as clients may go on connecting, then has every connection
    /// closed once it has no request open.
    async fn drain(
        &self,
        mut accepting: Pin<&mut impl Future<Output = ()>>,
        stop_accepting: &watch::Sender<bool>,
        close_connections: &watch::Sender<bool>,
    ) -> ShutdownSchedule {
        self.enter(Phase::Draining);
        let schedule = ShutdownSchedule::new(Instant::now(), self.longest_deadline_seconds);
        let answers_due = self.scheduler.clock().at(schedule.answers_due);
        self.scheduler.cap_deadlines(answers_due);
        // It ends by the timeout alone: accepting has no end before it is stopped.
        let _ = timeout_at(schedule.accept_until.into(), accepting.as_mut()).await;
        // Connections that the system has accepted by now are served, too.
        stop_accepting.send_replace(true);
        close_connections.send_replace(true);
        let _ = timeout_at(schedule.exit_at.into(), accepting).await;
        schedule
    }

    /// Waits for all answers, until the exit is due: neither a client that does not read its answer nor an engine that
    /// does not answer DELETE delays it.
    async fn finish_requests(&self, clients: &Arc<ClientConnections>, schedule: &ShutdownSchedule) {
        let finished = async {
            clients.all_closed().await;
            self.scheduler.until_idle().await;
        };
        if timeout_at(schedule.exit_at.into(), finished).await.is_err() {
            tracing::warn!("stopped with requests still open");
        }
    }

    fn stopped(&self, store: Option<&Store>) {
        if let Some(store) = store {
            body_store::log_body_store(store, &self.config.platform.names.classes);
        }
        self.enter(Phase::Stopped);
    }
}

/// The parts of the configured limits that may be in use at once.
fn resource_budget(config: &Config) -> ResourceBudget {
    ResourceBudget::of(ResourceLimits {
        descriptors: config.descriptors,
        memory_mb: config.memory_mb,
        max_result_bytes: result_rows::MAX_RESULT_BYTES,
    })
}

/// The longest deadline that the settings give to any query class.
fn longest_deadline_seconds(config: &Config) -> f64 {
    let classes = &config.platform.settings.classes;
    classes
        .iter()
        .map(|class| class.deadline)
        .fold(0.0, f64::max)
}

/// The query classes of the settings, as far as the plan narrows them.
fn query_classes(config: &Config) -> Vec<QueryClass> {
    let classes = &config.platform.settings.classes;
    match &config.plan {
        Some(plan) => plan_routing::narrowed_classes(classes, &config.platform.names.classes, plan),
        None => classes.clone(),
    }
}

/// The settings of the decision module: the capacity is at most what the gateway's own resources allow.
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

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    // A gateway that was killed can start again under its address at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
