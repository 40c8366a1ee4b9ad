//! Rules of classes that allow more than the settings.

use super::ConsistencyCheck;
use crate::build::SettingsClass;
use crate::diagnostic::Diagnostic;
use crate::model::ClassRules;

impl ConsistencyCheck<'_> {
    pub(super) fn classes(&mut self) {
        for class in &self.plan.classes {
            let allowed = self
                .settings
                .and_then(|settings| settings.class(&class.name));
            let deadline = class.deadline.or(allowed.map(|allowed| allowed.deadline));
            let objective = class.latency_objective;
            if objective
                .zip(deadline)
                .is_some_and(|(time, limit)| time > limit)
            {
                let text = format!("the goal of `{}` is longer than its time limit", class.name);
                self.diagnostics
                    .push(Diagnostic::new(class.span.clone(), text));
            }
            for what in allowed
                .map(|allowed| wider(class, allowed))
                .unwrap_or_default()
            {
                let text = format!(
                    "a plan narrows what the settings allow; this {what} of `{}` is wider",
                    class.name
                );
                self.diagnostics
                    .push(Diagnostic::new(class.span.clone(), text));
            }
        }
    }
}

/// What the rules of a class allow beyond the settings.
fn wider(class: &ClassRules, allowed: &SettingsClass) -> Vec<&'static str> {
    let later = class
        .deadline
        .is_some_and(|deadline| deadline > allowed.deadline);
    let unordered = class.in_order == Some(false) && allowed.in_order;
    let repeated = class
        .idempotency
        .is_some_and(|idempotency| !idempotency.narrows(&allowed.idempotency));
    let checks = [
        (later, "time limit"),
        (unordered, "order"),
        (repeated, "effect"),
    ];
    let wider = checks.into_iter().filter(|(is_wider, _)| *is_wider);
    wider.map(|(_, what)| what).collect()
}
