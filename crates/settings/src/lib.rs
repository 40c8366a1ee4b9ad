//! Decodes the settings of a gateway, and the load report of an engine, into the values of the decision module.
//!
//! Settings are given as text (`path=value` lines) or as nested JSON with the same keys. Every error names the key, the
//! cause and how to correct it.
//!
//! The keys are an external interface and must not change. Only this package maps them to the terms of the code. Times
//! are in milliseconds in the settings and in seconds in the fields.
//!
//! | key | field |
//! |---|---|
//! | `allowed.cancelling` | [`Settings::cancellation_allowed`] |
//! | `allowed.dial-timeout` | [`NetworkTimeouts::connect_timeout`] |
//! | `allowed.idle-close` | [`NetworkTimeouts::idle_timeout`] |
//! | `allowed.max-attempts` | [`Settings::max_attempts`] |
//! | `allowed.max-retry-after` | [`Settings::max_retry_after`] |
//! | `allowed.may-probe` | [`Settings::health_checks_allowed`] |
//! | `allowed.open-cap` | [`Settings::capacity`] |
//! | `allowed.retry-after` | [`Settings::retry_after_allowed`] |
//! | `balancers` | [`Settings::gateways`] |
//! | `categories` | [`Settings::classes`], names in [`Names::classes`] |
//! | `categories.N.aim-stretch` | [`QueryClass::latency_objective_stretch`] |
//! | `categories.N.allowed-on` | [`QueryClass::kinds`] |
//! | `categories.N.dedup-window`, `key-scope` | [`Idempotency::IdempotentByKey`] |
//! | `categories.N.give-up` | [`QueryClass::deadline`] |
//! | `categories.N.goal-time` | [`QueryClass::latency_objective`] |
//! | `categories.N.late-share` | [`QueryClass::late_value_share`] |
//! | `categories.N.one-at-a-time` | [`QueryClass::in_order`] |
//! | `categories.N.semantics` (`retryable`, `dedup`, `fragile`) | [`QueryClass::idempotency`] |
//! | `categories.N.worth` | [`QueryClass::priority_weight`] |
//! | `categories.N.zones-only` | [`QueryClass::zones`] |
//! | `domain.grants-count` | [`Settings::memory_grants`] |
//! | `domain.kind-cores`, `kind-memory-mb` | [`Settings::kind_cores`], [`Settings::kind_memory`] |
//! | `domain.largest-share` | [`Settings::max_grant_fraction`] |
//! | `domain.loads`, `waits-for-loads` | [`QueryClass::loads_data`], [`QueryClass::waits_for_data_loads`] |
//! | `domain.parallelism` | [`QueryClass::threads`] |
//! | `domain.progress` | [`Settings::progress_interval`] |
//! | `kinds` | [`Names::kinds`] |
//! | `registry-mode` | [`Settings::subscription_required`] |
//! | `rules.cold-from`, `warm-after` | [`SlowStart::initial_fraction`], [`SlowStart::duration`] |
//! | `rules.fall`, `fall-multiple` | [`SlowStart::window`], [`SlowStart::overload_multiple`] |
//! | `rules.extra-floor`, `extra-per-request`, `extra-window` | [`RetryBudget::floor`], [`RetryBudget::per_query`], [`RetryBudget::window`] |
//! | `rules.order-pause` | [`Settings::key_pause`] |
//! | `telemetry.fields` | [`PlatformSettings::report_fields`] |
//! | `telemetry.how` | [`Settings::load_reporting`] |
//! | `tenants` | [`Settings::tenants`], names in [`Names::tenants`] |
//! | `zones` | [`Names::zones`] |
//!
//! [`Idempotency::IdempotentByKey`]: garnetwall::api::Idempotency::IdempotentByKey
//! [`QueryClass::deadline`]: garnetwall::api::QueryClass::deadline
//! [`QueryClass::idempotency`]: garnetwall::api::QueryClass::idempotency
//! [`QueryClass::in_order`]: garnetwall::api::QueryClass::in_order
//! [`QueryClass::loads_data`]: garnetwall::api::QueryClass::loads_data
//! [`QueryClass::kinds`]: garnetwall::api::QueryClass::kinds
//! [`QueryClass::late_value_share`]: garnetwall::api::QueryClass::late_value_share
//! [`QueryClass::latency_objective`]: garnetwall::api::QueryClass::latency_objective
//! [`QueryClass::latency_objective_stretch`]: garnetwall::api::QueryClass::latency_objective_stretch
//! [`QueryClass::priority_weight`]: garnetwall::api::QueryClass::priority_weight
//! [`QueryClass::threads`]: garnetwall::api::QueryClass::threads
//! [`QueryClass::waits_for_data_loads`]: garnetwall::api::QueryClass::waits_for_data_loads
//! [`QueryClass::zones`]: garnetwall::api::QueryClass::zones
//! [`RetryBudget::floor`]: garnetwall::api::RetryBudget::floor
//! [`RetryBudget::per_query`]: garnetwall::api::RetryBudget::per_query
//! [`RetryBudget::window`]: garnetwall::api::RetryBudget::window
//! [`Settings::cancellation_allowed`]: garnetwall::api::Settings::cancellation_allowed
//! [`Settings::capacity`]: garnetwall::api::Settings::capacity
//! [`Settings::classes`]: garnetwall::api::Settings::classes
//! [`Settings::gateways`]: garnetwall::api::Settings::gateways
//! [`Settings::health_checks_allowed`]: garnetwall::api::Settings::health_checks_allowed
//! [`Settings::key_pause`]: garnetwall::api::Settings::key_pause
//! [`Settings::kind_cores`]: garnetwall::api::Settings::kind_cores
//! [`Settings::kind_memory`]: garnetwall::api::Settings::kind_memory
//! [`Settings::load_reporting`]: garnetwall::api::Settings::load_reporting
//! [`Settings::max_attempts`]: garnetwall::api::Settings::max_attempts
//! [`Settings::max_grant_fraction`]: garnetwall::api::Settings::max_grant_fraction
//! [`Settings::max_retry_after`]: garnetwall::api::Settings::max_retry_after
//! [`Settings::memory_grants`]: garnetwall::api::Settings::memory_grants
//! [`Settings::progress_interval`]: garnetwall::api::Settings::progress_interval
//! [`Settings::retry_after_allowed`]: garnetwall::api::Settings::retry_after_allowed
//! [`Settings::subscription_required`]: garnetwall::api::Settings::subscription_required
//! [`Settings::tenants`]: garnetwall::api::Settings::tenants
//! [`SlowStart::duration`]: garnetwall::api::SlowStart::duration
//! [`SlowStart::initial_fraction`]: garnetwall::api::SlowStart::initial_fraction
//! [`SlowStart::overload_multiple`]: garnetwall::api::SlowStart::overload_multiple
//! [`SlowStart::window`]: garnetwall::api::SlowStart::window

mod decode;
mod error;
mod flat;
mod load_report;
mod platform_settings;
mod schema;
mod validate;

pub use decode::decode;
pub use error::{abbreviate, SettingsError, SettingsErrorCause};
pub use flat::FlatSettings;
pub use load_report::decode_load_report;
pub use platform_settings::{Names, NetworkTimeouts, PlatformSettings};

#[cfg(test)]
mod tests;
