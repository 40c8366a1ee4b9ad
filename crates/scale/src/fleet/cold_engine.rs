//! Computes how much work a cold engine can receive before it crashes.

use super::experiment::SlowStartSettings;
use super::time::SimTime;
use std::collections::VecDeque;

/// Number of standard deviations by which random arrivals may exceed the budget.
const TOLERANCE_STANDARD_DEVIATIONS: f64 = 2.0;
/// Number of queries by which arrivals may exceed the budget, in addition to the standard deviations.
const TOLERANCE_QUERIES: f64 = 2.0;

/// An attempt that a cold engine received.
#[derive(Clone, Copy, Debug)]
pub struct ColdWork {
    pub received_at: SimTime,
    /// Work in core seconds.
    pub work: f64,
    /// Whether the sending gateway had been notified of the engine's start.
    pub notified: bool,
}

/// Attempts at a cold engine in the sliding window that ends with the latest attempt.
#[derive(Debug, Default)]
pub struct ColdWindow {
    attempts: VecDeque<ColdWork>,
}

/// Work within a window, in multiples of the mean work of a query.
#[derive(Clone, Copy, Debug)]
pub struct WindowSum {
    /// Work from all gateways.
    pub all: f64,
    /// Work from gateways that had been notified of the engine's start.
    pub notified: f64,
}

impl ColdWindow {
    pub fn clear(&mut self) {
        self.attempts.clear();
    }

    /// Adds an attempt, drops those that have left the window, and returns the sums over the window.
    pub fn add(
        &mut self,
        cold: &SlowStartSettings,
        mean_work: f64,
        attempt: ColdWork,
    ) -> WindowSum {
        while self
            .attempts
            .front()
            .is_some_and(|first| attempt.received_at.since(first.received_at) >= cold.window)
        {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt);
        let sum = |notified_only: bool| {
            let counted = self
                .attempts
                .iter()
                .filter(|attempt| attempt.notified || !notified_only);
            counted.map(|attempt| attempt.work).sum::<f64>() / mean_work
        };
        WindowSum {
            all: sum(false),
            notified: sum(true),
        }
    }
}

/// Returns the budget of a cold engine for one window, in multiples of the mean work of a query.
pub fn budget(cold: &SlowStartSettings, cores: f64, mean_work: f64) -> f64 {
    cold.multiple * cold.window * cold.starts_at * cores / mean_work
}

/// Returns the limit for one window: the budget plus the tolerance for random arrivals. Both are in multiples of the
/// mean work of a query.
pub fn limit_queries(budget: f64) -> f64 {
    budget + TOLERANCE_STANDARD_DEVIATIONS * budget.sqrt() + TOLERANCE_QUERIES
}

/// Returns the number of cores that an engine can use `age` seconds after its start.
pub fn effective_cores(cold: &SlowStartSettings, cores: f64, age: f64) -> f64 {
    let warmed = (age / cold.warm_after).clamp(0.0, 1.0);
    cores * (cold.starts_at + (1.0 - cold.starts_at) * warmed)
}
