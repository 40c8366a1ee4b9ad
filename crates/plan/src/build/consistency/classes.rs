//! Reports rules of query classes that allow more than the settings, and latency objectives longer than the deadline.

use super::ConsistencyCheck;
use crate::build::SettingsClass;
use crate::diagnostic::Diagnostic;
use crate::model::ClassRules;

impl ConsistencyCheck<'_> {
    pub(super) fn check_classes(&mut self) {
        for class in &self.plan.classes {
            let allowed = self
                .settings
                .and_then(|settings| settings.class(&class.name));
            let deadline = class.deadline.or(allowed.map(|allowed| allowed.deadline));
            let objective = class.latency_objective;
            let is_too_long = objective
                .zip(deadline)
                .is_some_and(|(objective, deadline)| objective > deadline);
            if is_too_long {
                let text = format!(
                    "goal of group `{}` is longer than its time limit",
                    class.name
                );
                self.diagnostics
                    .push(Diagnostic::new(class.span.clone(), text));
            }
            let wider = allowed.map(|allowed| wider_rules(class, allowed));
            for rule in wider.unwrap_or_default() {
                let text = format!(
                    "{rule} of group `{}` allows more than the settings; a plan can only narrow what they allow",
                    class.name
                );
                self.diagnostics
                    .push(Diagnostic::new(class.span.clone(), text));
            }
        }
    }
}

/// Returns the rules of a class that allow more than the settings, by their names in error messages.
fn wider_rules(class: &ClassRules, allowed: &SettingsClass) -> Vec<&'static str> {
    let later = class
        .deadline
        .is_some_and(|deadline| deadline > allowed.deadline);
    let unordered = class.in_order == Some(false) && allowed.in_order;
    let repeated = class
        .idempotency
        .is_some_and(|idempotency| !idempotency.narrows(&allowed.idempotency));
    let wider = [
        later.then_some("time limit"),
        unordered.then_some("order"),
        repeated.then_some("effect"),
    ];
    wider.into_iter().flatten().collect()
}
