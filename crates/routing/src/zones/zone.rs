//! The health of one zone: lost, tried, recovering by what it has shown it can carry, healthy.

use super::tolerance::MIN_DIVISOR;

/// The time constant, in seconds, with which what was observed of a zone decays.
pub(super) const OUTCOME_DECAY_SECONDS: f64 = 5.0;
/// Failure rate from which a zone counts as lost, and up to which it may recover; apart, so that it does not flap.
const LOST_FAILURE_RATE: f64 = 0.7;
const RECOVERY_MAX_FAILURE_RATE: f64 = 0.3;
/// The least number of outcomes, decayed, from which a failure rate counts.
const MIN_OUTCOMES: f64 = 5.0;
/// Successes in a row after which a lost zone begins to recover.
pub(super) const SUCCESSES_TO_RECOVER: u32 = 3;
/// Seconds between trials of a lost zone.
const TRIAL_INTERVAL_SECONDS: f64 = 0.5;
/// Fraction of its capacity with which a zone begins to recover, and the least to which it backs off.
const INITIAL_FRACTION: f64 = 0.05;
/// Factors of its fraction once it has carried it, and where it has not.
const GROWTH_FACTOR: f64 = 1.5;
const BACKOFF_FACTOR: f64 = 0.5;
/// Latency over its usual one from which it does not carry its fraction.
const MAX_SLOWDOWN: f64 = 2.0;
/// Seconds of work at its fraction that a zone must have done well before the fraction grows.
const MIN_CARRIED_SECONDS: f64 = 1.0;
/// The least part of its fraction that it must have been given meanwhile: capacity that was not used shows nothing.
const MIN_DEMAND_FRACTION: f64 = 0.7;
/// Seconds without trials after a zone was lost again while it recovered; doubled each time.
const INITIAL_HOLD_DOWN_SECONDS: f64 = 2.0;
pub(super) const MAX_HOLD_DOWN_SECONDS: f64 = 60.0;
/// Seconds in which the number of a zone's losses is halved.
const LOSS_HALVING_SECONDS: f64 = 60.0;

