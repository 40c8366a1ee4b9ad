//! Zones: how healthy each looks from here, how much it may carry, and what share of the load goes where. Near zones come
//! first; what they do not hold spills to the next tier by degrees and within what that can take; what fits nowhere is
//! turned away. A zone that comes back gets its share by what it has shown it can carry, not by the clock. No I/O.
//!
//! Loads and capacities are in cores. docs/zones.md has the states and the reasons.

use std::time::Duration;

/// Part of a zone's capacity up to which all stays there; from there on it spills by degrees.
const SOFT: f64 = 0.7;
/// Seconds in which what was heard of a zone fades.
const HEARD_LIFE: f64 = 5.0;
/// Failing share from which a zone counts as lost, and up to which it may come back; apart, so that it does not flutter.
const LOST_FROM: f64 = 0.7;
const BACK_UNTIL: f64 = 0.3;
/// Weight of outcomes without which a failing share says nothing.
const EVIDENCE: f64 = 5.0;
/// Good trials in a row after which a lost zone begins to return.
const TRIALS: u32 = 3;
/// Seconds between trials of a lost zone.
const TRIAL_EVERY: f64 = 0.5;
/// Part of its capacity that a zone returns with, and the least it falls back to.
const FIRST_PART: f64 = 0.05;
/// What its part is multiplied with once it has carried it, and where it did not.
const GROWS: f64 = 1.5;
const FALLS: f64 = 0.5;
/// Latency over its usual one from which it does not carry its part.
const SLOW: f64 = 2.0;
/// Seconds of its part that it must have done well before that grows, and the least of it that it must have been given
/// meanwhile: a part that was not asked for shows nothing.
const CARRIED: f64 = 1.0;
const ASKED_FOR: f64 = 0.7;
/// Seconds that a zone is held back after it was lost again while returning; doubled each time.
const HELD: f64 = 2.0;
const HELD_MOST: f64 = 60.0;
/// Seconds in which a zone's record of losses is halved.
const FORGIVEN: f64 = 60.0;
/// Part of the capacity told ready under which the healthy part is too small to be believed.
const PANIC: f64 = 0.5;
const LEAST: f64 = 1e-9;

/// How a zone looks from here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Healthy,
    /// It gets trials only, from then on.
    Lost {
        until: f64,
    },
    /// It gets this part of its capacity.
    Returning {
        part: f64,
    },
}

/// How a batch ended in a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// Work in core seconds, and latency over the usual one of its like.
    Well {
        work: f64,
        slowdown: f64,
    },
    Badly,
}

#[derive(Clone, Debug)]
struct Zone {
    tier: usize,
    /// Cores of its engines that are told ready, as far as they are warm.
    capacity: f64,
    /// What others are known to send there, in cores.
    others: f64,
    health: Health,
    good: f64,
    bad: f64,
    heard_at: f64,
    /// Good trials in a row.
    trials: u32,
    trial_at: f64,
    /// Work done well in this round, and when that began.
    carried: f64,
    round_at: f64,
    /// Work out there, by our count.
    out: f64,
    /// Losses, fading.
    losses: f64,
    lost_at: f64,
}

/// What goes where, as parts of the load offered; what is missing to 1 is turned away.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    /// By zone.
    pub zones: Vec<f64>,
    /// By tier.
    pub tiers: Vec<f64>,
    /// Health is doubted: the load goes to all that is told ready.
    pub panic: bool,
}

impl Shares {
    /// The part that fits nowhere.
    pub fn turned_away(&self) -> f64 {
        (1.0 - self.zones.iter().sum::<f64>()).max(0.0)
    }

    /// The zone of one batch by a number drawn from 0 to 1; none where it is turned away.
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
    tiers: usize,
}

impl Zones {
    /// Zones by their tier, 0 the nearest.
    pub fn new(tiers: &[usize]) -> Self {
        let zone = |tier: &usize| Zone {
            tier: *tier,
            capacity: 0.0,
            others: 0.0,
            health: Health::Healthy,
            good: 0.0,
            bad: 0.0,
            heard_at: 0.0,
            trials: 0,
            trial_at: 0.0,
            carried: 0.0,
            round_at: 0.0,
            out: 0.0,
            losses: 0.0,
            lost_at: f64::NEG_INFINITY,
        };
        let count = tiers.iter().max().map_or(0, |most| most + 1);
        Zones {
            zones: tiers.iter().map(zone).collect(),
            tiers: count,
        }
    }

    pub fn health(&self, zone: usize) -> Health {
        self.zones[zone].health
    }

