//! The shares of a load by zone, and how much a priority level carries before it spills.

use super::tolerance::MIN_DIVISOR;

/// Fraction of a priority level's capacity up to which all load stays there; from there on it spills by degrees.
pub(super) const SPILL_FROM_FRACTION: f64 = 0.7;
/// Which fraction of the offered load goes where; what is missing to 1 is rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    /// By zone.
    pub zones: Vec<f64>,
    /// By priority level.
    pub priority_levels: Vec<f64>,
    /// Too much looks unhealthy to be believed: the load goes to all that is listed as ready.
    pub panic: bool,
}

impl Shares {
    /// The fraction that fits nowhere.
    pub fn rejected_share(&self) -> f64 {
        (1.0 - self.zones.iter().sum::<f64>()).max(0.0)
    }

    /// The zone of one query by a number drawn from 0 to 1; none where it is rejected.
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

/// What a priority level carries of a load before the rest spills to the next: all of it up to 0.7 of
/// its capacity, then less and less of what is added, never more than its capacity. The curve has no edge, so that a load
/// that varies does not jump between priority levels. Both are in cores.
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
