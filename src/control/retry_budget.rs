//! The budget of further dispatches, of all and of a service group.

use super::MARGIN;
use crate::api::FurtherBudget;
use crate::state::{Control, Window};

impl Control {
    pub(super) fn further_left(&self, now: f64, group: usize) -> bool {
        let fits = |f: FurtherBudget, taken: &Window, further: &Window| {
            let taken = taken.since(now - f.window + MARGIN);
            further.since(now - f.window - MARGIN) + 1.0 <= f.floor + f.per_batch * taken
        };
        let own = &self.learned[group];
        self.s
            .further
            .is_none_or(|f| fits(f, &self.taken_at, &self.further_at))
            && self.s.groups[group]
                .further
                .is_none_or(|f| fits(f, &own.taken_at, &own.further_at))
    }
}
