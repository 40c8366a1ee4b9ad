//! What one limit has counted, by key: exactly for as many keys as there is room for, in a sketch for the rest.

use crate::sketch::{Cells, CountMinSketch, Usage};
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

/// Where the counts of a key stand.
#[derive(Clone, Copy, Debug)]
pub(super) enum Slot {
    Exact(u32),
    Shared(Cells),
}

/// The state of a limit.
#[derive(Debug, Default)]
pub(super) struct LimitState {
    pub(super) number: u64,
    slots: HashMap<LimitKey, u32>,
    pub(super) usage: Vec<(LimitKey, Usage)>,
    eviction_hand: usize,
    pub(super) sketch: Option<CountMinSketch>,
    /// Usual seconds in flight.
    pub(super) mean_hold_seconds: f64,
}

impl LimitState {
    pub(super) fn usage_of_key(&self, key: &LimitKey) -> Usage {
        match (self.slots.get(key), &self.sketch) {
            (Some(at), _) => self.usage[*at as usize].1,
            (None, Some(sketch)) => sketch.usage(&sketch.cells(key)),
            (None, None) => Usage::default(),
        }
    }

    pub(super) fn usage_of_slot(&self, slot: &Slot) -> Usage {
        match (slot, &self.sketch) {
            (Slot::Exact(at), _) => self.usage[*at as usize].1,
            (Slot::Shared(cells), Some(sketch)) => sketch.usage(cells),
            (Slot::Shared(_), None) => Usage::default(),
        }
    }

    /// A place for a key: its own, a new one, that of an idle key, or cells that it shares.
    pub(super) fn slot_for(&mut self, now: Duration, key: LimitKey, max_exact_keys: usize) -> Slot {
        if let Some(at) = self.slots.get(&key) {
            return Slot::Exact(*at);
        }
        // What the sketch holds of it must not be forgotten.
        if let Some(sketch) = &self.sketch {
            let cells = sketch.cells(&key);
            if !sketch.usage(&cells).is_idle(now) {
                return Slot::Shared(cells);
            }
        }
        if self.usage.len() < max_exact_keys {
            self.usage.push((key, Usage::default()));
            self.slots.insert(key, self.usage.len() as u32 - 1);
            return Slot::Exact(self.usage.len() as u32 - 1);
        }
        for _ in 0..EVICTION_PROBES.min(self.usage.len()) {
            self.eviction_hand = (self.eviction_hand + 1) % self.usage.len();
            let (old, load) = self.usage[self.eviction_hand];
            if load.is_idle(now) {
                self.slots.remove(&old);
                self.usage[self.eviction_hand] = (key, Usage::default());
                self.slots.insert(key, self.eviction_hand as u32);
                return Slot::Exact(self.eviction_hand as u32);
            }
        }
        Slot::Shared(
            self.sketch
                .get_or_insert_with(CountMinSketch::new)
                .cells(&key),
        )
    }

    pub(super) fn release(&mut self, slot: Slot) {
        match (slot, &mut self.sketch) {
            (Slot::Exact(at), _) => {
                let load = &mut self.usage[at as usize].1;
                load.in_flight = load.in_flight.saturating_sub(1);
            }
            (Slot::Shared(cells), Some(sketch)) => sketch.release(&cells),
            (Slot::Shared(_), None) => {}
        }
    }
}
