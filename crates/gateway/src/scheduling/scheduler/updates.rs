//! Updates of the endpoint list, the query classes and the plan.

use super::{PlanUpdate, Scheduler};
use crate::discovery::ListChange;
use garnetwall::api::QueryClass;
use garnetwall_plan::Plan;
use std::sync::Arc;

impl Scheduler {
    /// Applies a change of the endpoint list. A full list removes the engines that it does not name.
    pub fn update_endpoints(&self, change: &ListChange) {
        let updates = change.updates.iter();
        let endpoints: Vec<_> = updates.map(|update| update.endpoint).collect();
        self.handle_event(|state, _| {
            let controller = &mut state.controller;
            controller.update_endpoints(&endpoints, change.scope);
            if let Some(plan_router) = state.plan_router.as_mut() {
                let updates = plan_router.update_endpoints(change);
                state.update_endpoint_subsets(updates);
            }
        });
    }

    /// Records which query classes are non-idempotent. Called once at start-up, with the classes that the controller
    /// was created with; [`update_plan`](Scheduler::update_plan) changes the classes later.
    pub fn set_classes(&self, classes: &[QueryClass]) {
        self.handle_event(|state, _| state.set_classes(classes));
    }

    /// Whether queries of a class are non-idempotent. `false` for an unknown class.
    pub fn is_non_idempotent(&self, class: usize) -> bool {
        self.state().is_non_idempotent(class)
    }

    /// Puts another plan in force. `classes` are the query classes with the rules of that plan applied.
    pub fn update_plan(&self, plan: Arc<Plan>, classes: &[QueryClass]) -> PlanUpdate {
        self.handle_event(|state, _| {
            let Some(plan_router) = state.plan_router.as_mut() else {
                return PlanUpdate::NeedsRestart;
            };
            let updates = plan_router.update_plan(plan);
            state.update_endpoint_subsets(updates);
            state.controller.update_classes(classes);
            state.set_classes(classes);
            PlanUpdate::InForce
        })
    }
}
