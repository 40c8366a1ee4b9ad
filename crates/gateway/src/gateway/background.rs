//! Starts the tasks that run beside the HTTP server until the gateway exits: the watch of the change log, reloads, the
//! scheduler's timer, maintenance of the engine subset, and health checks.

use super::reload::Reloader;
use super::Gateway;
use crate::configuration::{subset, Config};
use crate::discovery::reconnect::ReconnectBackoff;
use crate::discovery::{
    ChangeLogWatch, Discovery, HealthCheckOutcome, ListChange, NameIndex, SubsetSelection,
};
use crate::engines::Engines;
use crate::scheduling::scheduler::Scheduler;
use crate::supervision::{Supervisor, Task};
use crate::system::clock::clamped_duration;
use garnetwall::api::{AttemptEnd, EngineId, QueryClass, Settings};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

impl Gateway {
    /// Applies the configured initial engine list, then starts the background tasks.
    pub(super) fn start_background_tasks(&mut self, reloads: UnboundedReceiver<Config>) {
        let discovery = Arc::new(self.discovery());
        for event in std::mem::take(&mut self.config.initial_events) {
            discovery.apply(event);
        }
        let change_log = watch::Sender::new(self.config.change_log);
        self.watch_change_log(discovery.clone(), change_log.subscribe());
        self.start_reloader(reloads, change_log);
        self.supervisor.spawn_restarting(
            Task::SchedulerTimer,
            self.scheduler.clone(),
            |scheduler| Box::pin(scheduler.run_timer()),
        );
        if self.config.subset.is_some() {
            self.start_subset_maintenance(discovery);
        }
        if let Some(requests) = self.health_check_requests.take() {
            self.start_health_checker(requests);
        }
    }

    fn start_reloader(
        &self,
        reloads: UnboundedReceiver<Config>,
        change_log: watch::Sender<SocketAddr>,
    ) {
        let reloader = Reloader {
            initial_config: self.config.clone(),
            scheduler: self.scheduler.clone(),
            reloads,
            change_log,
        };
        self.supervisor
            .spawn_restarting(Task::ConfigurationReload, reloader, |reloader| {
                Box::pin(reloader.run())
            });
    }

    fn start_subset_maintenance(&self, discovery: Arc<Discovery>) {
        let maintenance = SubsetMaintenance {
            discovery,
            engines: self.engines.clone(),
            scheduler: self.scheduler.clone(),
            method: ConnectMethod::from_settings(&self.config.platform.settings),
            supervisor: self.supervisor.clone(),
        };
        self.supervisor
            .spawn_restarting(Task::SubsetMaintenance, maintenance, |maintenance| {
                Box::pin(maintenance.run())
            });
    }

    fn start_health_checker(&self, requests: UnboundedReceiver<EngineId>) {
        let checker = HealthChecker {
            requests,
            engines: self.engines.clone(),
            scheduler: self.scheduler.clone(),
            supervisor: self.supervisor.clone(),
        };
        self.supervisor
            .spawn_restarting(Task::HealthCheckRequests, checker, |checker| {
                Box::pin(checker.run())
            });
    }

    /// Creates the discovery, which passes each change of the engine list to the scheduler.
    fn discovery(&self) -> Discovery {
        let scheduler = self.scheduler.clone();
        let deliver = move |change: &ListChange| scheduler.update_endpoints(change);
        Discovery::new(self.list.clone(), Box::new(deliver))
    }

    fn watch_change_log(&self, discovery: Arc<Discovery>, change_log: watch::Receiver<SocketAddr>) {
        let names = NameIndex::new(&self.config.platform.names);
        let apply = Box::new(move |event| discovery.apply(event));
        let connect_timeout = clamped_duration(self.config.platform.network.connect_timeout);
        let reconnect = ReconnectBackoff::new(connect_timeout, self.config.seed);
        let watch = ChangeLogWatch::new(
            change_log,
            self.config.last_initial_event,
            names,
            apply,
            reconnect,
            self.supervisor.clone(),
        );
        self.supervisor
            .spawn_restarting(Task::ChangeLogWatch, watch, |watch| {
                Box::pin(watch.follow())
            });
    }
}

