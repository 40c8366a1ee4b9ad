//! The settings that a gateway's decision module works by, from an experiment.

use super::experiment::{Experiment, QueryClass};
use super::slip::Slip;
use garnetwall::api::{ColdRule, Effect, FurtherBudget, Reports, ServiceGroup, Settings};

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
    let budget = FurtherBudget {
        floor: retries.floor,
        per_batch: retries.per_query,
        window: retries.window,
    };
    let cold = &experiment.cold;
    let cold_part = if slip == Some(Slip::ColdShunned) {
        SLIP_COLD_PART
    } else {
        1.0
    };
    let cold_rule = ColdRule {
        starts_at: cold.starts_at,
        warm_after: cold.warm_after,
        multiple: cold.multiple * cold_part,
        window: cold.window,
    };
    let holders_known = slip != Some(Slip::HoldersForgotten);
    Settings {
        groups: experiment
            .classes
            .iter()
            .map(|class| service_group(class, slip))
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
        reports: Reports::WithAnswers,
        may_probe: true,
        may_cancel: true,
        names_return: true,
        longest_return: LONGEST_RETRY_AFTER,
        max_dispatches: MOST_ATTEMPTS,
        further: (slip != Some(Slip::BudgetForgotten)).then_some(budget),
        cold: Some(cold_rule),
        ..Settings::default()
    }
}

fn service_group(class: &QueryClass, slip: Option<Slip>) -> ServiceGroup {
    let placed = slip != Some(Slip::PlacementForgotten);
    ServiceGroup {
        goal: class.deadline * GOAL_SHARE,
        goal_stretch: GOAL_STRETCH,
        limit: class.deadline,
        utility: 1.0,
        late_share: LATE_SHARE,
        effect: Effect::Repeatable,
        in_order: class.keys > 0 && slip != Some(Slip::OrderForgotten),
        zones: class.zones.clone().filter(|_| placed),
        kinds: class.kinds.clone().filter(|_| placed),
        threads: 1.0,
        is_load: false,
        waits_for_loads: false,
        further: None,
    }
}
