//! Computes the share of the load that each zone gets: the nearest zones first, with a gradual spill to the next
//! priority level.

use super::shares::{carried_before_spilling, Shares};
use super::tolerance::MIN_DIVISOR;
use super::Zones;

/// If the allowed capacity is below this fraction of the capacity listed as ready and cannot carry the load, the
/// observed health is not trusted.
pub(super) const PANIC_FRACTION: f64 = 0.5;

impl Zones {
    /// Returns the share of each zone of a load in cores. `eligible` has an entry for each zone and says whether the
    /// load may run there; missing entries count as false.
    pub fn shares(&self, load: f64, eligible: &[bool]) -> Shares {
        let eligible: Vec<usize> = (0..self.zones.len())
            .filter(|zone| eligible.get(*zone).copied().unwrap_or_default())
            .collect();
        let listed: f64 = eligible.iter().map(|zone| self.zones[*zone].capacity).sum();
        let allowed: f64 = eligible.iter().map(|zone| self.allowed_cores(*zone)).sum();
        // If few zones look healthy and these cannot carry the load, the fault that makes the other zones look
        // unhealthy may be in this gateway.
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

    /// Returns the allowed cores of a zone that other gateways do not use; all of its listed cores in panic mode.
    fn free_cores(&self, zone: usize, panic: bool) -> f64 {
        if panic {
            return self.zones[zone].capacity;
        }
        (self.allowed_cores(zone) - self.zones[zone].load_of_others).max(0.0)
    }

    /// Sends all load to the nearest priority level with free cores. Used while no load is offered, for the first
    /// query.
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

    /// Distributes the load over all eligible zones in proportion to their listed capacity. No zone then gets more load
    /// per core than the few healthy zones would get on their own.
    fn share_by_capacity(&self, shares: &mut Shares, eligible: &[usize], load: f64) {
        let listed: f64 = eligible.iter().map(|zone| self.zones[*zone].capacity).sum();
        let carried = load.min(listed);
        for zone in eligible.iter().copied() {
            let state = &self.zones[zone];
            let share = carried / load * state.capacity / listed.max(MIN_DIVISOR);
            shares.add(zone, state.priority_level, share);
        }
    }

    /// Distributes the load over the priority levels, nearest first; each level spills to the next.
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

    /// Distributes load that spilled and found no capacity at the next levels over the cores that are still free.
    /// `remaining` is in cores.
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
