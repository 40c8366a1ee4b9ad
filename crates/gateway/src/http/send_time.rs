//! When a batch was sent, as far as that can be told: the time that a client allows counts from there, but the
//! client may have held the batch back before it wrote it.

use std::collections::HashMap;

/// Kept clear in any case: up to 54 ms were seen, of which the protocol's longer limits cover 50.
const WAITED: f64 = 0.03;
/// Connections that clients may still have free when one of theirs waits.
const NEARLY: usize = 16;
/// Protocol: batches of one key are written at least this far apart, after one on a new connection.
const APART: f64 = 0.25;
/// Batches of a key that come closer than this may stand in a line at their client, of which places that expire
/// are never seen.
const CLOSE: f64 = 0.5;
/// As far as such a line is taken to reach back; 0.33 s were seen, and 0.5 s was too little once.
const LONGEST_LINE: f64 = 2.0;
/// Protocol: batches of one key are written at least this far apart. A place in a client's line whose batch has expired
/// is never seen, and takes as long.
const PLACE: f64 = 0.06;
/// Gaps are the protocol's distances within this: a few round trips of clients.
const EXACT: f64 = 0.004;
/// So many such gaps in a row are no chance: one in five is, of gaps drawn evenly.
const SURE: u32 = 5;
/// Keys remembered before those that no longer matter are looked for.
const MANY: usize = 1024;

/// When a key came last, and since when it has come closely.
#[derive(Clone, Copy, Debug)]
struct Line {
    last: f64,
    since: f64,
    /// Since when its gaps have been the protocol's distances, and how many were: its clients stand in a full line.
    full: f64,
    distances: u32,
    /// The last that came out of that line, and whether one has come since that did not: a stranger's call with the key,
    /// as bad clients make, is no end of the line.
    place: f64,
    stranger: bool,
}

impl Line {
    fn new(came: f64, since: f64) -> Self {
        Line {
            last: came,
            since,
            full: came,
            distances: 0,
            place: came,
            stranger: false,
        }
    }

    fn is_full(&self) -> bool {
        self.distances >= SURE
    }

    /// The line once another batch of its key has come. Places that were never seen make long gaps, which only a line that
    /// is known to be full may have.
    fn with(self, came: f64, oldest: f64) -> Self {
        let since = if came - self.last < CLOSE {
            self.since
        } else {
            came
        };
        let gap = came - self.place;
        let near = gap < if self.is_full() { oldest } else { CLOSE };
        if near && is_distance(gap) {
            Line {
                last: came,
                since,
                distances: self.distances + 1,
                place: came,
                stranger: false,
                ..self
            }
        } else if near && self.is_full() && !self.stranger {
            Line {
                last: came,
                since,
                stranger: true,
                ..self
            }
        } else {
            Line::new(came, since)
        }
    }
}

/// The line of each key, and how long a client waits for a connection.
#[derive(Debug)]
pub struct SendTimeEstimator {
    keys: HashMap<u64, Line>,
    /// Batches that clients' connections can hold, and seconds that a client waits for one.
    room: usize,
    waits: f64,
    /// Twice the longest time limit: a line whose end was as old as that when it was last seen, and all of which then
    /// expired, has had no place for a batch that can still come.
    oldest: f64,
}

impl SendTimeEstimator {
    pub fn new(room: usize, waits: f64, longest: f64) -> Self {
        SendTimeEstimator {
            keys: HashMap::new(),
            room,
            waits,
            oldest: 2.0 * longest,
        }
    }

    /// The earliest time that a batch can have been sent at, by when it came, whether others of its key came
    /// just before, and how many batches hold a connection: where all do, it may have waited for one.
    pub fn estimate(&mut self, key: Option<u64>, came: f64, in_hand: usize) -> f64 {
        let waited = if in_hand + NEARLY < self.room {
            WAITED
        } else {
            WAITED.max(self.waits)
        };
        let Some(key) = key else { return came - waited };
        if self.keys.len() > MANY {
            self.keys.retain(|_, line| {
                came - line.last < if line.is_full() { self.oldest } else { CLOSE }
            });
        }
        let before = self.keys.get(&key);
        let line = before.map_or_else(
            || Line::new(came, came),
            |line| line.with(came, self.oldest),
        );
        self.keys.insert(key, line);
        let close = (came - line.since + APART).min(LONGEST_LINE);
        let full = if line.is_full() && !line.stranger {
            came - line.full
        } else {
            0.0
        };
        came - waited.max(close).max(full)
    }
}

/// Whether two batches of a key came as far apart as they do out of a full line: one of the protocol's two distances, and
/// any places between that were never seen.
fn is_distance(gap: f64) -> bool {
    let off = |base: f64| {
        let places = ((gap - base) / PLACE).round().max(0.0);
        (gap - base - places * PLACE).abs()
    };
    off(PLACE).min(off(APART)) < EXACT
}

#[cfg(test)]
mod tests;
