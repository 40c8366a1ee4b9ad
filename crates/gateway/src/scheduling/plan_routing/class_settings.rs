//! Conversion between the platform's settings and what a plan says of query classes.

use crate::system::clock::span;
use garnetwall::api::{DeduplicationScope, Idempotency, QueryClass, RetryBudget};
use garnetwall_plan::model::{self, Group, Plan, FURTHER_FLOOR, FURTHER_WINDOW};
use garnetwall_plan::{Settings, SettingsGroup};
use garnetwall_settings::DecodedSettings;

/// The platform's settings in the form that a plan is checked against.
pub fn settings(decoded: &DecodedSettings) -> Settings {
    let names = &decoded.names;
    let classes = names
        .classes
        .iter()
        .zip(&decoded.settings.classes)
        .map(|(name, class)| SettingsGroup {
            name: name.clone(),
            goal: span(class.latency_objective),
            limit: span(class.deadline),
            in_order: class.in_order,
            effect: effect(class.idempotency),
            kinds: selected_names(class.kinds.as_deref(), &names.kinds),
            zones: selected_names(class.zones.as_deref(), &names.zones),
        });
    Settings {
        groups: classes.collect(),
        tenants: names.tenants.clone(),
        kinds: names.kinds.clone(),
        zones: names.zones.clone(),
    }
}

/// The names of a selection of indices; `None` where everything is selected.
fn selected_names(selected: Option<&[u32]>, names: &[String]) -> Option<Vec<String>> {
    let name = |index: &u32| names.get(*index as usize).cloned();
    selected.map(|indices| indices.iter().filter_map(name).collect())
}

/// The query classes with the rules of a plan applied; `names` are the names of the classes.
///
/// The deadline of a class stays as it is: [`PlanRouter::admit`](super::PlanRouter::admit) gives each query the plan's.
pub fn narrowed_classes(classes: &[QueryClass], names: &[String], plan: &Plan) -> Vec<QueryClass> {
    let narrowed = |(class, name): (&QueryClass, &String)| match plan.group(name) {
        Some(rules) => narrowed_class(class, rules),
        None => class.clone(),
    };
    classes.iter().zip(names).map(narrowed).collect()
}

fn narrowed_class(class: &QueryClass, rules: &Group) -> QueryClass {
    let mut class = class.clone();
    if let Some(objective) = rules.goal {
        class.latency_objective = objective.as_secs_f64();
        class.latency_objective_stretch = 0.0;
    }
    class.in_order |= rules.in_order == Some(true);
    class.retry_budget = rules.further.map(|retries_per_query| RetryBudget {
        floor: FURTHER_FLOOR,
        per_query: retries_per_query,
        window: FURTHER_WINDOW,
    });
    if let Some(effect) = rules.effect {
        class.idempotency = idempotency(effect);
    }
    class
}

fn effect(idempotency: Idempotency) -> model::Effect {
    match idempotency {
        Idempotency::Idempotent => model::Effect::Repeatable,
        Idempotency::NonIdempotent => model::Effect::OnceOnly,
        Idempotency::IdempotentByKey { scope, window } => {
            let scope = match scope {
                DeduplicationScope::Everywhere => model::Scope::Everywhere,
                DeduplicationScope::Zone => model::Scope::Zone,
                DeduplicationScope::Cell => model::Scope::Cell,
            };
            let window = span(window);
            model::Effect::Referenced { scope, window }
        }
    }
}

fn idempotency(effect: model::Effect) -> Idempotency {
    match effect {
        model::Effect::Repeatable => Idempotency::Idempotent,
        model::Effect::OnceOnly => Idempotency::NonIdempotent,
        model::Effect::Referenced { scope, window } => {
            let scope = match scope {
                model::Scope::Everywhere => DeduplicationScope::Everywhere,
                model::Scope::Zone => DeduplicationScope::Zone,
                model::Scope::Cell => DeduplicationScope::Cell,
            };
            let window = window.as_secs_f64();
            Idempotency::IdempotentByKey { scope, window }
        }
    }
}
