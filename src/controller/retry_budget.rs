//! The budget of further dispatches, of all and of a service group.

use super::MARGIN;
use crate::api::RetryBudget;
use crate::state::{AdmissionController, Window};

impl AdmissionController {
    pub(super) fn further_left(&self, now: f64, group: usize) -> bool {
        let fits = |f: RetryBudget, taken: &Window, further: &Window| {
            let taken = taken.since(now - f.window + MARGIN);
            further.since(now - f.window - MARGIN) + 1.0 <= f.floor + f.per_query * taken
        };
        let own = &self.learned[group];
        self.s
            .retry_budget
            .is_none_or(|f| fits(f, &self.taken_at, &self.further_at))
            && self.s.classes[group]
                .retry_budget
                .is_none_or(|f| fits(f, &own.taken_at, &own.further_at))
    }
}
