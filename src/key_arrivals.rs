//! Decides whether a query may be admitted without overtaking, or being overtaken by, another one of its ordering key.
//!
//! Queries of an ordering key run in the order in which they are admitted. [`KeyArrivals`] refuses a query that may have
//! arrived before one of its key that was admitted earlier. However late a query is read, it then never runs after a later
//! one, whatever has kept it from being read in time.
//!
//! It does no I/O and reads no clock. All times are in seconds on the caller's clock.

use std::collections::{HashMap, VecDeque};

/// Queries of a key are at least 0.06 s apart, by the protocol. Times of arrival that differ by less than half of that
/// come from the resolution of the clock, or from clients that don't mind the order.
const RESOLUTION_SECONDS: f64 = 0.03;
/// Largest number of keys whose arrivals are remembered one by one.
const MAX_KEYS: usize = 16_384;

/// The time at which a query arrived, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivalBounds {
    /// The earliest possible time, in seconds.
    pub earliest: f64,
    /// The latest possible time, in seconds. Equal to `earliest` if the time is known.
    pub latest: f64,
}

/// An arrival that is remembered until it expires.
#[derive(Clone, Copy, Debug)]
struct RememberedArrival {
    key: u64,
    latest: f64,
}

/// The newest admitted arrival of each ordering key.
///
/// ```
/// use garnetwall::key_arrivals::{ArrivalBounds, KeyArrivals};
///
/// let at = |time| ArrivalBounds { earliest: time, latest: time };
/// let mut arrivals = KeyArrivals::new(3.0);
/// arrivals.record(7, at(100.3));
/// assert!(!arrivals.may_follow(7, at(100.0)));
/// assert!(arrivals.may_follow(7, at(100.4)));
/// assert!(arrivals.may_follow(8, at(100.0)));
/// ```
#[derive(Debug)]
pub struct KeyArrivals {
    /// The latest possible arrival of all admitted queries, by key.
    newest: HashMap<u64, f64>,
    /// The arrivals in the order of admission, with those that a newer one of the key has replaced.
    remembered: VecDeque<RememberedArrival>,
    /// The newest arrival that was forgotten. Queries of any key may follow it.
    forgotten: f64,
    retention_seconds: f64,
}

impl KeyArrivals {
    /// Remembers arrivals for `retention_seconds`, the longest time after its arrival in which a query may be admitted.
    pub fn new(retention_seconds: f64) -> Self {
        KeyArrivals {
            newest: HashMap::new(),
            remembered: VecDeque::new(),
            forgotten: f64::NEG_INFINITY,
            retention_seconds,
        }
    }

    /// Whether a query of the key arrived after all others that were admitted. Differences of less than 0.03 s don't count.
    /// Where other arrivals are no longer remembered, the key's own may be among them, and an earlier query is refused.
    pub fn may_follow(&self, key: u64, arrival: ArrivalBounds) -> bool {
        let newest = self.newest.get(&key).copied().unwrap_or(self.forgotten);
        arrival.earliest + RESOLUTION_SECONDS >= newest
    }

    /// Records that a query of the key was admitted.
    pub fn record(&mut self, key: u64, arrival: ArrivalBounds) {
        let latest = arrival.latest;
        let newest = self.newest.entry(key).or_insert(latest);
        *newest = newest.max(latest);
        self.remembered.push_back(RememberedArrival { key, latest });
        while self.remembered.len() > MAX_KEYS {
            self.forget_first();
        }
    }

    /// Forgets the arrivals that are older than the retention time at `now`.
    pub fn discard_expired(&mut self, now: f64) {
        let expired_at = now - self.retention_seconds;
        while self
            .remembered
            .front()
            .is_some_and(|first| first.latest < expired_at)
        {
            self.forget_first();
        }
    }

    /// Forgets the arrival that was admitted first, unless it is the newest of its key no more.
    fn forget_first(&mut self) {
        let Some(first) = self.remembered.pop_front() else {
            return;
        };
        if self.newest.get(&first.key) == Some(&first.latest) {
            self.newest.remove(&first.key);
            self.forgotten = self.forgotten.max(first.latest);
        }
    }
}

#[cfg(test)]
mod tests;
