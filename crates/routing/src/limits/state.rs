//! What one limit has counted, by key: exactly for a bounded number of keys, in a sketch for the rest.

use super::sketch::{Cells, CountMinSketch, Usage};
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Entries looked at for an idle key to evict.
const EVICTION_PROBES: usize = 8;

/// What a limit counts separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub(super) struct LimitKey {
    pub(super) class: Option<u32>,
    pub(super) tenant: Option<u32>,
    pub(super) client: Option<IpAddr>,
}

/// Where a key is counted.
#[derive(Clone, Copy, Debug)]
pub(super) enum Slot {
    /// At this index, by itself.
    Exact(u32),
    /// In these cells of the sketch, with other keys.
    Shared(Cells),
}

/// A key that is counted exactly.
#[derive(Debug)]
struct ExactEntry {
    key: LimitKey,
    usage: Usage,
}

/// The state of a limit.
#[derive(Debug, Default)]
pub(super) struct LimitState {
    /// Tells it from the states of other limits, also across changes of the plan.
    pub(super) id: u64,
    /// The index of each key's entry.
    indices: HashMap<LimitKey, u32>,
    entries: Vec<ExactEntry>,
    /// The entry that was last looked at for one to evict, as by a clock algorithm.
    eviction_hand: usize,
    sketch: Option<CountMinSketch>,
    /// How long queries were in flight, as an exponentially weighted mean in seconds.
    pub(super) mean_seconds_in_flight: f64,
}

impl LimitState {
    /// The number of keys that are counted exactly.
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

    /// The slot of a key: its own, a new one, that of an idle key, or cells that it shares.
    pub(super) fn slot_for(&mut self, now: Duration, key: LimitKey, max_exact_keys: usize) -> Slot {
        if let Some(index) = self.indices.get(&key) {
            return Slot::Exact(*index);
        }
        // What the sketch has counted of it must not be forgotten.
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

    /// Gives the key the entry of an idle one, if one is found soon.
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

    /// Counts one more query in flight, and sets the theoretical arrival times.
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
