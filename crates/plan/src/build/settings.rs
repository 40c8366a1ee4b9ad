//! The platform's settings, as far as a plan must fit them.

use crate::model::Idempotency;
use crate::schema::Namespace;
use std::time::Duration;

/// What the platform's settings say, as far as a plan must fit them.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The query classes.
    pub classes: Vec<SettingsClass>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The names of the kinds of engines.
    pub kinds: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
}

/// A query class of the settings.
#[derive(Clone, Debug)]
pub struct SettingsClass {
    /// Its name.
    pub name: String,
    /// The response time to aim for.
    pub latency_objective: Duration,
    /// The time after which a query is of no use.
    pub deadline: Duration,
    /// Whether queries of one key run one at a time, in order.
    pub in_order: bool,
    /// Whether a query that may have run may run again.
    pub idempotency: Idempotency,
    /// The kinds of engines on which its queries may run; `None` is any.
    pub kinds: Option<Vec<String>>,
    /// The zones in which its queries may run; `None` is any.
    pub zones: Option<Vec<String>>,
}

impl Settings {
    pub(super) fn class(&self, name: &str) -> Option<&SettingsClass> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// All names of a namespace.
    pub(super) fn names(&self, namespace: Namespace) -> Vec<&str> {
        let class_names = self.classes.iter().map(|class| &class.name);
        let names: Vec<&String> = match namespace {
            Namespace::QueryClass => class_names.collect(),
            Namespace::Tenant => self.tenants.iter().collect(),
            Namespace::EngineKind => self.kinds.iter().collect(),
            Namespace::Zone => self.zones.iter().collect(),
        };
        names.into_iter().map(String::as_str).collect()
    }
}
