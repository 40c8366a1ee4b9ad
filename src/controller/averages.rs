//! Provides decaying averages, an estimator that corrects estimates by measurements, and sliding-window counts.

use std::collections::VecDeque;

/// Sum and mean of samples whose weights decay exponentially with their age.
#[derive(Default)]
pub(crate) struct DecayingAverage {
    sum: f64,
    weight: f64,
    updated_at: f64,
}

impl DecayingAverage {
    /// Returns the factor by which the weights have decayed since the last update.
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

    /// Returns the decayed sum of all samples.
    pub(crate) fn sum(&self, now: f64, decay_seconds: f64) -> f64 {
        self.sum * self.decay(now, decay_seconds)
    }

    /// Returns the decayed mean. `zero_weight` is the weight of an additional sample of 0 that does not decay, so that
    /// the mean falls towards 0 as the samples age.
    pub(crate) fn mean(&self, now: f64, decay_seconds: f64, zero_weight: f64) -> f64 {
        let decay = self.decay(now, decay_seconds);
        self.sum * decay / (self.weight * decay + zero_weight)
    }
}

/// Corrects estimates of a quantity by earlier measurements, and provides a mean for cases without an estimate.
#[derive(Default)]
pub(crate) struct Estimator {
    /// Moving average of all measurements.
    pub(crate) mean_measured: f64,
    /// Moving average of the estimates that came with queries.
    mean_estimate: f64,
    /// Moving average of the measurements of the queries that came with an estimate.
    mean_measured_of_estimated: f64,
}

impl Estimator {
    /// Creates an estimator whose mean is `initial` until the first measurement.
    pub(crate) fn starting_at(initial: f64) -> Self {
        Estimator {
            mean_measured: initial,
            ..Estimator::default()
        }
    }

    /// Adds a measurement with a weight from 0 to 1, and the estimate that preceded it, if any.
    pub(crate) fn learn(&mut self, weight: f64, measured: f64, estimate: Option<f64>) {
        self.mean_measured += weight * (measured - self.mean_measured);
        if let Some(estimate) = estimate {
            self.mean_estimate += weight * (estimate - self.mean_estimate);
            self.mean_measured_of_estimated +=
                weight * (measured - self.mean_measured_of_estimated);
        }
    }

    /// Returns the expected measurement: the estimate, scaled by the ratio of measurements to estimates so far, or the
    /// mean of all measurements if there is no estimate.
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

/// Times of events in seconds, for counting events in a sliding window. Events must be added in the order of their
/// times.
#[derive(Default)]
pub(crate) struct SlidingWindow(VecDeque<f64>);

impl SlidingWindow {
    pub(crate) fn add(&mut self, at: f64) {
        self.0.push_back(at);
    }

    /// Returns the number of events at or after `from`, in seconds.
    pub(crate) fn count_since(&self, from: f64) -> f64 {
        (self.0.len() - self.0.partition_point(|at| *at < from)) as f64
    }

    /// Removes the events before the time `before`, in seconds.
    pub(crate) fn expire_before(&mut self, before: f64) {
        while self.0.front().is_some_and(|at| *at < before) {
            self.0.pop_front();
        }
    }
}
