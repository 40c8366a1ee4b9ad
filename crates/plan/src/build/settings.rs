//! The platform's settings, as far as a plan must fit them.

use crate::model::Idempotency;
use crate::schema::Outer;
use std::time::Duration;

/// What the platform's settings say, as far as a plan must fit them.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub classes: Vec<SettingsClass>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

/// A service group of the settings.
#[derive(Clone, Debug)]
pub struct SettingsClass {
    pub name: String,
    pub latency_objective: Duration,
    pub deadline: Duration,
    pub in_order: bool,
    pub idempotency: Idempotency,
    /// Where its batches may run; anywhere where it is none.
    pub kinds: Option<Vec<String>>,
    pub zones: Option<Vec<String>>,
}

impl Settings {
    pub(super) fn class(&self, name: &str) -> Option<&SettingsClass> {
        self.classes.iter().find(|g| g.name == name)
    }

    pub(super) fn names(&self, outer: Outer) -> Vec<&str> {
        match outer {
            Outer::Group => self.classes.iter().map(|g| g.name.as_str()).collect(),
            Outer::Tenant => self.tenants.iter().map(String::as_str).collect(),
            Outer::Kind => self.kinds.iter().map(String::as_str).collect(),
            Outer::Zone => self.zones.iter().map(String::as_str).collect(),
        }
    }
}
