//! The gateway as one object: its phases from start to exit, and what runs in each.

use crate::configuration::{subset, Config};
use crate::discovery::reconnect::Reconnect;
use crate::discovery::{Discovery, EngineList, EngineUpdate, NameIndex, Selection, Watch};
use crate::engines::{self, Engines};
use crate::http::client_connections::ClientConnections;
use crate::http::send_time::SendTimeEstimator;
use crate::http::{self, ServerState};
use crate::scheduling::plan_routing::{self, PlanRouter};
use crate::scheduling::scheduler::Scheduler;
use crate::storage::body_store;
use crate::storage::query_journal::QueryJournal;
use crate::system::clock::{span, Clock};
use crate::system::os_error::retry;
use crate::system::resource_budget::ResourceBudget;
use garnetwall::api::{AttemptEnd, EngineId, QueryClass, Settings};
use garnetwall::controller::AdmissionController;
use garnetwall_bodies::Store;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::timeout_at;

/// Protocol: after SIGTERM clients go on coming for this long.
const GOES_ON: Duration = Duration::from_millis(700);
/// Protocol: SIGKILL comes no sooner than the longest limit, 3 s at most, and 0.7 s after SIGTERM.
const LONGEST_STAY: f64 = 3.0;
/// Before the earliest kill: all answers are due, idle connections of clients are closed, and the process has ended. What crosses a
/// close is sent again elsewhere.
const ANSWERS_DUE: Duration = Duration::from_millis(200);
const CONNECTIONS_CLOSED: Duration = Duration::from_millis(150);
const PROCESS_ENDED: Duration = Duration::from_millis(100);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not bound yet, or no engine list yet.
    Starting,
    Serving,
    /// Asked to stop: takes on what still comes, then answers all in hand.
    Draining,
    Stopped,
}

/// What a gateway holds from its start on.
struct Opened {
    keeper: Arc<QueryJournal>,
    store: Option<Arc<Store>>,
    listener: TcpListener,
}

/// One gateway.
pub struct Gateway {
    config: Config,
    phase: watch::Sender<Phase>,
    budget: ResourceBudget,
    list: Arc<EngineList>,
    engines: Arc<Engines>,
    desk: Arc<Scheduler>,
    /// Engines to probe, until the task that probes them has them.
    probes: Option<UnboundedReceiver<EngineId>>,
    /// The longest time limit of any service group, in seconds.
    longest: f64,
}

impl Gateway {
    pub fn new(config: Config) -> Self {
        let clock = Clock::start();
        let budget = ResourceBudget::of(config.sockets, config.memory_mb);
        let settings = &config.decoded.settings;
        let longest = settings
            .classes
            .iter()
            .map(|g| g.deadline)
            .fold(0.0, f64::max);
        let room = Some(
            settings
                .capacity
                .unwrap_or(f64::INFINITY)
                .min(budget.query_capacity as f64),
        );
        let plan = config.plan.clone();
        let groups = match &plan {
            Some(plan) => plan_routing::narrowed_classes(
                &settings.classes,
                &config.decoded.names.groups,
                plan,
            ),
            None => settings.classes.clone(),
        };
        if let Some(plan) = &plan {
            tracing::info!(
                routes = plan.routes.len(),
                limits = plan.limits.len(),
                "plan in force"
            );
        }
        let planner =
            plan.map(|plan| PlanRouter::new(&config.decoded, plan, budget.query_capacity as f64));
        let settings = Settings {
            capacity: room,
            classes: groups.clone(),
            ..settings.clone()
        };
        let control = AdmissionController::new(settings, config.seed, clock.now());
        let (desk, probes) =
            Scheduler::new(control, planner, clock, longest, budget.answer_cache_bytes);
        desk.set_classes(&groups);
        let notes_every = config.decoded.settings.progress_interval;
        let selection = selection(&config, &groups);
        let list = Arc::new(EngineList::new(
            engines::endpoint_retention(longest),
            clock,
            selection,
        ));
        let engines = Engines::new(
            config.decoded.network,
            notes_every,
            &budget,
            longest,
            list.clone(),
        );
        Gateway {
            phase: watch::Sender::new(Phase::Starting),
            budget,
            list,
            engines: Arc::new(engines),
            desk: Arc::new(desk),
            probes: Some(probes),
            config,
            longest,
        }
    }

    fn enter(&self, phase: Phase) {
        tracing::info!(gateway = self.config.name, ?phase, "phase");
        self.phase.send_replace(phase);
    }

