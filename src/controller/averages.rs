//! Averages that decay, estimates that learn, and counts over a sliding window.

use std::collections::VecDeque;

/// A sum and mean of samples whose weight decays exponentially with their age.
#[derive(Default)]
pub(crate) struct DecayingAverage {
    sum: f64,
    weight: f64,
    updated_at: f64,
}

impl DecayingAverage {
    /// The share of its weight that a sample of the last update still has.
    fn decay(&self, now: f64, decay_seconds: f64) -> f64 {
        (-(now - self.updated_at).max(0.0) / decay_seconds).exp()
    }

    /// Adds a sample of weight 1.
    pub(crate) fn add(&mut self, now: f64, decay_seconds: f64, sample: f64) {
        let decay = self.decay(now, decay_seconds);
        self.sum = self.sum * decay + sample;
        self.weight = self.weight * decay + 1.0;
        self.updated_at = now;
    }

    /// The decayed sum of all samples.
    pub(crate) fn sum(&self, now: f64, decay_seconds: f64) -> f64 {
        self.sum * self.decay(now, decay_seconds)
    }

    /// The decayed mean, with `zero_weight` samples of 0 mixed in: few old samples then count little.
    pub(crate) fn mean(&self, now: f64, decay_seconds: f64, zero_weight: f64) -> f64 {
        let decay = self.decay(now, decay_seconds);
        self.sum * decay / (self.weight * decay + zero_weight)
    }
}

/// Corrects the callers' estimates of a quantity by what was measured, or stands in for them.
#[derive(Default)]
pub(crate) struct Estimator {
    /// Mean of all measurements.
    pub(crate) mean_measured: f64,
    /// Mean of the estimates that came with a query.
    mean_estimate: f64,
    /// Mean of the measurements of these queries.
    mean_measured_of_estimated: f64,
}

impl Estimator {
    /// An estimator that says `initial` until something is measured.
    pub(crate) fn starting_at(initial: f64) -> Self {
        Estimator {
            mean_measured: initial,
            ..Estimator::default()
        }
    }

    /// Takes in a measurement, which counts with `weight` from 0 to 1, and the estimate that came before it.
    pub(crate) fn learn(&mut self, weight: f64, measured: f64, estimate: Option<f64>) {
        self.mean_measured += weight * (measured - self.mean_measured);
        if let Some(estimate) = estimate {
            self.mean_estimate += weight * (estimate - self.mean_estimate);
            self.mean_measured_of_estimated +=
                weight * (measured - self.mean_measured_of_estimated);
        }
    }

    /// The expected measurement: the estimate scaled by how estimates erred, or the mean without one.
    pub(crate) fn expected(&self, estimate: Option<f64>) -> f64 {
        match estimate {
            Some(estimate) if self.mean_estimate > 0.0 => {
                estimate * self.mean_measured_of_estimated / self.mean_estimate
            }
            Some(estimate) => estimate,
            None => self.mean_measured,
        }
    }
}

/// Events by their times, in seconds, counted over a sliding window. Times must not run backwards.
#[derive(Default)]
pub(crate) struct SlidingWindow(VecDeque<f64>);

impl SlidingWindow {
    pub(crate) fn add(&mut self, at: f64) {
        self.0.push_back(at);
    }

    /// How many events there were at `from` or later.
    pub(crate) fn count_since(&self, from: f64) -> f64 {
        (self.0.len() - self.0.partition_point(|at| *at < from)) as f64
    }

    /// Drops the events before a time.
    pub(crate) fn expire_before(&mut self, before: f64) {
        while self.0.front().is_some_and(|at| *at < before) {
            self.0.pop_front();
        }
    }
}
