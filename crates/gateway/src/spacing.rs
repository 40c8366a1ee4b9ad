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
/// Keys remembered before those that no longer matter are looked for.
const MANY: usize = 1024;

/// When a key came last, and since when it has come closely.
#[derive(Clone, Copy, Debug)]
struct Line {
    last: f64,
    since: f64,
    /// Since when its gaps have been the protocol's distances: as long its clients stand in a full line, however long.
    full: f64,
    /// The last that came out of that line, and whether one has come since that did not: a stranger's call with the key,
    /// as bad clients make, is no end of the line.
    place: f64,
    stranger: bool,
}

/// The line of each key, and how long a client waits for a connection.
#[derive(Debug)]
pub struct Spacing {
    keys: HashMap<u64, Line>,
    /// Batches that clients' connections can hold, and seconds that a client waits for one.
    room: usize,
    waits: f64,
}

impl Spacing {
    pub fn new(room: usize, waits: f64) -> Self {
        Spacing { keys: HashMap::new(), room, waits }
    }

    /// The earliest time that a batch can have been sent at, by when it came, whether others of its key came
    /// just before, and how many batches hold a connection: where all do, it may have waited for one.
    pub fn sent(&mut self, key: Option<u64>, came: f64, in_hand: usize) -> f64 {
        let waited = if in_hand + NEARLY < self.room { WAITED } else { WAITED.max(self.waits) };
        let Some(key) = key else { return came - waited };
        if self.keys.len() > MANY {
            self.keys.retain(|_, line| came - line.last < LONGEST_LINE);
        }
        let before = self.keys.get(&key).copied();
        let since = before.filter(|line| came - line.last < CLOSE).map_or(came, |line| line.since);
        let in_line = before.filter(|line| is_distance(came - line.place));
        let strange = before.filter(|line| !line.stranger && came - line.place < LONGEST_LINE);
        let (full, place, stranger) = match (in_line, strange) {
            (Some(line), _) => (line.full, came, false),
            (None, Some(line)) => (line.full, line.place, true),
            (None, None) => (came, came, false),
        };
        self.keys.insert(key, Line { last: came, since, full, place, stranger });
        let stood = (came - since + APART).min(LONGEST_LINE).max(if stranger { 0.0 } else { came - full });
        came - waited.max(stood)
    }
}

/// Whether two batches of a key came as far apart as they do out of a full line: one of the protocol's two distances, and
/// any places between that were never seen.
fn is_distance(gap: f64) -> bool {
    let off = |base: f64| {
        let places = ((gap - base) / PLACE).round().max(0.0);
        (gap - base - places * PLACE).abs()
    };
    gap < LONGEST_LINE && off(PLACE).min(off(APART)) < EXACT
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Found on days of overload: clients that had held batches back left before we answered.
    #[test]
    fn a_batch_that_may_have_been_held_back_counts_from_there() {
        let mut s = Spacing::new(100, 0.25);
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
        let mut s = Spacing::new(100, 0.25);
        let mut came = 10.0;
        s.sent(Some(7), came, 0);
        for gap in [0.25, 0.06, 0.061, 0.6, 0.12, 0.249, 1.56].into_iter().cycle().take(30) {
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
        assert_eq!(s.sent(Some(7), came + 4.0, 0), came + 4.0 - APART, "and it is long over");
    }

    /// A key that comes steadily but by chance is not taken for a line that is as old as the day.
    #[test]
    fn a_steady_key_is_no_full_line() {
        let (mut s, mut dice) = (Spacing::new(100, 0.25), 1_u64);
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
