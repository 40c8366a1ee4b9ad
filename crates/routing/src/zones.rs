//! Distributes load over zones: judges the health of each zone, derives the capacity that may be used in it, and
//! computes the share of the load that each zone gets. No gateway uses this module yet.
//!
//! The nearest zones are filled first. Load that they cannot carry spills gradually to the next priority level, and
//! load that no zone can carry is rejected. A recovering zone gets more load as it completes work, not as time passes.
//!
//! The module does no I/O. Loads and capacities are in cores, times are in seconds. docs/zones.md describes the states
//! of a zone and the reasons for the design.

mod load_shedding;
mod shares;
mod sharing;
mod tolerance;
mod zone;

pub use load_shedding::{admit_by_value, retry_after, LoadGroup};
pub use shares::{carried_before_spilling, Shares};
pub use zone::{Health, ZoneOutcome};

use zone::Zone;

/// The state of all zones, as this gateway observes it.
#[derive(Clone, Debug)]
pub struct Zones {
    zones: Vec<Zone>,
    priority_levels: usize,
}

impl Zones {
    /// Creates healthy zones without capacity, one for each given priority level. Level 0 is the nearest.
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

    /// Returns the health of a zone.
    pub fn health(&self, zone: usize) -> Health {
        self.zones[zone].health
    }

    /// Sets the capacity of a zone, in effective cores of the engines that the endpoint list shows as ready, and the
    /// load, in cores, that other gateways are known to send to the zone. A zone without capacity counts as lost.
    pub fn update_capacity(&mut self, now: f64, zone: usize, capacity: f64, load_of_others: f64) {
        self.zones[zone].update_capacity(now, capacity, load_of_others);
    }

    /// Records that an attempt was sent to a zone; `work` is its estimated work in core seconds. The work in flight
    /// does not affect the shares and appears only in `Debug` output.
    pub fn attempt_begun(&mut self, zone: usize, work: f64) {
        self.zones[zone].attempt_begun(work);
    }

    /// Records that an attempt in a zone ended, and updates the zone's health by its outcome. `work` is the value that
    /// was passed to [`attempt_begun`](Zones::attempt_begun).
    pub fn attempt_ended(&mut self, now: f64, zone: usize, work: f64, outcome: ZoneOutcome) {
        self.zones[zone].attempt_ended(now, work, outcome);
    }

    /// Returns whether a trial of a lost zone is due. If it is, the caller sends one idempotent query to the zone to
    /// find out whether it has recovered, and the next trial is due 0.5 s later.
    pub fn start_trial(&mut self, now: f64, zone: usize) -> bool {
        self.zones[zone].start_trial(now)
    }

    /// Returns the capacity of a zone that may be used now, in cores.
    pub fn allowed_cores(&self, zone: usize) -> f64 {
        self.zones[zone].allowed_cores()
    }
}

#[cfg(test)]
mod tests;
