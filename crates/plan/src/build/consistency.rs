//! Whether a plan whose names are all resolved contradicts itself, the settings or a rule.

mod limits;
mod placement;
mod routes;

use super::Settings;
use crate::cells::{Cells, Known};
use crate::fault::Fault;
use crate::model::Plan;

/// Checks a plan whose names are all resolved.
pub(super) struct ConsistencyCheck<'a> {
    pub(super) plan: &'a Plan,
    pub(super) settings: Option<&'a Settings>,
    pub(super) faults: &'a mut Vec<Fault>,
}

impl ConsistencyCheck<'_> {
    pub(super) fn run(&mut self) {
        self.pools();
        self.groups();
        self.routes();
        self.limits();
    }

    fn known(&self) -> Known<'_> {
        Known {
            zones: self.settings.map(|s| s.zones.as_slice()),
            kinds: self.settings.map(|s| s.kinds.as_slice()),
        }
    }

    fn pools(&mut self) {
        let Some(cells) = Cells::of(&[self.plan], self.known()) else {
            return;
        };
        for (pool, held) in self.plan.pools.iter().zip(cells.of_pools(self.plan, 0)) {
            if held.is_clear() {
                let text = format!("no engine can be in the pool `{}`", pool.name);
                let by = pool.except.first().map(|e| &self.plan.pools[*e]);
                let fault = Fault::new(pool.span.clone(), text);
                self.faults.push(match by {
                    Some(by) => fault.related(by.span.clone(), "what it has is excepted"),
                    None => fault,
                });
            }
        }
    }

    fn groups(&mut self) {
        for group in &self.plan.classes {
            let told = self.settings.and_then(|s| s.class(&group.name));
            let limit = group.deadline.or(told.map(|t| t.deadline));
            if let (Some(goal), Some(limit)) = (group.latency_objective, limit) {
                if goal > limit {
                    let text =
                        format!("the goal of `{}` is longer than its time limit", group.name);
                    self.faults.push(Fault::new(group.span.clone(), text));
                }
            }
            let Some(told) = told else { continue };
            let mut wider = |what: &str| {
                let text = format!(
                    "a plan narrows what the settings allow; this {what} of `{}` is wider",
                    group.name
                );
                self.faults.push(Fault::new(group.span.clone(), text));
            };
            if group.deadline.is_some_and(|limit| limit > told.deadline) {
                wider("time limit");
            }
            if group.in_order == Some(false) && told.in_order {
                wider("order");
            }
            if group
                .idempotency
                .is_some_and(|effect| !effect.narrows(&told.idempotency))
            {
                wider("effect");
            }
        }
    }
}
