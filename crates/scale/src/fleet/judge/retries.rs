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
    over: u64,
    /// Largest share of a budget that was used; over 1 if a budget was exceeded.
    fullest: f64,
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
            over: 0,
            fullest: 0.0,
        }
    }

    pub fn query_arrived(&mut self, now: SimTime, gateway: u32) {
        let span = self.experiment.retries.window;
        let queries = &mut self.windows[gateway as usize].queries;
        forget(queries, now, span);
        queries.push_back(now);
    }

    pub fn retried(&mut self, now: SimTime, gateway: u32) {
        let budget = &self.experiment.retries;
        let window = &mut self.windows[gateway as usize];
        forget(&mut window.queries, now, budget.window);
        forget(&mut window.retries, now, budget.window);
        window.retries.push_back(now);
        let most = budget.floor + budget.per_query * window.queries.len() as f64;
        let used = window.retries.len() as f64;
        self.retries += 1;
        self.over += u64::from(used > most);
        self.fullest = self.fullest.max(used / most);
    }

    /// Clears the window of a gateway that ended, because its next process has a budget of its own.
    pub fn gateway_ended(&mut self, gateway: u32) {
        self.windows[gateway as usize] = Window::default();
    }

    pub fn finding(&self) -> Finding {
        Finding::new(
            "rule 7, retry budget",
            self.over == 0,
            format!(
                "{} retries, {} over the budget; at most {:.2} of a budget used",
                self.retries, self.over, self.fullest
            ),
            &[
                ("retries", self.retries as f64),
                ("over", self.over as f64),
                ("fullest", self.fullest),
            ],
        )
    }
}

/// Removes the times that have left a window of `span` seconds that ends at `now`.
fn forget(times: &mut VecDeque<SimTime>, now: SimTime, span: f64) {
    while times.front().is_some_and(|first| now.since(*first) >= span) {
        times.pop_front();
    }
}
