//! Defines the decoded settings of a gateway.

use garnetwall::api::Settings;

/// The decoded settings of a gateway. They may be inconsistent until [`PlatformSettings::validate`] has accepted them.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the items that `settings` refers to by index.
    pub names: Names,
    /// Timeouts of connections to engines.
    pub network: NetworkTimeouts,
    /// Names of the values in a load report, in the order in which engines send them.
    pub report_fields: Vec<String>,
}

/// The names that the settings give to query classes, tenants, zones and kinds of engine, by the index that the
/// decision module uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Query class names, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Tenant names; empty for a tenant without one.
    pub tenants: Vec<String>,
    /// Zone names; [`QueryClass::zones`](garnetwall::api::QueryClass::zones) holds indices into them.
    pub zones: Vec<String>,
    /// Names of the kinds of engine; [`QueryClass::kinds`](garnetwall::api::QueryClass::kinds) holds indices into them.
    pub kinds: Vec<String>,
}

/// Timeouts of connections to engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkTimeouts {
    /// Time in seconds after which a connection that is not established counts as failed.
    pub connect_timeout: f64,
    /// Time in seconds after which engines close an idle connection.
    pub idle_timeout: f64,
}
