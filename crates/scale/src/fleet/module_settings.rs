//! The settings that a gateway's decision module works by, from an experiment.

use super::experiment::{Experiment, QueryClass};
use super::slip::Slip;
use garnetwall::api::{self, Idempotency, LoadReporting, RetryBudget, Settings, SlowStart};

/// Goals stand at this share of the deadline; the mean of our deployments.
const GOAL_SHARE: f64 = 1.0 / 3.0;
const GOAL_STRETCH: f64 = 2.0;
const LATE_SHARE: f64 = 0.3;
/// Part of the cold budget that a slip leaves.
const SLIP_COLD_PART: f64 = 0.01;
const MOST_ATTEMPTS: u32 = 4;
const LONGEST_RETRY_AFTER: f64 = 1.0;

pub fn module_settings(experiment: &Experiment) -> Settings {
    let slip = experiment.slip;
    let retries = &experiment.retries;
    let budget = RetryBudget {
        floor: retries.floor,
        per_query: retries.per_query,
        window: retries.window,
    };
    let cold = &experiment.cold;
    let cold_part = if slip == Some(Slip::ColdShunned) {
        SLIP_COLD_PART
    } else {
        1.0
    };
    let cold_rule = SlowStart {
        initial_fraction: cold.starts_at,
        duration: cold.warm_after,
        overload_multiple: cold.multiple * cold_part,
        window: cold.window,
    };
    let holders_known = slip != Some(Slip::HoldersForgotten);
    Settings {
        classes: experiment
            .classes
            .iter()
            .map(|class| query_class(class, slip))
            .collect(),
        tenants: 1,
        gateways: if holders_known {
            experiment.gateways.count as f64
        } else {
            1.0
        },
        kind_cores: experiment
            .engines
            .kind_cores
            .iter()
            .copied()
            .map(Some)
            .collect(),
        load_reporting: LoadReporting::WithAnswers,
        health_checks_allowed: true,
        cancellation_allowed: true,
        retry_after_allowed: true,
        max_retry_after: LONGEST_RETRY_AFTER,
        max_attempts: MOST_ATTEMPTS,
        retry_budget: (slip != Some(Slip::BudgetForgotten)).then_some(budget),
        slow_start: Some(cold_rule),
        ..Settings::default()
    }
}

fn query_class(class: &QueryClass, slip: Option<Slip>) -> api::QueryClass {
    let placed = slip != Some(Slip::PlacementForgotten);
    api::QueryClass {
        latency_objective: class.deadline * GOAL_SHARE,
        latency_objective_stretch: GOAL_STRETCH,
        deadline: class.deadline,
        priority_weight: 1.0,
        late_value_share: LATE_SHARE,
        idempotency: Idempotency::Idempotent,
        in_order: class.keys > 0 && slip != Some(Slip::OrderForgotten),
        zones: class.zones.clone().filter(|_| placed),
        kinds: class.kinds.clone().filter(|_| placed),
        threads: 1.0,
        is_load: false,
        waits_for_loads: false,
        retry_budget: None,
    }
}
