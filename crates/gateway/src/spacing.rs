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
        Line { last: came, since, full: came, distances: 0, place: came, stranger: false }
    }

    fn is_full(&self) -> bool {
        self.distances >= SURE
    }

    /// The line once another batch of its key has come. Places that were never seen make long gaps, which only a line that
    /// is known to be full may have.
    fn with(self, came: f64, oldest: f64) -> Self {
        let since = if came - self.last < CLOSE { self.since } else { came };
        let gap = came - self.place;
        let near = gap < if self.is_full() { oldest } else { CLOSE };
        if near && is_distance(gap) {
            Line { last: came, since, distances: self.distances + 1, place: came, stranger: false, ..self }
        } else if near && self.is_full() && !self.stranger {
            Line { last: came, since, stranger: true, ..self }
        } else {
            Line::new(came, since)
        }
    }
}

/// The line of each key, and how long a client waits for a connection.
#[derive(Debug)]
pub struct Spacing {
    keys: HashMap<u64, Line>,
    /// Batches that clients' connections can hold, and seconds that a client waits for one.
    room: usize,
    waits: f64,
    /// Twice the longest time limit: a line whose end was as old as that when it was last seen, and all of which then
    /// expired, has had no place for a batch that can still come.
    oldest: f64,
}

impl Spacing {
    pub fn new(room: usize, waits: f64, longest: f64) -> Self {
        Spacing { keys: HashMap::new(), room, waits, oldest: 2.0 * longest }
    }

    /// The earliest time that a batch can have been sent at, by when it came, whether others of its key came
    /// just before, and how many batches hold a connection: where all do, it may have waited for one.
    pub fn sent(&mut self, key: Option<u64>, came: f64, in_hand: usize) -> f64 {
        let waited = if in_hand + NEARLY < self.room { WAITED } else { WAITED.max(self.waits) };
        let Some(key) = key else { return came - waited };
        if self.keys.len() > MANY {
            self.keys.retain(|_, line| came - line.last < if line.is_full() { self.oldest } else { CLOSE });
        }
        let before = self.keys.get(&key);
        let line = before.map_or_else(|| Line::new(came, came), |line| line.with(came, self.oldest));
        self.keys.insert(key, line);
        let close = (came - line.since + APART).min(LONGEST_LINE);
        let full = if line.is_full() && !line.stranger { came - line.full } else { 0.0 };
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
mod tests {
    use super::*;

    /// Found on days of overload: clients that had held batches back left before we answered.
    #[test]
    fn a_batch_that_may_have_been_held_back_counts_from_there() {
        let mut s = Spacing::new(100, 0.25, 20.0);
        assert_eq!(s.sent(None, 10.0, 0), 10.0 - WAITED);
        assert_eq!(s.sent(None, 10.0, 95), 9.75, "all connections were in use");
        assert_eq!(s.sent(Some(7), 10.0, 0), 9.75, "one that we never saw may have come before it");
        assert_eq!(s.sent(Some(7), 10.125, 0), 9.75, "in a line");
        assert_eq!(s.sent(Some(8), 10.125, 0), 9.875);
        assert_eq!(s.sent(Some(7), 11.0, 0), 10.75, "the line is over");
        let far = (1..10).map(|n| s.sent(Some(7), 11.0 + 0.27 * f64::from(n), 0)).last();
        assert_eq!(far, Some(13.43 - LONGEST_LINE), "closely, but by chance");
    }

    /// Found on fleet days: clients stand in line for a hot key for four seconds and more, places of batches that expired there
    /// are never seen, and bad clients call with the key in between.
    #[test]
    fn a_full_line_reaches_back_as_far_as_it_has_been_full() {
        let mut s = Spacing::new(100, 0.25, 20.0);
        let mut came = 10.0;
        s.sent(Some(7), came, 0);
        for gap in [0.25, 0.06, 0.061, 0.12, 0.249, 0.6, 2.04].into_iter().cycle().take(30) {
            came += gap;
            assert!(s.sent(Some(7), came, 0) <= 10.0, "{came}");
            if gap == 0.6 {
                assert!(s.sent(Some(7), came + 0.03, 0) > came - LONGEST_LINE, "a stranger");
            }
        }
        assert!(came > 20.0);
        came += 0.09;
        s.sent(Some(7), came, 0);
        came += 0.05;
        assert!(s.sent(Some(7), came, 0) >= came - LONGEST_LINE, "two strangers end the line");
        assert_eq!(
            s.sent(Some(7), came + 4.0, 0),
            came + 4.0 - APART,
            "a gap that only a full line may have"
        );
    }

    /// A key that comes steadily but by chance is not taken for a line that is as old as the day.
    #[test]
    fn a_steady_key_is_no_full_line() {
        let (mut s, mut dice) = (Spacing::new(100, 0.25, 20.0), 1_u64);
        let mut came = 10.0;
        let late = (0..10_000).filter(|_| {
            dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            came += 0.02 + 0.6 * (dice >> 11) as f64 / (1_u64 << 53) as f64;
            s.sent(Some(7), came, 0) < came - LONGEST_LINE - EXACT
        });
        let late = late.count();
        assert!(late < 200, "{late} of 10000 are taken to have stood for longer");
    }
}
