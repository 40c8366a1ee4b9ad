//! Constants of the simulation, and the rules that are in force. Durations that are integers are in milliseconds,
//! others in seconds.

use garnetwall::api::{RetryBudget, SlowStart};
use garnetwall_ledger::{ProgressEvents, ProtocolLimits};
use std::time::Duration;

/// Time step of the simulation.
pub(super) const TIME_STEP: u64 = 10;
/// Time from the beginning during which queries arrive.
pub(super) const ARRIVAL_PERIOD: u64 = 14_000;
/// Time limit for establishing a connection.
pub(super) const CONNECT_TIMEOUT: u64 = 250;
/// Time for which an engine holds a poll of an attempt that still runs.
pub(super) const POLL_HOLD: u64 = 250;
/// An engine ends an attempt that has not been polled for this long.
pub(super) const UNPOLLED_LIFETIME: u64 = 2000;
/// Longest deadline of a query, and longest time for which progress reports keep an attempt running.
pub(super) const LONGEST_DEADLINE: u64 = 5000;
/// Tolerance that the protocol allows for each deadline, plus two time steps.
pub(super) const DEADLINE_TOLERANCE: u64 = 50 + 2 * TIME_STEP;
/// Pause of a key after an attempt that did not succeed.
pub(super) const KEY_PAUSE: u64 = 500;
pub(super) const PROTOCOL_LIMITS: ProtocolLimits = ProtocolLimits {
    long_poll: Duration::from_millis(POLL_HOLD),
    progress_events: ProgressEvents::NotSent,
    poll_expiry: Duration::from_millis(UNPOLLED_LIFETIME),
    cancel_pause: Duration::from_millis(50),
};
pub(super) const ENGINE_COUNT: usize = 4;
/// Index of the query class whose queries are not idempotent.
pub(super) const NON_IDEMPOTENT: usize = 1;
/// Time for which engines remember an idempotency key.
pub(super) const IDEMPOTENCY_WINDOW: f64 = 1.5;
pub(super) const SLOW_START: SlowStart = SlowStart {
    initial_fraction: 0.4,
    duration: 6.0,
    overload_multiple: 3.0,
    window: 2.0,
};
pub(super) const CORES_PER_ENGINE: f64 = 2.0;
pub(super) const RETRY_BUDGET: RetryBudget = RetryBudget {
    floor: 2.0,
    per_query: 0.2,
    window: 3.0,
};
