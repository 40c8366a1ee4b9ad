//! Judges rule 7: the retries of a gateway in a window keep to the budget that its queries in the same window allow.

use super::finding::Finding;
use crate::fleet::experiment::Experiment;
use crate::fleet::time::SimTime;
use std::collections::VecDeque;
use std::rc::Rc;

/// Times of a gateway's queries and retries in the current window.
#[derive(Default)]
struct Window {
    queries: VecDeque<SimTime>,
    retries: VecDeque<SimTime>,
}

/// Counts the queries and retries of each gateway in a sliding window of the budget's length.
pub struct Retries {
    experiment: Rc<Experiment>,
    windows: Vec<Window>,
    retries: u64,
    /// Retries beyond the budget.
    over_budget: u64,
    /// Largest share of a budget that was used; over 1 if a budget was exceeded.
    max_budget_share: f64,
}

impl Retries {
    pub fn new(experiment: Rc<Experiment>) -> Retries {
        let windows = (0..experiment.gateways.count)
            .map(|_| Window::default())
            .collect();
        Retries {
            experiment,
            windows,
            retries: 0,
            over_budget: 0,
            max_budget_share: 0.0,
        }
    }

    pub fn query_arrived(&mut self, now: SimTime, gateway: u32) {
        let span = self.experiment.retries.window;
        let queries = &mut self.windows[gateway as usize].queries;
        remove_expired(queries, now, span);
        queries.push_back(now);
    }

    pub fn retried(&mut self, now: SimTime, gateway: u32) {
        let budget = &self.experiment.retries;
        let window = &mut self.windows[gateway as usize];
        remove_expired(&mut window.queries, now, budget.window);
        remove_expired(&mut window.retries, now, budget.window);
        window.retries.push_back(now);
        let most = budget.floor + budget.per_query * window.queries.len() as f64;
        let used = window.retries.len() as f64;
        self.retries += 1;
        self.over_budget += u64::from(used > most);
        self.max_budget_share = self.max_budget_share.max(used / most);
    }

    /// Clears the window of a gateway that ended, because its next process has a budget of its own.
    pub fn gateway_ended(&mut self, gateway: u32) {
        self.windows[gateway as usize] = Window::default();
    }

    pub fn finding(&self) -> Finding {
        Finding::new(
            "rule 7, retry budget",
            self.over_budget == 0,
            format!(
                "{} retries, {} over the budget; at most {:.2} of a budget used",
                self.retries, self.over_budget, self.max_budget_share
            ),
            &[
                ("retries", self.retries as f64),
                ("over", self.over_budget as f64),
                ("fullest", self.max_budget_share),
            ],
        )
    }
}

/// Removes the times that have left a window of `span` seconds that ends at `now`.
fn remove_expired(times: &mut VecDeque<SimTime>, now: SimTime, span: f64) {
    while times.front().is_some_and(|first| now.since(*first) >= span) {
        times.pop_front();
    }
}
