//! Applies a reloaded configuration to a running gateway.
//!
//! A changed address of the change log takes effect at once, and so does a plan if the gateway was started with one.
//! Other changes are logged as needing a restart, except those of keys that are used only at a start.

use crate::configuration::Config;
use crate::scheduling::plan_routing;
use crate::scheduling::scheduler::{PlanUpdate, Scheduler};
use garnetwall_plan::Plan;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

/// Applies each configuration that is read again.
pub(super) struct Reloader {
    /// The configuration with which the gateway was started. A key needs a restart if its value differs from this one.
    pub initial_config: Config,
    pub scheduler: Arc<Scheduler>,
    /// Receives the configurations.
    pub reloads: UnboundedReceiver<Config>,
    /// The address of the change log.
    pub change_log: watch::Sender<SocketAddr>,
}

impl Reloader {
    /// Applies configurations until the gateway exits.
    pub async fn run(&mut self) {
        while let Some(config) = self.reloads.recv().await {
            self.apply(&config);
        }
    }

    fn apply(&self, config: &Config) {
        for key in self.initial_config.keys_needing_restart(config) {
            log_restart_needed(&key);
        }
        if let Some(plan) = &config.plan {
            update_plan(&self.initial_config, &self.scheduler, plan);
        }
        tracing::info!(changelog = %config.change_log, "configuration reloaded");
        self.change_log.send_replace(config.change_log);
    }
}

fn update_plan(initial_config: &Config, scheduler: &Scheduler, plan: &Arc<Plan>) {
    let names = &initial_config.platform.names.classes;
    let classes =
        plan_routing::narrowed_classes(&initial_config.platform.settings.classes, names, plan);
    match scheduler.update_plan(plan.clone(), &classes) {
        PlanUpdate::NeedsRestart => log_restart_needed("plan"),
        PlanUpdate::InForce => tracing::info!(
            routes = plan.routes.len(),
            limits = plan.limits.len(),
            "plan updated"
        ),
    }
}

fn log_restart_needed(key: &str) {
    tracing::warn!(key, "configuration change needs a restart");
}
