//! Chooses the bodies to evict from memory to the spool file.

use super::reservation::Reservation;
use super::{BodyId, Capacity, EvictionOutcome, EvictionPolicy, Storage, Usage};
use std::cmp::Reverse;

/// Fraction of the memory budget above which eviction starts.
const EVICTION_START_FRACTION: f64 = 0.75;
/// Fraction of the memory budget down to which eviction continues once it has started.
const EVICTION_STOP_FRACTION: f64 = 0.5;

impl Capacity {
    /// Chooses the next body to evict, and reserves space for it in the spool file. Returns `None` if memory is not
    /// short or no body can be evicted. Bodies of tenants that use at least a fair share of the used memory are evicted
    /// first.
    ///
    /// The caller writes the body and then calls [`Capacity::finish_eviction`].
    pub fn start_eviction(&mut self) -> Option<BodyId> {
        if self.policy == EvictionPolicy::Never || self.limits.file_bytes == 0 {
            return None;
        }
        self.memory_pressure = self.is_memory_short();
        if !self.memory_pressure {
            return None;
        }
        let id = self.eviction_candidate()?;
        let memory_bytes = self.reservations.get(&id)?.usage.memory_bytes;
        self.reserve(id, Usage::stored(Storage::File, memory_bytes));
        self.reservations
            .entry(id)
            .and_modify(|reservation| reservation.evicting = true);
        Some(id)
    }

    /// Ends the eviction of a body. Releases the body's memory if the body was written to the spool file, else its
    /// space in the file. Does nothing if the body was removed or is not being evicted.
    pub fn finish_eviction(&mut self, id: BodyId, outcome: EvictionOutcome) {
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return;
        };
        if !reservation.evicting {
            return;
        }
        reservation.evicting = false;
        let memory_bytes = reservation.usage.memory_bytes;
        if outcome == EvictionOutcome::Failed {
            self.release(id, Usage::stored(Storage::File, memory_bytes));
            return;
        }
        if reservation.storage == Storage::Memory {
            reservation.storage = Storage::File;
        }
        self.release(id, Usage::stored(Storage::Memory, memory_bytes));
    }

    /// Returns whether the used memory, without bodies that are already being evicted, exceeds the current threshold:
    /// the stop fraction while eviction is under way, else the start fraction.
    fn is_memory_short(&self) -> bool {
        let evicting_bytes: u64 = self
            .reservations
            .values()
            .filter(|reservation| reservation.evicting)
            .map(|reservation| reservation.usage.memory_bytes)
            .sum();
        let fraction = if self.memory_pressure {
            EVICTION_STOP_FRACTION
        } else {
            EVICTION_START_FRACTION
        };
        let remaining_bytes = (self.total.memory_bytes - evicting_bytes) as f64;
        remaining_bytes > self.limits.memory_bytes as f64 * fraction
    }

    /// Returns the body to evict next: first by whether the tenant uses at least its fair share of the used memory,
    /// then by the eviction policy, then the oldest.
    fn eviction_candidate(&self) -> Option<BodyId> {
        let fair_share_bytes = self.total.memory_bytes / self.by_tenant.len().max(1) as u64;
        let candidates = self
            .reservations
            .iter()
            .filter(|(_, reservation)| self.can_evict(reservation));
        let priority = |(id, reservation): &(&BodyId, &Reservation)| {
            let over_fair_share = self
                .by_tenant
                .get(&reservation.tenant)
                .is_some_and(|usage| usage.memory_bytes >= fair_share_bytes);
            let size = match self.policy {
                EvictionPolicy::Largest => reservation.usage.memory_bytes,
                EvictionPolicy::Oldest | EvictionPolicy::Never => 0,
            };
            (over_fair_share, size, Reverse(**id))
        };
        candidates.max_by_key(priority).map(|(id, _)| *id)
    }

    /// Returns whether a body may be evicted: its length is known, it is in memory, and it fits into the spool file.
    fn can_evict(&self, reservation: &Reservation) -> bool {
        let memory_bytes = reservation.usage.memory_bytes;
        let in_file = Usage::stored(Storage::File, memory_bytes);
        reservation.storage == Storage::Memory
            && reservation.length_known
            && !reservation.evicting
            && memory_bytes > 0
            && self.fits(reservation.tenant, in_file)
    }
}
