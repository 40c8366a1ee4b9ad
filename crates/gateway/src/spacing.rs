//! When a batch was sent, as far as that can be told: the time a client allows counts from there, and a client
//! may have held it back before it wrote it.

use std::collections::HashMap;

/// Protocol: batches of one key are written this far apart, in seconds; after one that came on a new
/// connection, further.
const APART: f64 = 0.06;
const APART_AFTER_NEW: f64 = 0.25;
/// By which the distance of two arrivals differs from that of their writing: travel, and clients that are late.
const TRAVEL: f64 = 0.03;
/// A client may wait for a connection to come free before it writes. Seen up to 54 ms; limits on sockets are
/// 50 ms longer, so this much kept clear covers it.
const WAITED: f64 = 0.03;
/// Keys remembered before those that no longer matter are looked for.
const MANY: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Last {
    came: f64,
    sent: f64,
    apart: f64,
}

/// The last arrival of each key.
#[derive(Debug, Default)]
pub struct Spacing(HashMap<u64, Last>);

impl Spacing {
    /// The earliest time that a batch can have been sent at, by when it came and what came before it.
    pub fn sent(&mut self, key: Option<u64>, came: f64, new_connection: bool) -> f64 {
        let alone = came - WAITED;
        let Some(key) = key else { return alone };
        if self.0.len() > MANY {
            self.0.retain(|_, last| came - last.came < APART_AFTER_NEW + TRAVEL);
        }
        let before = self.0.get(&key).filter(|last| came - last.came < last.apart + TRAVEL);
        // It may have stood right behind the one before it, which may have been held back itself.
        let sent = before.map_or(alone, |last| last.sent.min(alone));
        let apart = if new_connection { APART_AFTER_NEW } else { APART };
        self.0.insert(key, Last { came, sent, apart });
        sent
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Found on a day of overload: in-order batches that clients had held back were answered up to 0.2 s late.
    #[test]
    fn a_batch_held_back_behind_one_of_its_key_counts_from_there() {
        let mut s = Spacing::default();
        assert_eq!(s.sent(Some(7), 10.0, true), 10.0 - WAITED);
        assert_eq!(s.sent(Some(7), 10.249, false), 10.0 - WAITED, "right behind one on a new connection");
        assert_eq!(s.sent(Some(7), 10.31, false), 10.0 - WAITED, "and behind that one in turn");
        assert_eq!(s.sent(Some(7), 10.5, false), 10.5 - WAITED, "far enough apart");
        assert_eq!(s.sent(Some(8), 10.5, false), 10.5 - WAITED);
        assert_eq!(s.sent(None, 10.5, false), 10.5 - WAITED);
    }
}
