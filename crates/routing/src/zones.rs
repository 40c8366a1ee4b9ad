//! Zone-aware load sharing: how healthy each zone looks from here, how much it may carry, and what share of the load goes
//! where. Near zones come first; what they cannot carry spills to the next priority level by degrees; what fits nowhere
//! is rejected. A zone that recovers gets its share by what it has shown it can carry, not by the clock. No I/O. Used by no
//! gateway yet.
//!
//! Loads and capacities are in cores. docs/zones.md has the states and the reasons.

mod shares;

use std::time::Duration;

/// Fraction of a zone's capacity up to which all stays there; from there on it spills by degrees.
const SPILL_FROM_FRACTION: f64 = 0.7;
/// Seconds in which what was observed of a zone decays.
const OUTCOME_DECAY_SECONDS: f64 = 5.0;
/// Failure rate from which a zone counts as lost, and up to which it may come back; apart, so that it does not flutter.
const LOST_FAILURE_RATE: f64 = 0.7;
const RECOVERY_MAX_FAILURE_RATE: f64 = 0.3;
/// Weight of outcomes without which a failure rate shows nothing.
const MIN_OUTCOMES: f64 = 5.0;
/// Successful trials in a row after which a lost zone begins to recover.
const TRIALS_TO_RECOVER: u32 = 3;
/// Seconds between trials of a lost zone.
const TRIAL_INTERVAL_SECONDS: f64 = 0.5;
/// Fraction of its capacity with which a zone begins to recover, and the least it is reduced to.
const INITIAL_FRACTION: f64 = 0.05;
/// Factors of its fraction once it has carried it, and where it has not.
const GROWTH_FACTOR: f64 = 1.5;
const BACKOFF_FACTOR: f64 = 0.5;
/// Latency over its usual one from which it does not carry its fraction.
const MAX_SLOWDOWN: f64 = 2.0;
/// Seconds of its fraction that it must have done well before that grows, and the least of it that it must have been given
/// meanwhile: a part that was not asked for shows nothing.
const MIN_CARRIED_SECONDS: f64 = 1.0;
const MIN_DEMAND_FRACTION: f64 = 0.7;
/// Seconds that a zone is held back after it was lost again while returning; doubled each time.
const INITIAL_HOLD_SECONDS: f64 = 2.0;
const MAX_HOLD_SECONDS: f64 = 60.0;
/// Seconds in which a zone's record of losses is halved.
const LOSS_HALF_LIFE_SECONDS: f64 = 60.0;
/// Part of the capacity listed as ready under which the healthy part is too small to be believed.
const PANIC_FRACTION: f64 = 0.5;
const MIN_DIVISOR: f64 = 1e-9;

/// How a zone looks from here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// It gets its share of the load.
    Healthy,
    /// It gets trials only, from then on.
    Lost {
        /// In seconds.
        until: f64,
    },
    /// It gets this part of its capacity.
    Recovering {
        /// From above 0 to 1.
        fraction: f64,
    },
}

/// How a query ended in a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneOutcome {
    /// Work in core seconds, and latency over the usual one of its like.
    Succeeded {
        /// In core seconds.
        work: f64,
        /// Latency over the usual one of its class.
        slowdown: f64,
    },
    /// It failed, timed out or was lost.
    Failed,
}

#[derive(Clone, Debug)]
struct Zone {
    priority_level: usize,
    /// Cores of its engines that are listed as ready, as far as they are warm.
    capacity: f64,
    /// What others are known to send there, in cores.
    others: f64,
    health: Health,
    successes: f64,
    failures: f64,
    decayed_at: f64,
    /// Successful trials in a row.
    trials: u32,
    trial_at: f64,
    /// Work done well in this round, and when that began.
    carried: f64,
    round_at: f64,
    /// Work out there, by our count.
    work_in_flight: f64,
    /// Losses, fading.
    losses: f64,
    lost_at: f64,
}

/// What goes where, as parts of the load offered; what is missing to 1 is rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    /// By zone.
    pub zones: Vec<f64>,
    /// By priority level.
    pub priority_levels: Vec<f64>,
    /// Health is doubted: the load goes to all that is listed as ready.
    pub panic: bool,
}

impl Shares {
    /// The part that fits nowhere.
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
}

