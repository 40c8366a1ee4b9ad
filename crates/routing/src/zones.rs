//! Zone-aware load sharing: how healthy each zone looks from here, how much it may carry, and what share of the load goes
//! where. Near zones come first; what they cannot carry spills to the next priority level by degrees; what fits nowhere
//! is rejected. A zone that recovers gets its share by what it has shown it can carry, not by the clock. No I/O. Used by no
//! gateway yet.
//!
//! Loads and capacities are in cores. docs/zones.md has the states and the reasons.

mod load_shedding;
mod shares;
mod sharing;
mod tolerance;
mod zone;

pub use load_shedding::{admit_by_value, retry_after, LoadGroup};
pub use shares::{carried_before_spilling, Shares};
pub use zone::{Health, ZoneOutcome};

use zone::Zone;

/// All zones as this gateway sees them.
#[derive(Clone, Debug)]
pub struct Zones {
    zones: Vec<Zone>,
    priority_levels: usize,
}

impl Zones {
    /// Zones by their priority level, 0 the nearest.
    pub fn new(priority_levels: &[usize]) -> Self {
        let level_count = priority_levels
            .iter()
            .max()
            .map_or(0, |highest| highest + 1);
        Zones {
            zones: priority_levels
                .iter()
                .map(|level| Zone::new(*level))
                .collect(),
            priority_levels: level_count,
        }
    }

    /// The health of a zone.
    pub fn health(&self, zone: usize) -> Health {
        self.zones[zone].health
    }

    /// Sets a zone's capacity by the endpoint list, in effective cores of ready engines, and the load in cores that others
    /// are known to send there.
    pub fn update_capacity(&mut self, now: f64, zone: usize, capacity: f64, load_of_others: f64) {
        self.zones[zone].update_capacity(now, capacity, load_of_others);
    }

    /// An attempt of so much work, in core seconds, was sent to a zone. The work in flight has no influence on shares; only
    /// `Debug` shows it.
    pub fn attempt_begun(&mut self, zone: usize, work: f64) {
        self.zones[zone].attempt_begun(work);
    }

    /// An attempt ended there. `work` is what [`attempt_begun`](Zones::attempt_begun) was given; `outcome` decides on the
    /// zone's health.
    pub fn attempt_ended(&mut self, now: f64, zone: usize, work: f64, outcome: ZoneOutcome) {
        self.zones[zone].attempt_ended(now, work, outcome);
    }

    /// Whether a lost zone is to have a trial now: one idempotent query, to see whether it is back. The next trial is due an
    /// interval later.
    pub fn start_trial(&mut self, now: f64, zone: usize) -> bool {
        self.zones[zone].start_trial(now)
    }

    /// Capacity that a zone may be given now, in cores.
    pub fn allowed_cores(&self, zone: usize) -> f64 {
        self.zones[zone].allowed_cores()
    }
}

#[cfg(test)]
mod tests;
