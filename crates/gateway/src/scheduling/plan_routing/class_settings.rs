//! Conversion between the platform's settings of query classes and the rules of a plan.

use crate::system::clock::clamped_duration;
use garnetwall::api::{DeduplicationScope, Idempotency, QueryClass, RetryBudget};
use garnetwall_plan::model::{self, ClassRules, Plan, RETRY_FLOOR, RETRY_WINDOW_SECONDS};
use garnetwall_plan::{Settings, SettingsClass};
use garnetwall_settings::PlatformSettings;

/// The platform's settings in the form against which a plan is checked.
pub fn plan_settings(platform: &PlatformSettings) -> Settings {
    let names = &platform.names;
    let classes = names
        .classes
        .iter()
        .zip(&platform.settings.classes)
        .map(|(name, class)| SettingsClass {
            name: name.clone(),
            latency_objective: clamped_duration(class.latency_objective),
            deadline: clamped_duration(class.deadline),
            in_order: class.in_order,
            idempotency: to_plan(class.idempotency),
            kinds: selected_names(class.kinds.as_deref(), &names.kinds),
            zones: selected_names(class.zones.as_deref(), &names.zones),
        });
    Settings {
        classes: classes.collect(),
        tenants: names.tenants.clone(),
        kinds: names.kinds.clone(),
        zones: names.zones.clone(),
    }
}

/// The names of the selected indices; `None` if there is no selection, which means everything.
fn selected_names(selected: Option<&[u32]>, names: &[String]) -> Option<Vec<String>> {
    let name = |index: &u32| names.get(*index as usize).cloned();
    selected.map(|indices| indices.iter().filter_map(name).collect())
}

/// Returns the query classes with the rules of a plan applied. `names` are the names of the classes, in the same order.
///
/// The deadlines of the classes stay unchanged, because [`PlanRouter::admit`](super::PlanRouter::admit) applies the
/// plan's deadline to each query.
pub fn narrowed_classes(classes: &[QueryClass], names: &[String], plan: &Plan) -> Vec<QueryClass> {
    let narrowed = |(class, name): (&QueryClass, &String)| match plan.class(name) {
        Some(rules) => narrowed_class(class, rules),
        None => class.clone(),
    };
    classes.iter().zip(names).map(narrowed).collect()
}

fn narrowed_class(class: &QueryClass, rules: &ClassRules) -> QueryClass {
    let mut class = class.clone();
    if let Some(objective) = rules.latency_objective {
        class.latency_objective = objective.as_secs_f64();
        class.latency_objective_stretch = 0.0;
    }
    class.in_order |= rules.in_order == Some(true);
    class.retry_budget = rules
        .retries_per_query
        .map(|retries_per_query| RetryBudget {
            floor: RETRY_FLOOR,
            per_query: retries_per_query,
            window: RETRY_WINDOW_SECONDS,
        });
    if let Some(idempotency) = rules.idempotency {
        class.idempotency = from_plan(idempotency);
    }
    class
}

fn to_plan(idempotency: Idempotency) -> model::Idempotency {
    match idempotency {
        Idempotency::Idempotent => model::Idempotency::Idempotent,
        Idempotency::NonIdempotent => model::Idempotency::NonIdempotent,
        Idempotency::IdempotentByKey { scope, window } => {
            let scope = match scope {
                DeduplicationScope::Everywhere => model::DeduplicationScope::Everywhere,
                DeduplicationScope::Zone => model::DeduplicationScope::Zone,
                DeduplicationScope::Cell => model::DeduplicationScope::Cell,
            };
            let window = clamped_duration(window);
            model::Idempotency::IdempotentByKey { scope, window }
        }
    }
}

fn from_plan(idempotency: model::Idempotency) -> Idempotency {
    match idempotency {
        model::Idempotency::Idempotent => Idempotency::Idempotent,
        model::Idempotency::NonIdempotent => Idempotency::NonIdempotent,
        model::Idempotency::IdempotentByKey { scope, window } => {
            let scope = match scope {
                model::DeduplicationScope::Everywhere => DeduplicationScope::Everywhere,
                model::DeduplicationScope::Zone => DeduplicationScope::Zone,
                model::DeduplicationScope::Cell => DeduplicationScope::Cell,
            };
            let window = window.as_secs_f64();
            Idempotency::IdempotentByKey { scope, window }
        }
    }
}
