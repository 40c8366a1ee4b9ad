//! Defines the subset of the platform's settings that plans are checked against.

use crate::model::Idempotency;
use crate::schema::Namespace;
use std::time::Duration;

/// The platform's settings that a plan must be consistent with: it may use only these names and must not allow more
/// than the classes allow.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// All query classes, with the rules that a plan may narrow.
    pub classes: Vec<SettingsClass>,
    /// Names of all tenants.
    pub tenants: Vec<String>,
    /// Names of all engine kinds.
    pub kinds: Vec<String>,
    /// Names of all zones.
    pub zones: Vec<String>,
}

/// A query class as defined by the settings.
#[derive(Clone, Debug)]
pub struct SettingsClass {
    /// Unique name of the class.
    pub name: String,
    /// Target response time.
    pub latency_objective: Duration,
    /// Time after which the response to a query is no longer useful.
    pub deadline: Duration,
    /// Whether queries with the same ordering key run one at a time, in order.
    pub in_order: bool,
    /// Whether a query that may already have run may run again.
    pub idempotency: Idempotency,
    /// Engine kinds on which queries of the class may run; `None` allows any kind.
    pub kinds: Option<Vec<String>>,
    /// Zones in which queries of the class may run; `None` allows any zone.
    pub zones: Option<Vec<String>>,
}

impl Settings {
    pub(super) fn class(&self, name: &str) -> Option<&SettingsClass> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns all names that the settings define in a namespace.
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
