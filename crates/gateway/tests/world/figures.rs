//! The figures of the world: times in milliseconds of the day that is played, and the rules in force.

use garnetwall::api::{RetryBudget, SlowStart};
use garnetwall_ledger::Bounds;
use std::time::Duration;

/// What the world moves on by at a time.
pub(super) const STEP: u64 = 10;
/// How long batches come.
pub(super) const DAY: u64 = 14_000;
/// Within this a connection comes up, or the call is lost.
pub(super) const CONNECT_TIMEOUT: u64 = 250;
/// How long an engine holds a poll back for the end of its attempt.
pub(super) const POLL_HOLD: u64 = 250;
/// An attempt that nobody polls for so long is ended by its engine.
pub(super) const UNASKED_RUN: u64 = 2000;
/// For so long notes keep an attempt running at most.
pub(super) const LONGEST_DEADLINE: u64 = 5000;
/// What the protocol adds to each deadline, and the world's steps.
pub(super) const SLACK: u64 = 50 + 2 * STEP;
/// How long a key rests after an attempt that did not end well.
pub(super) const KEY_REST: u64 = 500;
pub(super) const BOUNDS: Bounds = Bounds {
    long_poll: Duration::from_millis(POLL_HOLD),
    progress_events: false,
    poll_expiry: Duration::from_millis(UNASKED_RUN),
    cancel_pause: Duration::from_millis(50),
};
pub(super) const ENGINES: usize = 4;
/// The service group whose queries are not idempotent.
pub(super) const NON_IDEMPOTENT: usize = 1;
/// How long engines know an idempotency key, in seconds.
pub(super) const IDEMPOTENCY_WINDOW: f64 = 1.5;
pub(super) const SLOW_START: SlowStart = SlowStart {
    initial_fraction: 0.4,
    duration: 6.0,
    overload_multiple: 3.0,
    window: 2.0,
};
/// Of an engine.
pub(super) const CORES: f64 = 2.0;
pub(super) const RETRY_BUDGET: RetryBudget = RetryBudget {
    floor: 2.0,
    per_query: 0.2,
    window: 3.0,
};
