//! The tasks that run beside the HTTP front for as long as the gateway does.

use super::reload::apply_reloads;
use super::Gateway;
use crate::configuration::{subset, Config};
use crate::discovery::reconnect::Reconnect;
use crate::discovery::{Discovery, HealthCheckOutcome, ListChange, NameIndex, Selection, Watch};
use crate::engines::Engines;
use crate::scheduling::scheduler::Scheduler;
use crate::system::clock::clamped_duration;
use garnetwall::api::{AttemptEnd, EngineId, QueryClass, Settings};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

impl Gateway {
    /// Applies the engine list that is known at the start, and starts the tasks.
    pub(super) fn start_background_tasks(&mut self, reloads: UnboundedReceiver<Config>) {
        let discovery = Arc::new(self.discovery());
        for event in std::mem::take(&mut self.config.initial_events) {
            discovery.apply(event);
        }
        let change_log = watch::Sender::new(self.config.change_log);
        self.watch_change_log(discovery.clone(), change_log.subscribe());
        tokio::spawn(apply_reloads(
            self.config.clone(),
            self.scheduler.clone(),
            reloads,
            change_log,
        ));
        let scheduler = self.scheduler.clone();
        tokio::spawn(async move { scheduler.run_timer().await });
        if self.config.subset.is_some() {
            tokio::spawn(maintain_subset(
                discovery,
                self.engines.clone(),
                self.scheduler.clone(),
                ConnectMethod::from_settings(&self.config.platform.settings),
            ));
        }
        if let Some(requests) = self.health_check_requests.take() {
            tokio::spawn(check_health(
                requests,
                self.engines.clone(),
                self.scheduler.clone(),
            ));
        }
    }

    /// Discovery that delivers changes of the engine list to the scheduler.
    fn discovery(&self) -> Discovery {
        let scheduler = self.scheduler.clone();
        let deliver = move |change: &ListChange| scheduler.update_endpoints(change);
        Discovery::new(self.list.clone(), Box::new(deliver))
    }

    fn watch_change_log(&self, discovery: Arc<Discovery>, change_log: watch::Receiver<SocketAddr>) {
        let names = NameIndex::new(&self.config.platform.names);
        let apply = Box::new(move |event| discovery.apply(event));
        let watch = Watch::new(change_log, self.config.last_initial_event, names, apply);
        let connect_timeout = clamped_duration(self.config.platform.network.connect_timeout);
        tokio::spawn(watch.follow(Reconnect::new(connect_timeout, self.config.seed)));
    }
}

/// The engine subset that the configuration asks for; without one the gateway works with the whole list.
pub(super) fn engine_selection(config: &Config, classes: &[QueryClass]) -> Option<Selection> {
    let mut settings = config.subset.clone()?;
    // A plan may narrow where a query is retried.
    settings.retry_scope = settings.retry_scope.max(subset::retry_scope(classes));
    let kind_cores = config.platform.settings.kind_cores.clone();
    match Selection::new(&config.name, settings, kind_cores) {
        Ok(selection) => Some(selection),
        Err(error) => {
            tracing::error!(%error, "engine subset not usable, using the whole engine list");
            None
        }
    }
}

/// How a candidate of the engine subset is connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectMethod {
    HealthCheck,
    /// The settings allow no health checks.
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

/// Maintains the engine subset: connects to candidates and reports those that joined.
async fn maintain_subset(
    discovery: Arc<Discovery>,
    engines: Arc<Engines>,
    scheduler: Arc<Scheduler>,
    method: ConnectMethod,
) {
    let connect = |address| {
        let engines = engines.clone();
        async move {
            match method {
                ConnectMethod::HealthCheck => engines.connect_by_health_check(address).await,
                ConnectMethod::WithoutRequest => engines.connect_without_request(address).await,
            }
        }
    };
    discovery
        .maintain_subset(connect, |engine, connected| {
            scheduler.health_check_ended(engine, connected.end, connected.report)
        })
        .await;
}

/// Checks the health of the engines that the decision module asks about, each in a task of its own.
async fn check_health(
    mut requests: UnboundedReceiver<EngineId>,
    engines: Arc<Engines>,
    scheduler: Arc<Scheduler>,
) {
    while let Some(engine) = requests.recv().await {
        let engines = engines.clone();
        let scheduler = scheduler.clone();
        tokio::spawn(async move {
            let HealthCheckOutcome { end, report } = engines.health_check(engine).await;
            // Reaching an engine does not prove that queries end well there, so only a failure counts.
            if end != AttemptEnd::Succeeded {
                engines.record_attempt_end(engine, end);
            }
            if end != AttemptEnd::NotSent {
                scheduler.health_check_ended(engine, end, report);
            }
        });
    }
}
