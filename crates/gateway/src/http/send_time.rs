//! Admission stage: estimates when a client sent a query. The deadline of the query counts from that time.
//!
//! A client counts the allowed time from when it wants to send the query, but it may delay the request: until a
//! connection is free, or until an earlier query of the same ordering key is sent. The gateway knows only when the
//! request arrived. [`SendTimeEstimator::estimate`] returns the earliest time at which the client may have sent the
//! query.
//!
//! The estimate depends on the arrival time, the ordering key, the number of open queries (which shows whether clients
//! may lack connections), and earlier arrivals with the same key. All times and spans are in seconds on the scheduler's
//! clock.
//!
//! The estimate precedes the arrival by the longest of these delays:
//! - `MIN_DELAY_SECONDS`, always;
//! - the connect timeout, if clients may lack connections;
//! - the age of the burst plus `NEW_CONNECTION_GAP_SECONDS`, up to `MAX_BURST_DELAY_SECONDS`, for any query with a key;
//! - the age of the backlog, for a key whose arrival gaps show that its clients always have a query to send.

use std::collections::HashMap;

/// Least client-side delay that is assumed for every query.
const MIN_DELAY_SECONDS: f64 = 0.03;
/// A client may have to wait for a connection if this many connections or fewer are free.
const SPARE_CONNECTIONS: usize = 16;
/// Least time, by the protocol, between the first query of a key on a new connection and the next query of that key.
const NEW_CONNECTION_GAP_SECONDS: f64 = 0.25;
/// Least time, by the protocol, between any other two consecutive queries of a key. A queued query that expires at the
/// client never arrives, but delays the next query by the same time.
const QUEUE_GAP_SECONDS: f64 = 0.06;
/// Queries of a key that arrive less than this apart belong to one burst, and may have queued at the client.
const BURST_GAP_SECONDS: f64 = 0.5;
/// Longest client-side delay that is assumed because of a burst.
const MAX_BURST_DELAY_SECONDS: f64 = 2.0;
/// Largest deviation of an arrival gap from a gap of the protocol; a few round trips to the client.
const GAP_TOLERANCE_SECONDS: f64 = 0.004;
/// Number of consecutive protocol gaps that shows a backlog. A random gap matches a protocol gap with a probability of
/// about 1/5.
const MIN_BACKLOG_GAPS: u32 = 5;
/// Number of stored keys above which keys that no longer affect estimates are removed.
const KEY_PRUNE_THRESHOLD: usize = 1024;

/// Arrival history of one ordering key, from which the backlog at its clients is inferred. Times are in seconds.
#[derive(Clone, Copy, Debug)]
struct OrderingKeyArrivals {
    last_arrival: f64,
    /// First arrival of the current burst: each later one followed within [`BURST_GAP_SECONDS`] of the one before.
    burst_start: f64,
    /// First arrival of the current series of arrivals at protocol gaps.
    backlog_start: f64,
    /// Number of protocol gaps in this series.
    protocol_gap_count: u32,
    /// Last arrival of this series.
    last_queued_arrival: f64,
    /// Whether an arrival at another gap followed the last one of the series. A single such arrival does not end the
    /// series, since it may come from a faulty client that uses the same key.
    is_interrupted: bool,
}

impl OrderingKeyArrivals {
    fn new(arrival: f64, burst_start: f64) -> Self {
        OrderingKeyArrivals {
            last_arrival: arrival,
            burst_start,
            backlog_start: arrival,
            protocol_gap_count: 0,
            last_queued_arrival: arrival,
            is_interrupted: false,
        }
    }

    /// Whether the arrival gaps show that the clients always have a query of this key to send.
    fn is_backlogged(&self) -> bool {
        self.protocol_gap_count >= MIN_BACKLOG_GAPS
    }

    /// Returns the history with one more arrival. Queued queries that expire at the client make long gaps; such gaps,
    /// up to `max_queue_age` seconds, continue the series only if the key is known to be backlogged.
    fn with_arrival(self, arrival: f64, max_queue_age: f64) -> Self {
        let burst_start = if arrival - self.last_arrival < BURST_GAP_SECONDS {
            self.burst_start
        } else {
            arrival
        };
        let gap = arrival - self.last_queued_arrival;
        let max_gap = if self.is_backlogged() {
            max_queue_age
        } else {
            BURST_GAP_SECONDS
        };
        if gap < max_gap && is_protocol_gap(gap) {
            return OrderingKeyArrivals {
                last_arrival: arrival,
                burst_start,
                protocol_gap_count: self.protocol_gap_count + 1,
                last_queued_arrival: arrival,
                is_interrupted: false,
                ..self
            };
        }
        if gap < max_gap && self.is_backlogged() && !self.is_interrupted {
            return OrderingKeyArrivals {
                last_arrival: arrival,
                burst_start,
                is_interrupted: true,
                ..self
            };
        }
        OrderingKeyArrivals::new(arrival, burst_start)
    }

