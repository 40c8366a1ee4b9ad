//! How much work a cold engine can take before it crashes.

use super::experiment::Cold;
use super::time::SimTime;
use std::collections::VecDeque;

/// Random arrivals may exceed the budget by so many standard deviations, and so many queries.
const TOLERANCE_STANDARD_DEVIATIONS: f64 = 2.0;
const TOLERANCE_QUERIES: f64 = 2.0;

/// Work of one attempt at a cold engine.
#[derive(Clone, Copy, Debug)]
pub struct ColdWork {
    pub at: SimTime,
    pub work: f64,
    /// Whether the gateway had been notified of the start.
    pub notified: bool,
}

/// Attempts at a cold engine in the window that ends now.
#[derive(Debug, Default)]
pub struct ColdWindow {
    attempts: VecDeque<ColdWork>,
}

/// Sums over a window, in queries of mean work.
#[derive(Clone, Copy, Debug)]
pub struct WindowSum {
    pub all: f64,
    pub notified: f64,
}

impl ColdWindow {
    pub fn clear(&mut self) {
        self.attempts.clear();
    }

    /// Takes in one attempt, and sums the window that ends with it.
    pub fn add(&mut self, cold: &Cold, mean_work: f64, attempt: ColdWork) -> WindowSum {
        while self
            .attempts
            .front()
            .is_some_and(|first| attempt.at.since(first.at) >= cold.window)
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

/// The budget of a window in queries of mean work, by the capacity of a cold engine.
pub fn budget(cold: &Cold, cores: f64, mean_work: f64) -> f64 {
    cold.multiple * cold.window * cold.starts_at * cores / mean_work
}

/// The limit of a window in queries of mean work, tolerance included.
pub fn limit_queries(budget: f64) -> f64 {
    budget + TOLERANCE_STANDARD_DEVIATIONS * budget.sqrt() + TOLERANCE_QUERIES
}

/// Cores that an engine can use so long after its start.
pub fn effective_cores(cold: &Cold, cores: f64, age: f64) -> f64 {
    let warmed = (age / cold.warm_after).clamp(0.0, 1.0);
    cores * (cold.starts_at + (1.0 - cold.starts_at) * warmed)
}
