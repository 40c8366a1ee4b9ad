//! Enforces the retry budgets of the gateway and of the query classes.
//!
//! Rule: in each window of [`RetryBudget::window`] seconds, the number of retries is at most `floor` plus `per_query`
//! times the number of queries admitted in the window.

use super::averages::SlidingWindow;
use super::{AdmissionController, TIME_MARGIN_SECONDS};
use crate::api::RetryBudget;

/// Additional time, in seconds, for which events are stored after they have left the window.
const WINDOW_RETENTION_SECONDS: f64 = 1.0;

/// Recent admissions and retries of the gateway or of a class.
#[derive(Default)]
pub(crate) struct RetryWindow {
    admissions: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryWindow {
    pub(crate) fn record_admission(&mut self, now: f64) {
        self.admissions.add(now);
    }

    pub(crate) fn record_retry(&mut self, now: f64) {
        self.retries.add(now);
    }

    /// Returns whether one more retry is within the budget. The time margin shortens the window for admissions and
    /// extends it for retries, so that the budget is never exceeded.
    fn allows_retry(&self, now: f64, budget: RetryBudget) -> bool {
        let window_start = now - budget.window;
        let admitted = self
            .admissions
            .count_since(window_start + TIME_MARGIN_SECONDS);
        let retries = self.retries.count_since(window_start - TIME_MARGIN_SECONDS);
        retries + 1.0 <= budget.floor + budget.per_query * admitted
    }

    /// Removes the events that are too old to count for the budget.
    fn expire(&mut self, now: f64, budget: Option<RetryBudget>) {
        let window = budget.map_or(0.0, |budget| budget.window) + WINDOW_RETENTION_SECONDS;
        self.admissions.expire_before(now - window);
        self.retries.expire_before(now - window);
    }
}

impl AdmissionController {
    /// Returns whether the budgets of the gateway and of the class both allow one more retry.
    pub(super) fn retry_budget_left(&self, now: f64, class: usize) -> bool {
        let class_window = &self.class_statistics[class].retry_window;
        let within = |budget: Option<RetryBudget>, window: &RetryWindow| {
            budget.is_none_or(|budget| window.allows_retry(now, budget))
        };
        within(self.settings.retry_budget, &self.retry_window)
            && within(self.settings.classes[class].retry_budget, class_window)
    }

    /// Counts an admitted query for the budgets of the gateway and of its class.
    pub(super) fn count_admission(&mut self, now: f64, class: usize) {
        self.retry_window.record_admission(now);
        if self.settings.classes[class].retry_budget.is_some() {
            let window = &mut self.class_statistics[class].retry_window;
            window.record_admission(now);
        }
    }

    /// Counts a retry for the budgets of the gateway and of its query's class.
    pub(super) fn count_retry(&mut self, now: f64, class: usize) {
        self.retry_window.record_retry(now);
        if self.settings.classes[class].retry_budget.is_some() {
            let window = &mut self.class_statistics[class].retry_window;
            window.record_retry(now);
        }
    }

    /// Removes the admissions and retries that are too old to count for any budget.
    pub(super) fn expire_retry_windows(&mut self, now: f64) {
        self.retry_window.expire(now, self.settings.retry_budget);
        for (class, statistics) in self.settings.classes.iter().zip(&mut self.class_statistics) {
            statistics.retry_window.expire(now, class.retry_budget);
        }
    }
}