    /// The list of engines: cores that are ready in a zone, as far as warm, and what others send there.
    pub fn listed(&mut self, now: f64, zone: usize, capacity: f64, others: f64) {
        let z = &mut self.zones[zone];
        let was = std::mem::replace(&mut z.capacity, capacity.max(0.0));
        z.others = others.max(0.0);
        if capacity <= 0.0 {
            z.lose(now);
        } else if was <= 0.0 && matches!(z.health, Health::Lost { .. }) {
            // Told back: it is tried at once, if it has not been lost too often.
            z.trials = 0;
            (z.good, z.bad) = (0.0, 0.0);
        }
    }

    /// A batch was sent to a zone, of so much work.
    pub fn sent(&mut self, zone: usize, work: f64) {
        self.zones[zone].out += work;
    }

    /// It ended there.
    pub fn ended(&mut self, now: f64, zone: usize, work: f64, ended: Ended) {
        let z = &mut self.zones[zone];
        z.out = (z.out - work).max(0.0);
        z.fade(now);
        match ended {
            Ended::Well { work, slowdown } => {
                z.good += 1.0;
                z.trials += 1;
                z.well(now, work, slowdown);
            }
            Ended::Badly => {
                z.bad += 1.0;
                z.trials = 0;
                z.badly(now);
            }
        }
    }

    /// Whether a lost zone is to have one batch that may run again, to see whether it is back.
    pub fn tries(&mut self, now: f64, zone: usize) -> bool {
        let z = &mut self.zones[zone];
        let due = matches!(z.health, Health::Lost { until } if now >= until) && now >= z.trial_at;
        if due && z.capacity > 0.0 {
            z.trial_at = now + TRIAL_EVERY;
        }
        due && z.capacity > 0.0
    }

    /// Capacity that a zone may be given now, in cores.
    pub fn allowed(&self, zone: usize) -> f64 {
        let z = &self.zones[zone];
        match z.health {
            Health::Healthy => z.capacity,
            Health::Lost { .. } => 0.0,
            Health::Returning { part } => z.capacity * part,
        }
    }

    /// What goes where of a load that may run in some zones only, in cores.
    pub fn shares(&self, load: f64, may: &[bool]) -> Shares {
        let open = |n: &usize| may.get(*n).copied().unwrap_or_default();
        let all = || (0..self.zones.len()).filter(open);
        let told: f64 = all().map(|n| self.zones[n].capacity).sum();
        let healthy: f64 = all().map(|n| self.allowed(n)).sum();
        // Too few look healthy, and they would not hold it: what makes the others look ill may be here.
        let panic = healthy < PANIC * told && healthy < load;
        let room = |n: usize| {
            let z = &self.zones[n];
            if panic {
                z.capacity
            } else {
                (self.allowed(n) - z.others).max(0.0)
            }
        };
        let mut shares = Shares {
            zones: vec![0.0; self.zones.len()],
            tiers: vec![0.0; self.tiers],
            panic,
        };
        if load <= LEAST {
            // Nothing is offered yet: the first batch goes to the nearest tier that has any.
            let nearest = all()
                .filter(|n| room(*n) > 0.0)
                .map(|n| self.zones[n].tier)
                .min();
            let of: Vec<usize> = all()
                .filter(|n| Some(self.zones[*n].tier) == nearest && room(*n) > 0.0)
                .collect();
            let whole: f64 = of.iter().map(|n| room(*n)).sum();
            for n in of {
                shares.give(n, self.zones[n].tier, room(n) / whole);
            }
            return shares;
        }
        if panic {
            // By capacity over all that is told ready: nobody gets more than the healthy few would have.
            let held = load.min(told);
            for n in all() {
                shares.give(
                    n,
                    self.zones[n].tier,
                    held / load * self.zones[n].capacity / told.max(LEAST),
                );
            }
            return shares;
        }
        let mut left = load;
        for tier in 0..self.tiers {
            let of: Vec<usize> = all().filter(|n| self.zones[*n].tier == tier).collect();
            let whole: f64 = of.iter().map(|n| room(*n)).sum();
            // The last tier holds what it can: there is nowhere to spill to.
            let later = all().any(|n| self.zones[n].tier > tier && room(n) > 0.0);
            let kept = if later {
                kept(left, whole)
            } else {
                left.min(whole)
            };
            for n in of.into_iter().filter(|_| whole > LEAST) {
                shares.give(n, tier, kept / load * room(n) / whole);
            }
            left -= kept;
        }
        // What spilled softly and found no room further on goes back to where there is some.
        for n in all().collect::<Vec<_>>() {
            let free = (room(n) - shares.zones[n] * load)
                .max(0.0)
                .min(left.max(0.0));
            shares.give(n, self.zones[n].tier, free / load);
            left -= free;
        }
        shares
    }
}

