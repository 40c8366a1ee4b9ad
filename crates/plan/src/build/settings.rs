//! The platform's settings, as far as a plan must fit them.

use crate::model::Effect;
use crate::schema::Outer;
use std::time::Duration;

/// What the platform's settings say, as far as a plan must fit them.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub groups: Vec<SettingsGroup>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

/// A service group of the settings.
#[derive(Clone, Debug)]
pub struct SettingsGroup {
    pub name: String,
    pub goal: Duration,
    pub limit: Duration,
    pub in_order: bool,
    pub effect: Effect,
    /// Where its batches may run; anywhere where it is none.
    pub kinds: Option<Vec<String>>,
    pub zones: Option<Vec<String>>,
}

impl Settings {
    pub(super) fn group(&self, name: &str) -> Option<&SettingsGroup> {
        self.groups.iter().find(|g| g.name == name)
    }

    pub(super) fn names(&self, outer: Outer) -> Vec<&str> {
        match outer {
            Outer::Group => self.groups.iter().map(|g| g.name.as_str()).collect(),
            Outer::Tenant => self.tenants.iter().map(String::as_str).collect(),
            Outer::Kind => self.kinds.iter().map(String::as_str).collect(),
            Outer::Zone => self.zones.iter().map(String::as_str).collect(),
        }
    }
}
