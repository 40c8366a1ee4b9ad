//! Tracks the health of one zone: healthy, lost (and tested by trials), or recovering at a growing fraction of its
//! capacity.

use super::tolerance::MIN_DIVISOR;

/// Time constant of the exponential decay of the counts of successes and failures.
pub(super) const OUTCOME_DECAY_SECONDS: f64 = 5.0;
/// Failure rate from which a zone counts as lost.
const LOST_FAILURE_RATE: f64 = 0.7;
/// Failure rate up to which the fraction of a recovering zone may grow. Well below [`LOST_FAILURE_RATE`], so that the
/// zone does not flap.
const RECOVERY_MAX_FAILURE_RATE: f64 = 0.3;
/// Minimum decayed number of outcomes from which a failure rate can make a zone lost.
const MIN_OUTCOMES: f64 = 5.0;
/// Number of consecutive successes after which a lost zone begins to recover.
pub(super) const SUCCESSES_TO_RECOVER: u32 = 3;
/// Time between trials of a lost zone.
const TRIAL_INTERVAL_SECONDS: f64 = 0.5;
/// Fraction of its capacity at which a zone begins to recover; also the lower bound when it backs off.
const INITIAL_FRACTION: f64 = 0.05;
/// Factor by which the fraction of a recovering zone grows after a round of work that ended well.
const GROWTH_FACTOR: f64 = 1.5;
/// Factor by which the fraction of a recovering zone shrinks after a failure or a slow answer.
const BACKOFF_FACTOR: f64 = 0.5;
/// Ratio of latency to usual latency above which a recovering zone backs off.
const MAX_SLOWDOWN: f64 = 2.0;
/// Work that a recovering zone must complete before its fraction grows, in seconds of its current fraction of capacity.
const MIN_CARRIED_SECONDS: f64 = 1.0;
/// Minimum part of its fraction of capacity that a recovering zone must have used during a round for the fraction to
/// grow: unused capacity does not show that the zone can carry more.
const MIN_DEMAND_FRACTION: f64 = 0.7;
/// Time without trials after the second recent loss of a zone; about doubles with each further loss.
const INITIAL_HOLD_DOWN_SECONDS: f64 = 2.0;
pub(super) const MAX_HOLD_DOWN_SECONDS: f64 = 60.0;
/// Half-life of the count of a zone's losses.
const LOSS_HALVING_SECONDS: f64 = 60.0;

/// The health of a zone, judged by the outcomes of this gateway's own attempts and by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// All of the zone's capacity may be used.
    Healthy,
    /// The zone gets no load except trials, which begin when the hold-down time ends.
    Lost {
        /// End of the hold-down time, in seconds on the caller's clock.
        until: f64,
    },
    /// Only a fraction of the zone's capacity may be used.
    Recovering {
        /// The usable fraction, above 0 and at most 1.
        fraction: f64,
    },
}

/// The outcome of an attempt in a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneOutcome {
    /// The attempt returned an answer.
    Succeeded {
        /// Work done, in core seconds.
        work: f64,
        /// Ratio of the latency to the usual latency of the query class.
        slowdown: f64,
    },
    /// The attempt failed, timed out or was lost.
    Failed,
}

/// The state of one zone, as this gateway observes it. Loads and capacities are in cores, work is in core seconds,
/// times are in seconds.
#[derive(Clone, Debug)]
pub(super) struct Zone {
    /// 0 for the nearest zones.
    pub(super) priority_level: usize,
    /// Effective cores of the engines that are listed as ready. Engines in slow start count in part.
    pub(super) capacity: f64,
    /// The load that other gateways are known to send to the zone.
    pub(super) load_of_others: f64,
    pub(super) health: Health,
    /// Exponentially decayed counts, as of `decayed_at`.
    successes: f64,
    failures: f64,
    decayed_at: f64,
    /// Successes since the last failure or loss. While the zone is lost, these are the trials and the attempts that
    /// began before the loss.
    consecutive_successes: u32,
    /// Earliest time of the next trial.
    next_trial_at: f64,
    /// Work completed in the current round of the recovery.
    carried_work: f64,
    round_started_at: f64,
    /// Estimated work of this gateway's attempts in flight, as callers report it. Appears only in `Debug` output; no
    /// decision depends on it.
    work_in_flight: f64,
    /// Exponentially decayed number of losses, as of `lost_at`.
    recent_losses: f64,
    lost_at: f64,
}

impl Zone {
    /// Creates a healthy zone without capacity.
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
            // The zone is listed again. Trials may begin at once unless earlier losses set a hold-down time.
            self.consecutive_successes = 0;
            self.successes = 0.0;
            self.failures = 0.0;
        }
    }

    /// Returns the capacity that may be used now, in cores.
    pub(super) fn allowed_cores(&self) -> f64 {
        match self.health {
            Health::Healthy => self.capacity,
            Health::Lost { .. } => 0.0,
            Health::Recovering { fraction } => self.capacity * fraction,
        }
    }

    /// Returns whether a trial is due: the zone is lost, its hold-down time has ended, it has capacity, and the
    /// interval since the last trial has passed. If a trial is due, schedules the next one.
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
        // The first loss in a long time sets no hold-down time: trials begin as soon as the zone is listed again.
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

    /// Records work that a recovering zone completed at a normal latency. Once the zone has completed enough work and
    /// its failure rate is low, the round ends. If the zone used most of its fraction of the capacity during the round,
    /// the fraction grows; a zone whose fraction is already 1 becomes healthy.
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
        // Backs off at most once per round of work, not once for each failed or slow query.
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