/// All zones as this gateway sees them.
#[derive(Clone, Debug)]
pub struct Zones {
    zones: Vec<Zone>,
    priority_levels: usize,
}

impl Zones {
    /// Zones by their priority level, 0 the nearest.
    pub fn new(priority_levels: &[usize]) -> Self {
        let zone = |priority_level: &usize| Zone {
            priority_level: *priority_level,
            capacity: 0.0,
            others: 0.0,
            health: Health::Healthy,
            successes: 0.0,
            failures: 0.0,
            decayed_at: 0.0,
            trials: 0,
            trial_at: 0.0,
            carried: 0.0,
            round_at: 0.0,
            work_in_flight: 0.0,
            losses: 0.0,
            lost_at: f64::NEG_INFINITY,
        };
        let count = priority_levels.iter().max().map_or(0, |most| most + 1);
        Zones {
            zones: priority_levels.iter().map(zone).collect(),
            priority_levels: count,
        }
    }

    /// How a zone looks from here.
    pub fn health(&self, zone: usize) -> Health {
        self.zones[zone].health
    }

    /// The list of engines: cores that are ready in a zone, as far as warm, and what others send there.
    pub fn update_capacity(&mut self, now: f64, zone: usize, capacity: f64, others: f64) {
        let zone_state = &mut self.zones[zone];
        let was = std::mem::replace(&mut zone_state.capacity, capacity.max(0.0));
        zone_state.others = others.max(0.0);
        if capacity <= 0.0 {
            zone_state.record_loss(now);
        } else if was <= 0.0 && matches!(zone_state.health, Health::Lost { .. }) {
            // Listed again: it is tried at once, if it has not been lost too often.
            zone_state.trials = 0;
            (zone_state.successes, zone_state.failures) = (0.0, 0.0);
        }
    }

    /// A query was sent to a zone, of so much work.
    pub fn attempt_begun(&mut self, zone: usize, work: f64) {
        self.zones[zone].work_in_flight += work;
    }

    /// It ended there.
    pub fn attempt_ended(&mut self, now: f64, zone: usize, work: f64, ended: ZoneOutcome) {
        let zone_state = &mut self.zones[zone];
        zone_state.work_in_flight = (zone_state.work_in_flight - work).max(0.0);
        zone_state.decay(now);
        match ended {
            ZoneOutcome::Succeeded { work, slowdown } => {
                zone_state.successes += 1.0;
                zone_state.trials += 1;
                zone_state.record_success(now, work, slowdown);
            }
            ZoneOutcome::Failed => {
                zone_state.failures += 1.0;
                zone_state.trials = 0;
                zone_state.record_failure(now);
            }
        }
    }

    /// Whether a lost zone is to have one query that may run again, to see whether it is back.
    pub fn should_try(&mut self, now: f64, zone: usize) -> bool {
        let zone_state = &mut self.zones[zone];
        let due = matches!(zone_state.health, Health::Lost { until } if now >= until)
            && now >= zone_state.trial_at;
        if due && zone_state.capacity > 0.0 {
            zone_state.trial_at = now + TRIAL_INTERVAL_SECONDS;
        }
        due && zone_state.capacity > 0.0
    }

    /// Capacity that a zone may be given now, in cores.
    pub fn allowed_cores(&self, zone: usize) -> f64 {
        let zone_state = &self.zones[zone];
        match zone_state.health {
            Health::Healthy => zone_state.capacity,
            Health::Lost { .. } => 0.0,
            Health::Recovering { fraction } => zone_state.capacity * fraction,
        }
    }
}

impl Shares {
    fn add(&mut self, zone: usize, priority_level: usize, share: f64) {
        self.zones[zone] += share;
        self.priority_levels[priority_level] += share;
    }
}

/// What a priority level keeps of a load: all of it up to the soft mark, then less and less of what is added, never more than it
/// holds. Without an edge, so that a load that wavers does not jump between priority levels.
pub fn carried_before_spilling(load: f64, capacity: f64) -> f64 {
    if capacity <= MIN_DIVISOR {
        return 0.0;
    }
    let x = load / capacity;
    if x <= SPILL_FROM_FRACTION {
        return load;
    }
    let soft_range = 1.0 - SPILL_FROM_FRACTION;
    (capacity
        * (SPILL_FROM_FRACTION
            + soft_range * (1.0 - (-(x - SPILL_FROM_FRACTION) / soft_range).exp())))
    .min(load)
}