    /// Longest time in seconds that a query which arrives at `now` may have waited at its client behind others of the
    /// burst.
    fn burst_delay(&self, now: f64) -> f64 {
        (now - self.burst_start + NEW_CONNECTION_GAP_SECONDS).min(MAX_BURST_DELAY_SECONDS)
    }

    /// Longest time in seconds that a query which arrives at `now` may have waited in the backlog; 0 if there is none.
    fn backlog_delay(&self, now: f64) -> f64 {
        if self.is_backlogged() && !self.is_interrupted {
            now - self.backlog_start
        } else {
            0.0
        }
    }

    /// Whether a query that arrives at `now` may have queued behind these arrivals at its client.
    fn is_relevant(&self, now: f64, max_queue_age: f64) -> bool {
        let max_age = if self.is_backlogged() {
            max_queue_age
        } else {
            BURST_GAP_SECONDS
        };
        now - self.last_arrival < max_age
    }
}

/// Estimates when clients sent their queries, as described in the module documentation.
#[derive(Debug)]
pub struct SendTimeEstimator {
    keys: HashMap<u64, OrderingKeyArrivals>,
    /// Number of queries that client connections can carry at once.
    connection_capacity: usize,
    /// Longest time that a client waits for a connection, in seconds.
    connect_timeout: f64,
    /// Twice the longest deadline, in seconds: one deadline for the age that a query may have when it arrives, and one
    /// within which all queries that queued behind it at the client expire. After that, none of them can still arrive.
    max_queue_age: f64,
}

impl SendTimeEstimator {
    /// Returns an estimator without arrivals. Client connections can carry `connection_capacity` queries at once;
    /// clients wait up to `connect_timeout` seconds for a connection, and allow up to `longest_deadline` seconds for a
    /// query.
    pub fn new(connection_capacity: usize, connect_timeout: f64, longest_deadline: f64) -> Self {
        SendTimeEstimator {
            keys: HashMap::new(),
            connection_capacity,
            connect_timeout,
            max_queue_age: 2.0 * longest_deadline,
        }
    }

    /// Returns the earliest time in seconds at which the client may have sent a query that arrived at `arrival` while
    /// `open_queries` other queries were open. Records the arrival for later estimates of the same key.
    pub fn estimate(&mut self, key: Option<u64>, arrival: f64, open_queries: usize) -> f64 {
        let connection_delay = self.connection_delay(open_queries);
        let Some(key) = key else {
            return arrival - connection_delay;
        };
        let arrivals = self.record_arrival(key, arrival);
        let delay = connection_delay
            .max(arrivals.burst_delay(arrival))
            .max(arrivals.backlog_delay(arrival));
        arrival - delay
    }

    /// Longest time in seconds that a client may have waited for a connection; at least [`MIN_DELAY_SECONDS`].
    fn connection_delay(&self, open_queries: usize) -> f64 {
        if open_queries + SPARE_CONNECTIONS < self.connection_capacity {
            MIN_DELAY_SECONDS
        } else {
            MIN_DELAY_SECONDS.max(self.connect_timeout)
        }
    }

    fn record_arrival(&mut self, key: u64, arrival: f64) -> OrderingKeyArrivals {
        if self.keys.len() > KEY_PRUNE_THRESHOLD {
            self.keys
                .retain(|_, arrivals| arrivals.is_relevant(arrival, self.max_queue_age));
        }
        let arrivals = match self.keys.get(&key) {
            Some(earlier) => earlier.with_arrival(arrival, self.max_queue_age),
            None => OrderingKeyArrivals::new(arrival, arrival),
        };
        self.keys.insert(key, arrivals);
        arrivals
    }
}

/// Whether two queries of a backlogged key may arrive `gap` seconds apart: one of the two gaps of the protocol, plus
/// [`QUEUE_GAP_SECONDS`] for each query between them that expired at the client.
fn is_protocol_gap(gap: f64) -> bool {
    let deviation = |base: f64| {
        let expired = ((gap - base) / QUEUE_GAP_SECONDS).round().max(0.0);
        (gap - base - expired * QUEUE_GAP_SECONDS).abs()
    };
    deviation(QUEUE_GAP_SECONDS).min(deviation(NEW_CONNECTION_GAP_SECONDS)) < GAP_TOLERANCE_SECONDS
}

#[cfg(test)]
mod tests;
