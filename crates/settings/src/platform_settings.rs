//! What a set of settings says, in the terms of the code.

use garnetwall::api::Settings;

/// The settings that the platform gives a gateway, decoded. Their parts may still contradict one another until
/// [`PlatformSettings::validate`].
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names behind the indices in `settings`.
    pub names: Names,
    /// Timeouts of connections to engines.
    pub network: NetworkTimeouts,
    /// The names of the values of a load report, in wire order.
    pub report_fields: Vec<String>,
}

/// Names by the index that the decision module uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of the query classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of engine.
    pub kinds: Vec<String>,
}

/// Timeouts of connections to engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkTimeouts {
    /// Seconds until a connection that is not established counts as failed.
    pub connect_timeout: f64,
    /// Seconds after which engines close an idle connection.
    pub idle_timeout: f64,
}
