//! When a batch was sent, as far as that can be told: the time a client allows counts from there, and a client
//! may have held it back before it wrote it.

use std::collections::HashMap;

/// Protocol: batches of one key are written this far apart, in seconds; after one that came on a new
/// connection, further.
const APART: f64 = 0.06;
const APART_AFTER_NEW: f64 = 0.25;
/// By which the distance of two arrivals differs from that of their writing: travel, and clients that are late.
const TRAVEL: f64 = 0.03;
/// Kept clear in any case: up to 54 ms were seen, of which the protocol's longer limits cover 50.
const WAITED: f64 = 0.03;
/// Connections that clients may still have free when one of theirs waits.
const NEARLY: usize = 16;
/// Keys remembered before those that no longer matter are looked for.
const MANY: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Last {
    came: f64,
    sent: f64,
    apart: f64,
}

/// The last arrival of each key, and how long a client waits for a connection.
#[derive(Debug)]
pub struct Spacing {
    keys: HashMap<u64, Last>,
    /// Batches that clients' connections can hold, and seconds that a client waits for one.
    room: usize,
    waits: f64,
}

impl Spacing {
    pub fn new(room: usize, waits: f64) -> Self {
        Spacing { keys: HashMap::new(), room, waits }
    }

    /// The earliest time that a batch can have been sent at, by when it came, what came before it, and how many
    /// batches hold a connection: where all do, it may have waited for one.
    pub fn sent(&mut self, key: Option<u64>, came: f64, new_connection: bool, in_hand: usize) -> f64 {
        let alone = came - if in_hand + NEARLY < self.room { WAITED } else { WAITED.max(self.waits) };
        let Some(key) = key else { return alone };
        if self.keys.len() > MANY {
            self.keys.retain(|_, last| came - last.came < APART_AFTER_NEW + TRAVEL);
        }
        let before = self.keys.get(&key).filter(|last| came - last.came < last.apart + TRAVEL);
        // It may have stood right behind the one before it, which may have been held back itself.
        let sent = before.map_or(alone, |last| last.sent.min(alone));
        let apart = if new_connection { APART_AFTER_NEW } else { APART };
        self.keys.insert(key, Last { came, sent, apart });
        sent
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Found on a day of overload: in-order batches that clients had held back were answered up to 0.2 s late.
    #[test]
    fn a_batch_held_back_behind_one_of_its_key_counts_from_there() {
        let mut s = Spacing::new(100, 0.25);
        assert_eq!(s.sent(Some(7), 10.0, true, 0), 10.0 - WAITED);
        assert_eq!(s.sent(Some(7), 10.249, false, 0), 10.0 - WAITED, "right behind one on a new connection");
        assert_eq!(s.sent(Some(7), 10.31, false, 0), 10.0 - WAITED, "and behind that one in turn");
        assert_eq!(s.sent(Some(7), 10.5, false, 0), 10.5 - WAITED, "far enough apart");
        assert_eq!(s.sent(Some(8), 10.5, false, 0), 10.5 - WAITED);
        assert_eq!(s.sent(None, 10.5, false, 0), 10.5 - WAITED);
        // Found on another: with all connections in use clients waited for one, and their time ran.
        assert_eq!(s.sent(None, 10.5, false, 95), 10.25);
    }
}
