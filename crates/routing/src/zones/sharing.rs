//! Decides which fraction of the load goes to which zone: the nearest first, spilling to the next priority level by degrees.

use super::shares::{carried_before_spilling, Shares};
use super::tolerance::MIN_DIVISOR;
use super::Zones;

/// Fraction of the capacity listed as ready under which the healthy part is too small to be believed.
pub(super) const PANIC_FRACTION: f64 = 0.5;

impl Zones {
    /// Which fraction of a load, in cores, goes where. `eligible` says by zone whether it may run there.
    pub fn shares(&self, load: f64, eligible: &[bool]) -> Shares {
        let eligible: Vec<usize> = (0..self.zones.len())
            .filter(|zone| eligible.get(*zone).copied().unwrap_or_default())
            .collect();
        let listed: f64 = eligible.iter().map(|zone| self.zones[*zone].capacity).sum();
        let allowed: f64 = eligible.iter().map(|zone| self.allowed_cores(*zone)).sum();
        // Too few look healthy, and they would not carry it: the fault that makes the others look unhealthy may be here.
        let panic = allowed < PANIC_FRACTION * listed && allowed < load;
        let mut shares = Shares {
            zones: vec![0.0; self.zones.len()],
            priority_levels: vec![0.0; self.priority_levels],
            panic,
        };
        if load <= MIN_DIVISOR {
            self.share_nearest(&mut shares, &eligible);
        } else if panic {
            self.share_by_capacity(&mut shares, &eligible, load);
        } else {
            self.share_by_level(&mut shares, &eligible, load);
        }
        shares
    }

    /// Cores of a zone that are not used by others.
    fn free_cores(&self, zone: usize, panic: bool) -> f64 {
        if panic {
            return self.zones[zone].capacity;
        }
        (self.allowed_cores(zone) - self.zones[zone].load_of_others).max(0.0)
    }

    /// Nothing is offered yet: the first query goes to the nearest priority level that has any capacity.
    fn share_nearest(&self, shares: &mut Shares, eligible: &[usize]) {
        let panic = shares.panic;
        let has_cores = |zone: &&usize| self.free_cores(**zone, panic) > 0.0;
        let level_of = |zone: &usize| self.zones[*zone].priority_level;
        let nearest = eligible.iter().filter(has_cores).map(level_of).min();
        let in_nearest: Vec<usize> = eligible
            .iter()
            .filter(|zone| Some(level_of(zone)) == nearest && has_cores(zone))
            .copied()
            .collect();
        let cores: f64 = in_nearest
            .iter()
            .map(|zone| self.free_cores(*zone, panic))
            .sum();
        for zone in in_nearest {
            let share = self.free_cores(zone, panic) / cores;
            shares.add(zone, level_of(&zone), share);
        }
    }

    /// By capacity over all zones that are listed: none gets more for its cores than the healthy few would get.
    fn share_by_capacity(&self, shares: &mut Shares, eligible: &[usize], load: f64) {
        let listed: f64 = eligible.iter().map(|zone| self.zones[*zone].capacity).sum();
        let carried = load.min(listed);
        for zone in eligible.iter().copied() {
            let state = &self.zones[zone];
            let share = carried / load * state.capacity / listed.max(MIN_DIVISOR);
            shares.add(zone, state.priority_level, share);
        }
    }

    /// By priority level, the nearest first, each spilling to the next.
    fn share_by_level(&self, shares: &mut Shares, eligible: &[usize], load: f64) {
        let free_cores = |zone: usize| self.free_cores(zone, false);
        let level_of = |zone: usize| self.zones[zone].priority_level;
        let mut remaining = load;
        for level in 0..self.priority_levels {
            let in_level: Vec<usize> = eligible
                .iter()
                .copied()
                .filter(|zone| level_of(*zone) == level)
                .collect();
            let cores: f64 = in_level.iter().map(|zone| free_cores(*zone)).sum();
            let can_spill = eligible
                .iter()
                .any(|zone| level_of(*zone) > level && free_cores(*zone) > 0.0);
            let carried = if can_spill {
                carried_before_spilling(remaining, cores)
            } else {
                remaining.min(cores)
            };
            for zone in in_level.into_iter().filter(|_| cores > MIN_DIVISOR) {
                shares.add(zone, level, carried / load * free_cores(zone) / cores);
            }
            remaining -= carried;
        }
        self.share_remaining(shares, eligible, load, remaining);
    }

    /// What spilled and found no capacity at the next levels, in cores, goes back to where there is some.
    fn share_remaining(
        &self,
        shares: &mut Shares,
        eligible: &[usize],
        load: f64,
        mut remaining: f64,
    ) {
        for zone in eligible.iter().copied() {
            let free = (self.free_cores(zone, false) - shares.zones[zone] * load)
                .max(0.0)
                .min(remaining.max(0.0));
            shares.add(zone, self.zones[zone].priority_level, free / load);
            remaining -= free;
        }
    }
}