    /// Runs from start to exit; `stop` asks it to drain, `reloads` brings configurations read again.
    ///
    /// # Errors
    ///
    /// What it needs at the start can't be had, or not for [`START_TIMEOUT`](crate::system::os_error::START_TIMEOUT).
    pub async fn run(
        mut self,
        stop: impl Future<Output = ()>,
        reloads: UnboundedReceiver<Config>,
    ) -> io::Result<()> {
        tokio::pin!(stop);
        self.enter(Phase::Starting);
        let opened = tokio::select! {
            biased;
            () = &mut stop => {
                // Nothing was taken yet.
                self.enter(Phase::Stopped);
                return Ok(());
            }
            opened = self.open() => opened?,
        };
        let Opened {
            keeper,
            store,
            listener,
        } = opened;
        self.start(reloads);
        let state = ServerState {
            scheduler: self.desk.clone(),
            engines: self.engines.clone(),
            journal: keeper,
            body_store: store.clone(),
            decoded: self.config.decoded.clone(),
            phase: self.phase.subscribe(),
            statement_bytes: self.budget.statement_bytes.clone(),
            send_times: Mutex::new(SendTimeEstimator::new(
                self.budget.query_capacity,
                self.config.decoded.network.dial,
                self.longest,
            )),
        };
        let router = http::router(Arc::new(state));
        let guests = ClientConnections::new(self.budget.client_connections.clone());
        let ((shut, open), (close, closing)) = (watch::channel(false), watch::channel(false));
        // One for all phases: a connection that waits for its seat is in its hands.
        let mut accepting = Box::pin(http::accept(&listener, &router, &guests, &open, closing));
        tokio::select! {
            () = &mut accepting => {}
            () = self.serving() => {}
            () = &mut stop => {}
        }
        self.enter(Phase::Draining);
        let told = Instant::now();
        let kill = GOES_ON + span(self.longest.min(LONGEST_STAY));
        self.desk
            .shut_down_at(self.desk.clock().at(told + (kill - ANSWERS_DUE)));
        // It ends with the time alone: accepting does not.
        let goes_on = GOES_ON.min(kill - CONNECTIONS_CLOSED);
        let _ = timeout_at((told + goes_on).into(), &mut accepting).await;
        // What the machine has accepted by now is served, too; those that ask for nothing make room.
        close.send_replace(true);
        shut.send_replace(true);
        let last_answer = told + (kill - PROCESS_ENDED);
        let _ = timeout_at(last_answer.into(), &mut accepting).await;
        drop(accepting);
        drop(listener);
        // A client that does not read its answer keeps nothing up, and no engine that does not answer DELETE.
        let last = async {
            guests.all_closed().await;
            self.desk.until_idle().await;
        };
        if timeout_at(last_answer.into(), last).await.is_err() {
            tracing::warn!("stopped with calls still open");
        }
        if let Some(store) = store {
            body_store::log_body_store(&store, &self.config.decoded.names.groups);
        }
        self.enter(Phase::Stopped);
        Ok(())
    }

    /// What a start needs of the system, tried again where that fails for a moment.
    async fn open(&self) -> io::Result<Opened> {
        let keeper = Arc::new(self.keeper()?);
        let store = retry("store of bodies", || self.store()).await?;
        let listener = retry("listener", || bind(self.config.listen)).await?;
        Ok(Opened {
            keeper,
            store,
            listener,
        })
    }

    /// The journal that the plan names, with what an earlier process may have left running.
    fn keeper(&self) -> io::Result<QueryJournal> {
        let Some(journal) = self
            .config
            .plan
            .as_ref()
            .and_then(|plan| plan.journal.as_ref())
        else {
            return Ok(QueryJournal::default());
        };
        self.desk.await_recovery();
        let (desk, unasked) = (self.desk.clone(), self.engines.longest_unpolled_run());
        let recovered = move |open: Vec<_>| desk.recovered(&open, unasked);
        QueryJournal::open(
            &journal.directory,
            &self.config.name,
            self.desk.clock(),
            self.longest,
            recovered,
        )
    }

    /// The store of bodies that the plan asks for.
    fn store(&self) -> io::Result<Option<Arc<Store>>> {
        let bodies = self
            .config
            .plan
            .as_ref()
            .and_then(|plan| plan.bodies.as_ref());
        let names = &self.config.decoded.names.groups;
        bodies
            .map(|bodies| body_store::body_store(bodies, names, &self.config.name))
            .transpose()
    }

    /// Healthy from the first list of engines on; batches are taken before that, too.
    async fn serving(&self) {
        self.list.known().await;
        self.enter(Phase::Serving);
        std::future::pending().await
    }

