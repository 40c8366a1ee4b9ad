//! Implements the generic cell rate algorithm (ITU-T I.371). The rate limit stores one time for each key, its
//! theoretical arrival time: the time at which the next query is expected if queries arrive evenly at the rate.

use garnetwall_plan::model::Bucket;
use std::time::Duration;

/// Returns the theoretical arrival time of a key after a query of this cost is added. A cost above the burst counts as
/// one burst, because such a query could otherwise never conform.
pub(super) fn arrival_time_after(
    bucket: &Bucket,
    arrival_time: Duration,
    now: Duration,
    cost: f64,
) -> Duration {
    arrival_time.max(now)
        + Duration::from_secs_f64(cost.min(bucket.max_tokens) / bucket.tokens_per_second)
}

/// Returns the time until a query of this cost conforms to the rate, or `None` if it conforms now.
pub(super) fn wait_until_conforming(
    bucket: &Bucket,
    arrival_time: Duration,
    now: Duration,
    cost: f64,
) -> Option<Duration> {
    let ahead = arrival_time_after(bucket, arrival_time, now, cost).saturating_sub(now);
    let burst = Duration::from_secs_f64(bucket.max_tokens / bucket.tokens_per_second);
    let wait = ahead.saturating_sub(burst);
    (!wait.is_zero()).then_some(wait)
}
