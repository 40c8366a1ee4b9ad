//! Admission stage: estimates when a client sent a query, from where its deadline counts.
//!
//! The time that a client allows starts when it wants to send the query, but it may hold the query back before it writes it:
//! while it waits for a free connection, or while an earlier query of the same ordering key is ahead. The gateway sees only
//! when the request arrived. [`SendTimeEstimator::estimate`] gives the earliest time at which the client may have sent it.
//!
//! Inputs: the arrival time, the ordering key, the number of open queries (whether clients may lack connections), and earlier
//! arrivals with the same key. All times and spans are in seconds, on the scheduler's clock.
//!
//! Bounds: the estimate lies before the arrival by the longest of these:
//! - `MIN_DELAY_SECONDS`, always;
//! - the connect timeout, where clients may lack connections;
//! - the age of the burst, up to `MAX_BURST_DELAY_SECONDS`, for a key whose queries arrive close together;
//! - the age of the client's queue, for a key whose gaps show that its queue is full.

use std::collections::HashMap;

/// Every query is taken to have been held back this long at least.
const MIN_DELAY_SECONDS: f64 = 0.03;
/// With this many connections free or fewer, a client may wait for one.
const SPARE_CONNECTIONS: usize = 16;
/// Protocol: least time between the first query of a key on a new connection and the next of that key.
const NEW_CONNECTION_GAP_SECONDS: f64 = 0.25;
/// Protocol: least time between other queries of a key. A queued query that expires at its client takes as long, and is never
/// seen here.
const QUEUE_GAP_SECONDS: f64 = 0.06;
/// Queries of a key that arrive closer than this may have queued at their client.
const BURST_GAP_SECONDS: f64 = 0.5;
/// Longest time that a burst is taken to have held a query back.
const MAX_BURST_DELAY_SECONDS: f64 = 2.0;
/// A gap is one of the protocol's gaps within this: a few round trips to the client.
const GAP_TOLERANCE_SECONDS: f64 = 0.004;
/// Consecutive gaps of the protocol that show a full queue; a random gap is one with a probability of about 1/5.
const MIN_BACKLOG_GAPS: u32 = 5;
/// Keys remembered before those that no longer matter are removed.
const KEY_PRUNE_THRESHOLD: usize = 1024;

/// The arrivals of one ordering key, as far as they show the queue at its clients. Times in seconds.
#[derive(Clone, Copy, Debug)]
struct OrderingKeyArrivals {
    last_arrival: f64,
    /// Since when each arrival has followed the one before within [`BURST_GAP_SECONDS`].
    burst_start: f64,
    /// Since when queued arrivals have had the protocol's gaps.
    backlog_start: f64,
    /// Consecutive gaps of the protocol between queued arrivals.
    protocol_gap_count: u32,
    last_queued_arrival: f64,
    /// An arrival at another gap followed the last queued one. One alone does not end the queue: a faulty client may use the
    /// key, too.
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

    /// Whether the gaps show that the clients always have a query of this key to send.
    fn is_backlogged(&self) -> bool {
        self.protocol_gap_count >= MIN_BACKLOG_GAPS
    }

    /// The arrivals with another one. Queued queries that expired unseen make long gaps; these count only in a queue that is
    /// known to be full, up to `max_queue_age` seconds.
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

    /// Longest time, in seconds, that a query which arrives now may have been held back behind others in a burst.
    fn burst_delay(&self, now: f64) -> f64 {
        (now - self.burst_start + NEW_CONNECTION_GAP_SECONDS).min(MAX_BURST_DELAY_SECONDS)
    }

    /// Longest time, in seconds, that a query which arrives now may have been in a full queue.
    fn backlog_delay(&self, now: f64) -> f64 {
        if self.is_backlogged() && !self.is_interrupted {
            now - self.backlog_start
        } else {
            0.0
        }
    }

    /// Whether a query that arrives now may still have queued behind these arrivals.
    fn is_relevant(&self, now: f64, max_queue_age: f64) -> bool {
        let max_age = if self.is_backlogged() {
            max_queue_age
        } else {
            BURST_GAP_SECONDS
        };
        now - self.last_arrival < max_age
    }
}

/// Estimates when clients sent their queries; see the module's documentation.
#[derive(Debug)]
pub struct SendTimeEstimator {
    keys: HashMap<u64, OrderingKeyArrivals>,
    /// Queries that clients' connections can carry at once.
    connection_capacity: usize,
    /// Time in seconds that a client waits for a connection.
    connect_timeout: f64,
    /// Twice the longest deadline, in seconds: a queue whose last query was that old when it was last seen, and all of which
    /// then expired, has had no query that can still arrive.
    max_queue_age: f64,
}

impl SendTimeEstimator {
    /// For clients whose connections can carry `connection_capacity` queries at once, who wait `connect_timeout` seconds for a
    /// connection and allow `longest_deadline` seconds at most.
    pub fn new(connection_capacity: usize, connect_timeout: f64, longest_deadline: f64) -> Self {
        SendTimeEstimator {
            keys: HashMap::new(),
            connection_capacity,
            connect_timeout,
            max_queue_age: 2.0 * longest_deadline,
        }
    }

    /// The earliest time, in seconds, at which the client may have sent a query that arrived at `arrival`, while
    /// `open_queries` others held connections. Remembers the arrival for later queries of the key.
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

    /// Longest time, in seconds, that a client may have waited for a connection.
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

/// Whether two queries of a key arrived as far apart as they do out of a full queue: by one of the protocol's two gaps, and
/// one more [`QUEUE_GAP_SECONDS`] for each query between them that expired unseen.
fn is_protocol_gap(gap: f64) -> bool {
    let deviation = |base: f64| {
        let expired = ((gap - base) / QUEUE_GAP_SECONDS).round().max(0.0);
        (gap - base - expired * QUEUE_GAP_SECONDS).abs()
    };
    deviation(QUEUE_GAP_SECONDS).min(deviation(NEW_CONNECTION_GAP_SECONDS)) < GAP_TOLERANCE_SECONDS
}

#[cfg(test)]
mod tests;
