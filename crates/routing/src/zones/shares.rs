//! Defines the share of the load that each zone gets, and the load that a priority level carries before it spills.

use super::tolerance::MIN_DIVISOR;

/// Fraction of a priority level's capacity up to which the level carries all load. Above it, a growing part of the load
/// spills to the next level.
pub(super) const SPILL_FROM_FRACTION: f64 = 0.7;

/// The fractions of the offered load that go to each zone and priority level. The rest, up to 1, is rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    /// Fraction of the load for each zone, from 0 to 1.
    pub zones: Vec<f64>,
    /// Fraction of the load for each priority level, summed over its zones.
    pub priority_levels: Vec<f64>,
    /// Whether the load is distributed by listed capacity and health is ignored, because so many zones look unhealthy
    /// that the fault may be in this gateway's own observations.
    pub panic: bool,
}

impl Shares {
    /// Returns the fraction of the load that is rejected because no zone has capacity for it.
    pub fn rejected_share(&self) -> f64 {
        (1.0 - self.zones.iter().sum::<f64>()).max(0.0)
    }

    /// Picks the zone of one query in proportion to the shares, or returns `None` if the query is rejected. `draw` is a
    /// random number from 0, included, to 1, excluded.
    pub fn pick(&self, draw: f64) -> Option<usize> {
        let mut left = draw;
        self.zones.iter().position(|share| {
            left -= share;
            left < 0.0 && *share > 0.0
        })
    }

    pub(super) fn add(&mut self, zone: usize, priority_level: usize, share: f64) {
        self.zones[zone] += share;
        self.priority_levels[priority_level] += share;
    }
}

/// Returns the part of a load that a priority level carries; the rest spills to the next level. Load, capacity and
/// result are in cores.
///
/// The level carries all load up to 0.7 of its capacity, then a decreasing part of each further core of load, and never
/// more than its capacity. The curve is smooth, so that a load that varies does not jump between priority levels.
pub fn carried_before_spilling(load: f64, capacity: f64) -> f64 {
    if capacity <= MIN_DIVISOR {
        return 0.0;
    }
    let utilization = load / capacity;
    if utilization <= SPILL_FROM_FRACTION {
        return load;
    }
    let soft_range = 1.0 - SPILL_FROM_FRACTION;
    (capacity
        * (SPILL_FROM_FRACTION
            + soft_range * (1.0 - (-(utilization - SPILL_FROM_FRACTION) / soft_range).exp())))
    .min(load)
}