/// Creates the engine subset that the configuration asks for. `None` means that the gateway uses the whole engine list:
/// no subset is configured, or its settings are rejected.
pub(super) fn engine_selection(config: &Config, classes: &[QueryClass]) -> Option<SubsetSelection> {
    let mut settings = config.subset.clone()?;
    // A plan may narrow the retry scope of a class. `RetryScope` is ordered from wide to narrow, so the maximum is the
    // narrower scope.
    settings.retry_scope = settings.retry_scope.max(subset::retry_scope(classes));
    let kind_cores = config.platform.settings.kind_cores.clone();
    match SubsetSelection::new(&config.name, settings, kind_cores) {
        Ok(selection) => Some(selection),
        Err(error) => {
            tracing::error!(%error, "engine subset settings rejected, using the whole engine list");
            None
        }
    }
}

/// The method of connecting to a candidate for the engine subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectMethod {
    /// Connect and send a health check.
    HealthCheck,
    /// Connect without sending a request, because the settings do not allow health checks.
    WithoutRequest,
}

impl ConnectMethod {
    fn from_settings(settings: &Settings) -> Self {
        match settings.health_checks_allowed {
            true => ConnectMethod::HealthCheck,
            false => ConnectMethod::WithoutRequest,
        }
    }
}

/// Keeps the engine subset filled: connects to candidates and reports each engine that joins to the scheduler.
struct SubsetMaintenance {
    discovery: Arc<Discovery>,
    engines: Arc<Engines>,
    scheduler: Arc<Scheduler>,
    method: ConnectMethod,
    supervisor: Supervisor,
}

impl SubsetMaintenance {
    /// Maintains the subset; never returns.
    async fn run(&self) {
        let connect = |address| {
            let engines = self.engines.clone();
            let supervisor = self.supervisor.clone();
            let method = self.method;
            async move {
                let connecting = connect_to_candidate(&engines, address, method);
                let outcome = supervisor.watch(Task::SubsetCandidate, connecting).await;
                outcome.unwrap_or(HealthCheckOutcome {
                    end: AttemptEnd::NotSent,
                    report: None,
                })
            }
        };
        let joined = |engine, outcome: HealthCheckOutcome| {
            self.scheduler
                .health_check_ended(engine, outcome.end, outcome.report)
        };
        self.discovery.maintain_subset(connect, joined).await;
    }
}

async fn connect_to_candidate(
    engines: &Engines,
    address: SocketAddr,
    method: ConnectMethod,
) -> HealthCheckOutcome {
    match method {
        ConnectMethod::HealthCheck => engines.connect_by_health_check(address).await,
        ConnectMethod::WithoutRequest => engines.connect_without_request(address).await,
    }
}

/// Runs the health checks that the admission controller requests, each in its own task.
struct HealthChecker {
    requests: UnboundedReceiver<EngineId>,
    engines: Arc<Engines>,
    scheduler: Arc<Scheduler>,
    supervisor: Supervisor,
}

impl HealthChecker {
    /// Returns when no more health checks are requested.
    async fn run(&mut self) {
        while let Some(engine) = self.requests.recv().await {
            let check = check_health(engine, self.engines.clone(), self.scheduler.clone());
            self.supervisor.spawn(Task::HealthCheck, check);
        }
    }
}

/// Checks the health of an engine, and reports the outcome.
async fn check_health(engine: EngineId, engines: Arc<Engines>, scheduler: Arc<Scheduler>) {
    let HealthCheckOutcome { end, report } = engines.health_check(engine).await;
    // A successful health check does not prove that queries succeed on the engine, so only failures are recorded.
    if end != AttemptEnd::Succeeded {
        engines.record_attempt_end(engine, end);
    }
    if end != AttemptEnd::NotSent {
        scheduler.health_check_ended(engine, end, report);
    }
}