/// Which parts of groups are held where not all can be: those with the most utility for their work first. Each group is
/// its utility for the work and its load; the answer is the part of each, in the same order.
pub fn admit_by_value(groups: &[(f64, f64)], room: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..groups.len()).collect();
    order.sort_by(|a, b| groups[*b].0.total_cmp(&groups[*a].0));
    let (mut left, mut parts) = (room.max(0.0), vec![0.0; groups.len()]);
    for n in order {
        let load = groups[n].1;
        parts[n] = if load <= MIN_DIVISOR {
            1.0
        } else {
            (left / load).clamp(0.0, 1.0)
        };
        left = (left - load).max(0.0);
    }
    parts
}

/// When who is rejected may come back: about when `wait` is over, spread by a number drawn from 0 to 1, so that
/// clients do not return in step.
pub fn retry_after(wait: Duration, draw: f64) -> Duration {
    wait.mul_f64(0.5 + draw.clamp(0.0, 1.0))
}

impl Zone {
    fn decay(&mut self, now: f64) {
        let decay = (-(now - self.decayed_at).max(0.0) / OUTCOME_DECAY_SECONDS).exp();
        (self.successes, self.failures, self.decayed_at) =
            (self.successes * decay, self.failures * decay, now);
    }

    fn failure_rate(&self) -> f64 {
        self.failures / (self.successes + self.failures).max(MIN_DIVISOR)
    }

    fn record_loss(&mut self, now: f64) {
        if matches!(self.health, Health::Lost { .. }) {
            return;
        }
        self.losses *= (-(now - self.lost_at).max(0.0) / LOSS_HALF_LIFE_SECONDS
            * std::f64::consts::LN_2)
            .exp();
        // The first loss in a long time costs no wait: it is tried as soon as it is listed again.
        let held = if self.losses < 0.5 {
            0.0
        } else {
            (INITIAL_HOLD_SECONDS * 2f64.powf(self.losses - 1.0)).min(MAX_HOLD_SECONDS)
        };
        (self.losses, self.lost_at) = (self.losses + 1.0, now);
        (self.health, self.trials, self.carried) = (Health::Lost { until: now + held }, 0, 0.0);
    }

    fn record_success(&mut self, now: f64, work: f64, slowdown: f64) {
        match self.health {
            Health::Healthy => {}
            Health::Lost { until } => {
                if now >= until && self.trials >= TRIALS_TO_RECOVER {
                    self.health = Health::Recovering {
                        fraction: INITIAL_FRACTION,
                    };
                    (self.carried, self.round_at) = (0.0, now);
                }
            }
            Health::Recovering { fraction } if slowdown > MAX_SLOWDOWN => {
                self.back_off(now, fraction)
            }
            Health::Recovering { fraction } => {
                self.carried += work;
                if self.carried < MIN_CARRIED_SECONDS * fraction * self.capacity
                    || self.failure_rate() > RECOVERY_MAX_FAILURE_RATE
                {
                    return;
                }
                let demanded = self.carried / (now - self.round_at).max(MIN_DIVISOR)
                    >= MIN_DEMAND_FRACTION * fraction * self.capacity;
                (self.carried, self.round_at) = (0.0, now);
                self.health = match demanded {
                    true if fraction >= 1.0 => Health::Healthy,
                    true => Health::Recovering {
                        fraction: (fraction * GROWTH_FACTOR).min(1.0),
                    },
                    false => self.health,
                };
            }
        }
    }

    fn back_off(&mut self, now: f64, fraction: f64) {
        // Once for each round of work, not for each query of it.
        if self.carried > 0.0 {
            self.health = Health::Recovering {
                fraction: (fraction * BACKOFF_FACTOR).max(INITIAL_FRACTION),
            };
        }
        (self.carried, self.round_at) = (0.0, now);
    }

    fn record_failure(&mut self, now: f64) {
        if self.successes + self.failures >= MIN_OUTCOMES
            && self.failure_rate() >= LOST_FAILURE_RATE
        {
            return self.record_loss(now);
        }
        if let Health::Recovering { fraction } = self.health {
            self.back_off(now, fraction);
        }
    }
}

#[cfg(test)]
mod tests;
