//! The generic cell rate algorithm (ITU-T I.371): a rate limit that keeps one time for each key, its theoretical arrival
//! time, at which all queries so far would have arrived had they arrived evenly at the rate.

use garnetwall_plan::model::Bucket;
use std::time::Duration;

/// The theoretical arrival time of a key once a query of this cost is added. A cost over the burst counts as one burst, as
/// it could never conform otherwise.
pub(super) fn arrival_time_after(
    bucket: &Bucket,
    arrival_time: Duration,
    now: Duration,
    cost: f64,
) -> Duration {
    arrival_time.max(now)
        + Duration::from_secs_f64(cost.min(bucket.max_tokens) / bucket.tokens_per_second)
}

/// How long a query of this cost has to wait until it conforms; none where it conforms now.
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
