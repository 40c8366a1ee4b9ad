//! The figures of the world: times in milliseconds of the day that is played, and the rules in force.

use garnetwall::api::{ColdRule, FurtherBudget};
use garnetwall_ledger::Bounds;
use std::time::Duration;

pub(super) const STEP: u64 = 10;
pub(super) const DAY: u64 = 14_000;
pub(super) const DIAL: u64 = 250;
pub(super) const NEWS: u64 = 250;
pub(super) const UNASKED: u64 = 2000;
/// The longest time limit: for so long notes keep a dispatch running at most.
pub(super) const KEPT: u64 = 5000;
/// What the protocol adds to each limit, and the world's steps.
pub(super) const SLACK: u64 = 50 + 2 * STEP;
pub(super) const REST: u64 = 500;
pub(super) const BOUNDS: Bounds = Bounds {
    news: Duration::from_millis(NEWS),
    notes: false,
    unasked: Duration::from_millis(UNASKED),
    pause: Duration::from_millis(50),
};
pub(super) const ENGINES: usize = 4;
pub(super) const ONCE: usize = 1;
pub(super) const WINDOW: f64 = 1.5;
pub(super) const COLD: ColdRule = ColdRule { starts_at: 0.4, warm_after: 6.0, multiple: 3.0, window: 2.0 };
pub(super) const CORES: f64 = 2.0;
pub(super) const FURTHER: FurtherBudget = FurtherBudget { floor: 2.0, per_batch: 0.2, window: 3.0 };