/// The health of a zone by the outcomes of this gateway's own attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// It gets its share of the load.
    Healthy,
    /// It gets no load, and trials only from a time on.
    Lost {
        /// When trials may begin, in seconds.
        until: f64,
    },
    /// It gets a fraction of its capacity.
    Recovering {
        /// Above 0, and at most 1.
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

/// One zone, as this gateway sees it. Loads and capacities are in cores, work is in core seconds.
#[derive(Clone, Debug)]
pub(super) struct Zone {
    /// 0 for the nearest zones.
    pub(super) priority_level: usize,
    /// Effective cores of its engines that are listed as ready: those in slow start count in part.
    pub(super) capacity: f64,
    /// The load that others are known to send there.
    pub(super) load_of_others: f64,
    pub(super) health: Health,
    /// Successes and failures, older ones counting less.
    successes: f64,
    failures: f64,
    decayed_at: f64,
    /// Successes in a row since the last failure or loss; while it is lost, of trials and of attempts begun before.
    consecutive_successes: u32,
    /// When the next trial may begin.
    next_trial_at: f64,
    /// Work that ended well in this round of its recovery.
    carried_work: f64,
    round_started_at: f64,
    /// Work of our attempts in flight there, in core seconds, as callers report it. No decision reads it: only `Debug`
    /// shows it.
    work_in_flight: f64,
    /// How often it was lost, older losses counting less.
    recent_losses: f64,
    lost_at: f64,
}

impl Zone {
    /// A healthy zone without capacity yet.
    pub(super) fn new(priority_level: usize) -> Self {
        Zone {
            priority_level,
            capacity: 0.0,
            load_of_others: 0.0,
            health: Health::Healthy,
            successes: 0.0,
            failures: 0.0,
            decayed_at: 0.0,
            consecutive_successes: 0,
            next_trial_at: 0.0,
            carried_work: 0.0,
            round_started_at: 0.0,
            work_in_flight: 0.0,
            recent_losses: 0.0,
            lost_at: f64::NEG_INFINITY,
        }
    }

    pub(super) fn update_capacity(&mut self, now: f64, capacity: f64, load_of_others: f64) {
        let before = std::mem::replace(&mut self.capacity, capacity.max(0.0));
        self.load_of_others = load_of_others.max(0.0);
        if capacity <= 0.0 {
            self.record_loss(now);
        } else if before <= 0.0 && matches!(self.health, Health::Lost { .. }) {
            // Listed again: it is tried at once, if it has not been lost too often.
            self.consecutive_successes = 0;
            self.successes = 0.0;
            self.failures = 0.0;
        }
    }

    /// Capacity that it may be given now, in cores.
    pub(super) fn allowed_cores(&self) -> f64 {
        match self.health {
            Health::Healthy => self.capacity,
            Health::Lost { .. } => 0.0,
            Health::Recovering { fraction } => self.capacity * fraction,
        }
    }

    /// Whether a trial of a lost zone is due; then the next one is due an interval later.
    pub(super) fn start_trial(&mut self, now: f64) -> bool {
        let is_due = matches!(self.health, Health::Lost { until } if now >= until)
            && now >= self.next_trial_at
            && self.capacity > 0.0;
        if is_due {
            self.next_trial_at = now + TRIAL_INTERVAL_SECONDS;
        }
        is_due
    }

    pub(super) fn attempt_begun(&mut self, work: f64) {
        self.work_in_flight += work;
    }

    pub(super) fn attempt_ended(&mut self, now: f64, work: f64, outcome: ZoneOutcome) {
        self.work_in_flight = (self.work_in_flight - work).max(0.0);
        self.decay(now);
        match outcome {
            ZoneOutcome::Succeeded { work, slowdown } => {
                self.successes += 1.0;
                self.consecutive_successes += 1;
                self.record_success(now, work, slowdown);
            }
            ZoneOutcome::Failed => {
                self.failures += 1.0;
                self.consecutive_successes = 0;
                self.record_failure(now);
            }
        }
    }

    fn decay(&mut self, now: f64) {
        let remaining = (-(now - self.decayed_at).max(0.0) / OUTCOME_DECAY_SECONDS).exp();
        self.successes *= remaining;
        self.failures *= remaining;
        self.decayed_at = now;
    }

    fn failure_rate(&self) -> f64 {
        self.failures / (self.successes + self.failures).max(MIN_DIVISOR)
    }

    fn record_loss(&mut self, now: f64) {
        if matches!(self.health, Health::Lost { .. }) {
            return;
        }
        self.recent_losses *=
            (-(now - self.lost_at).max(0.0) / LOSS_HALVING_SECONDS * std::f64::consts::LN_2).exp();
        // The first loss in a long time costs no wait: it is tried as soon as it is listed again.
        let hold_down = if self.recent_losses < 0.5 {
            0.0
        } else {
            (INITIAL_HOLD_DOWN_SECONDS * 2f64.powf(self.recent_losses - 1.0))
                .min(MAX_HOLD_DOWN_SECONDS)
        };
        self.recent_losses += 1.0;
        self.lost_at = now;
        self.health = Health::Lost {
            until: now + hold_down,
        };
        self.consecutive_successes = 0;
        self.carried_work = 0.0;
    }

    fn record_success(&mut self, now: f64, work: f64, slowdown: f64) {
        match self.health {
            Health::Healthy => {}
            Health::Lost { until } => {
                if now >= until && self.consecutive_successes >= SUCCESSES_TO_RECOVER {
                    self.health = Health::Recovering {
                        fraction: INITIAL_FRACTION,
                    };
                    self.start_round(now);
                }
            }
            Health::Recovering { fraction } if slowdown > MAX_SLOWDOWN => {
                self.back_off(now, fraction);
            }
            Health::Recovering { fraction } => self.record_carried(now, work, fraction),
        }
    }

    fn start_round(&mut self, now: f64) {
        self.carried_work = 0.0;
        self.round_started_at = now;
    }

    /// A recovering zone has done some work well. With enough of it the round ends, and the fraction grows if the zone was
    /// given most of it meanwhile.
    fn record_carried(&mut self, now: f64, work: f64, fraction: f64) {
        self.carried_work += work;
        if self.carried_work < MIN_CARRIED_SECONDS * fraction * self.capacity
            || self.failure_rate() > RECOVERY_MAX_FAILURE_RATE
        {
            return;
        }
        let was_demanded = self.carried_work / (now - self.round_started_at).max(MIN_DIVISOR)
            >= MIN_DEMAND_FRACTION * fraction * self.capacity;
        self.start_round(now);
        if !was_demanded {
            return;
        }
        self.health = if fraction >= 1.0 {
            Health::Healthy
        } else {
            Health::Recovering {
                fraction: (fraction * GROWTH_FACTOR).min(1.0),
            }
        };
    }

    fn back_off(&mut self, now: f64, fraction: f64) {
        // Once for each round of work, not for each query of it.
        if self.carried_work > 0.0 {
            self.health = Health::Recovering {
                fraction: (fraction * BACKOFF_FACTOR).max(INITIAL_FRACTION),
            };
        }
        self.start_round(now);
    }

    fn record_failure(&mut self, now: f64) {
        if self.successes + self.failures >= MIN_OUTCOMES
            && self.failure_rate() >= LOST_FAILURE_RATE
        {
            self.record_loss(now);
        } else if let Health::Recovering { fraction } = self.health {
            self.back_off(now, fraction);
        }
    }
}