impl Shares {
    fn give(&mut self, zone: usize, tier: usize, share: f64) {
        self.zones[zone] += share;
        self.tiers[tier] += share;
    }
}

/// What a tier keeps of a load: all of it up to the soft mark, then less and less of what is added, never more than it
/// holds. Without an edge, so that a load that wavers does not jump between tiers.
pub fn kept(load: f64, capacity: f64) -> f64 {
    if capacity <= LEAST {
        return 0.0;
    }
    let x = load / capacity;
    if x <= SOFT {
        return load;
    }
    let rest = 1.0 - SOFT;
    (capacity * (SOFT + rest * (1.0 - (-(x - SOFT) / rest).exp()))).min(load)
}

/// Which parts of groups are held where not all can be: those with the most utility for their work first. Each group is
/// its utility for the work and its load; the answer is the part of each, in the same order.
pub fn held_first(groups: &[(f64, f64)], room: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..groups.len()).collect();
    order.sort_by(|a, b| groups[*b].0.total_cmp(&groups[*a].0));
    let (mut left, mut parts) = (room.max(0.0), vec![0.0; groups.len()]);
    for n in order {
        let load = groups[n].1;
        parts[n] = if load <= LEAST {
            1.0
        } else {
            (left / load).clamp(0.0, 1.0)
        };
        left = (left - load).max(0.0);
    }
    parts
}

/// When who is turned away may come back: about when `wait` is over, spread by a number drawn from 0 to 1, so that
/// clients do not return in step.
pub fn come_back(wait: Duration, draw: f64) -> Duration {
    wait.mul_f64(0.5 + draw.clamp(0.0, 1.0))
}

impl Zone {
    fn fade(&mut self, now: f64) {
        let kept = (-(now - self.heard_at).max(0.0) / HEARD_LIFE).exp();
        (self.good, self.bad, self.heard_at) = (self.good * kept, self.bad * kept, now);
    }

    fn failing(&self) -> f64 {
        self.bad / (self.good + self.bad).max(LEAST)
    }

    fn lose(&mut self, now: f64) {
        if matches!(self.health, Health::Lost { .. }) {
            return;
        }
        self.losses *= (-(now - self.lost_at).max(0.0) / FORGIVEN * std::f64::consts::LN_2).exp();
        // The first loss in a long time costs no wait: it is tried as soon as it is told back.
        let held = if self.losses < 0.5 {
            0.0
        } else {
            (HELD * 2f64.powf(self.losses - 1.0)).min(HELD_MOST)
        };
        (self.losses, self.lost_at) = (self.losses + 1.0, now);
        (self.health, self.trials, self.carried) = (Health::Lost { until: now + held }, 0, 0.0);
    }

    fn well(&mut self, now: f64, work: f64, slowdown: f64) {
        match self.health {
            Health::Healthy => {}
            Health::Lost { until } => {
                if now >= until && self.trials >= TRIALS {
                    self.health = Health::Returning { part: FIRST_PART };
                    (self.carried, self.round_at) = (0.0, now);
                }
            }
            Health::Returning { part } if slowdown > SLOW => self.falls(now, part),
            Health::Returning { part } => {
                self.carried += work;
                if self.carried < CARRIED * part * self.capacity || self.failing() > BACK_UNTIL {
                    return;
                }
                let asked = self.carried / (now - self.round_at).max(LEAST)
                    >= ASKED_FOR * part * self.capacity;
                (self.carried, self.round_at) = (0.0, now);
                self.health = match asked {
                    true if part >= 1.0 => Health::Healthy,
                    true => Health::Returning {
                        part: (part * GROWS).min(1.0),
                    },
                    false => self.health,
                };
            }
        }
    }

    fn falls(&mut self, now: f64, part: f64) {
        // Once for each round of work, not for each batch of it.
        if self.carried > 0.0 {
            self.health = Health::Returning {
                part: (part * FALLS).max(FIRST_PART),
            };
        }
        (self.carried, self.round_at) = (0.0, now);
    }

    fn badly(&mut self, now: f64) {
        if self.good + self.bad >= EVIDENCE && self.failing() >= LOST_FROM {
            return self.lose(now);
        }
        if let Health::Returning { part } = self.health {
            self.falls(now, part);
        }
    }
}

#[cfg(test)]
mod tests;