    /// The list known at the start, and the tasks that run beside the front.
    fn start(&mut self, reloads: UnboundedReceiver<Config>) {
        let desk = self.desk.clone();
        let deliver = move |updates: &[EngineUpdate], whole| desk.update_endpoints(updates, whole);
        let discovery = Arc::new(Discovery::new(self.list.clone(), Box::new(deliver)));
        std::mem::take(&mut self.config.known)
            .into_iter()
            .for_each(|event| discovery.apply(event));
        let log = watch::Sender::new(self.config.changelog);
        let dial = span(self.config.decoded.network.dial);
        let names = NameIndex::new(&self.config.decoded.names);
        let applying = discovery.clone();
        let apply = Box::new(move |event| applying.apply(event));
        let watch = Watch::new(log.subscribe(), self.config.last_known, names, apply);
        tokio::spawn(watch.follow(Reconnect::new(dial, self.config.seed)));
        tokio::spawn(reload(self.config.clone(), self.desk.clone(), reloads, log));
        let desk = self.desk.clone();
        tokio::spawn(async move { desk.run_timer().await });
        if self.config.subset.is_some() {
            let may_probe = self.config.decoded.settings.health_checks_allowed;
            tokio::spawn(keep_subset(
                discovery,
                self.engines.clone(),
                self.desk.clone(),
                may_probe,
            ));
        }
        if let Some(wanted) = self.probes.take() {
            tokio::spawn(probe(wanted, self.engines.clone(), self.desk.clone()));
        }
    }
}

/// The subset that the configuration asks for; without one the gateway works with the whole list.
fn selection(config: &Config, groups: &[QueryClass]) -> Option<Selection> {
    let mut settings = config.subset.clone()?;
    // A plan may narrow where a query is tried again.
    settings.retry_scope = settings.retry_scope.max(subset::retry_scope(groups));
    let kind_cores = config.decoded.settings.kind_cores.clone();
    match Selection::new(&config.name, settings, kind_cores) {
        Ok(selection) => Some(selection),
        Err(fault) => {
            tracing::error!(%fault, "no subset: the gateway works with the whole list");
            None
        }
    }
}

/// Keeps the subset for as long as the gateway runs.
async fn keep_subset(
    discovery: Arc<Discovery>,
    engines: Arc<Engines>,
    desk: Arc<Scheduler>,
    may_probe: bool,
) {
    let warm = |address| {
        let engines = engines.clone();
        async move { engines.warm(address, may_probe).await }
    };
    discovery
        .keep_subset(warm, |engine, warmed| {
            desk.health_check_ended(engine, warmed.end, warmed.report)
        })
        .await;
}

/// Takes configurations read again for as long as the gateway runs: the change log's address and the plan take effect.
async fn reload(
    started: Config,
    desk: Arc<Scheduler>,
    mut reloads: UnboundedReceiver<Config>,
    log: watch::Sender<SocketAddr>,
) {
    while let Some(config) = reloads.recv().await {
        for key in started.start_only(&config) {
            tracing::warn!(key, "changed, but takes effect at the next start only");
        }
        if let Some(plan) = &config.plan {
            let names = &started.decoded.names.groups;
            let groups =
                plan_routing::narrowed_classes(&started.decoded.settings.classes, names, plan);
            let routes = plan.routes.len();
            match desk.update_plan(plan.clone(), &groups) {
                true => tracing::info!(routes, limits = plan.limits.len(), "plan taken up"),
                false => tracing::warn!(
                    key = "plan",
                    "changed, but takes effect at the next start only"
                ),
            }
        }
        tracing::info!(changelog = %config.changelog, "configuration reloaded");
        log.send_replace(config.changelog);
    }
}

/// Probes the engines that the module wants to have probed, each in a task of its own.
async fn probe(
    mut wanted: UnboundedReceiver<EngineId>,
    engines: Arc<Engines>,
    desk: Arc<Scheduler>,
) {
    while let Some(engine) = wanted.recv().await {
        let (engines, desk) = (engines.clone(), desk.clone());
        tokio::spawn(async move {
            let (end, report) = engines.health_check(engine).await;
            // Reaching it is no proof that queries end well there, so only a failure counts.
            if end != AttemptEnd::Succeeded {
                engines.record_attempt_end(engine, end);
            }
            if end != AttemptEnd::NotSent {
                desk.health_check_ended(engine, end, report);
            }
        });
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A gateway killed outright starts again under its address at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
