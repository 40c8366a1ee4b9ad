//! Stores the counts of one limit by key: exactly for a bounded number of keys, in a sketch for the rest.

use super::sketch::{Cells, CountMinSketch, Usage};
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Maximum number of entries that are examined to find an idle key to evict.
const EVICTION_PROBES: usize = 8;

/// The properties of a query by which a limit counts separately; `None` for those that it does not distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub(super) struct LimitKey {
    pub(super) class: Option<u32>,
    pub(super) tenant: Option<u32>,
    pub(super) client: Option<IpAddr>,
}

/// The place where a key is counted.
#[derive(Clone, Copy, Debug)]
pub(super) enum Slot {
    /// The index of the key's own entry.
    Exact(u32),
    /// Cells of the sketch, which the key may share with other keys.
    Shared(Cells),
}

/// The usage of a key that is counted exactly.
#[derive(Debug)]
struct ExactEntry {
    key: LimitKey,
    usage: Usage,
}

/// The counts of one limit.
#[derive(Debug, Default)]
pub(super) struct LimitState {
    /// Identifies this state; unique among all limits and kept when the plan is replaced.
    pub(super) id: u64,
    /// The index of each key's entry.
    indices: HashMap<LimitKey, u32>,
    entries: Vec<ExactEntry>,
    /// Index of the entry that was last examined for eviction (the hand of the clock algorithm).
    eviction_hand: usize,
    sketch: Option<CountMinSketch>,
    /// Exponentially weighted mean, in seconds, of the time that queries were in flight.
    pub(super) mean_seconds_in_flight: f64,
}

impl LimitState {
    /// Returns the number of keys that are counted exactly.
    pub(super) fn exact_keys(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn usage_of_key(&self, key: &LimitKey) -> Usage {
        match (self.indices.get(key), &self.sketch) {
            (Some(index), _) => self.entries[*index as usize].usage,
            (None, Some(sketch)) => sketch.usage(&sketch.cells(key)),
            (None, None) => Usage::default(),
        }
    }

    pub(super) fn usage_of_slot(&self, slot: &Slot) -> Usage {
        match (slot, &self.sketch) {
            (Slot::Exact(index), _) => self.entries[*index as usize].usage,
            (Slot::Shared(cells), Some(sketch)) => sketch.usage(cells),
            (Slot::Shared(_), None) => Usage::default(),
        }
    }

    /// Returns the slot of a key. A key without an entry gets a new one, or replaces an idle key, or else shares cells
    /// of the sketch.
    pub(super) fn slot_for(&mut self, now: Duration, key: LimitKey, max_exact_keys: usize) -> Slot {
        if let Some(index) = self.indices.get(&key) {
            return Slot::Exact(*index);
        }
        // A key that still has usage in the sketch stays there: a new entry would start from zero usage.
        if let Some(sketch) = &self.sketch {
            let cells = sketch.cells(&key);
            if !sketch.usage(&cells).is_idle(now) {
                return Slot::Shared(cells);
            }
        }
        if self.entries.len() < max_exact_keys {
            return self.add_entry(key);
        }
        if let Some(slot) = self.replace_idle_entry(now, key) {
            return slot;
        }
        let sketch = self.sketch.get_or_insert_with(CountMinSketch::new);
        Slot::Shared(sketch.cells(&key))
    }

    fn add_entry(&mut self, key: LimitKey) -> Slot {
        let index = self.entries.len() as u32;
        self.entries.push(ExactEntry {
            key,
            usage: Usage::default(),
        });
        self.indices.insert(key, index);
        Slot::Exact(index)
    }

    /// Replaces an idle key by this one. Returns `None` if none of the next [`EVICTION_PROBES`] entries is idle.
    fn replace_idle_entry(&mut self, now: Duration, key: LimitKey) -> Option<Slot> {
        for _ in 0..EVICTION_PROBES.min(self.entries.len()) {
            self.eviction_hand = (self.eviction_hand + 1) % self.entries.len();
            let entry = &mut self.entries[self.eviction_hand];
            if entry.usage.is_idle(now) {
                self.indices.remove(&entry.key);
                *entry = ExactEntry {
                    key,
                    usage: Usage::default(),
                };
                let index = self.eviction_hand as u32;
                self.indices.insert(key, index);
                return Some(Slot::Exact(index));
            }
        }
        None
    }

    /// Counts one more query in flight and stores the new theoretical arrival times.
    pub(super) fn add(
        &mut self,
        slot: &Slot,
        queries_arrival_time: Duration,
        bytes_arrival_time: Duration,
    ) {
        match (slot, &mut self.sketch) {
            (Slot::Exact(index), _) => {
                let usage = &mut self.entries[*index as usize].usage;
                *usage = Usage {
                    in_flight: usage.in_flight + 1,
                    queries_arrival_time,
                    bytes_arrival_time,
                };
            }
            (Slot::Shared(cells), Some(sketch)) => {
                sketch.add(cells, queries_arrival_time, bytes_arrival_time)
            }
            (Slot::Shared(_), None) => {}
        }
    }

    pub(super) fn release(&mut self, slot: Slot) {
        match (slot, &mut self.sketch) {
            (Slot::Exact(index), _) => {
                let usage = &mut self.entries[index as usize].usage;
                usage.in_flight = usage.in_flight.saturating_sub(1);
            }
            (Slot::Shared(cells), Some(sketch)) => sketch.release(&cells),
            (Slot::Shared(_), None) => {}
        }
    }
}
