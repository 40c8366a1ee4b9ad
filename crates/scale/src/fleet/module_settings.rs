//! Derives the settings of the gateways' decision modules from an experiment.

use super::experiment::{Experiment, QueryClass};
use super::injected_fault::InjectedFault;
use garnetwall::api::{self, Idempotency, LoadReporting, RetryBudget, Settings, SlowStart};

/// Latency objective of a class as a share of its deadline.
const LATENCY_OBJECTIVE_SHARE: f64 = 1.0 / 3.0;
const LATENCY_OBJECTIVE_STRETCH: f64 = 2.0;
const LATE_VALUE_SHARE: f64 = 0.3;
/// Fraction of the slow-start budget that remains under the fault [`InjectedFault::ColdShunned`].
const FAULTY_OVERLOAD_FRACTION: f64 = 0.01;
const MAX_ATTEMPTS: u32 = 4;
const MAX_RETRY_AFTER_SECONDS: f64 = 1.0;

/// Returns the decision module's settings, altered by the experiment's injected fault, if any.
pub fn module_settings(experiment: &Experiment) -> Settings {
    let injected_fault = experiment.injected_fault;
    let class = |class| query_class(class, injected_fault);
    let kind_cores = &experiment.engines.kind_cores;
    let gateways = if injected_fault == Some(InjectedFault::HoldersForgotten) {
        1.0
    } else {
        experiment.gateways.count as f64
    };
    Settings {
        classes: experiment.classes.iter().map(class).collect(),
        tenants: 1,
        gateways,
        kind_cores: kind_cores.iter().copied().map(Some).collect(),
        load_reporting: LoadReporting::WithAnswers,
        health_checks_allowed: true,
        cancellation_allowed: true,
        retry_after_allowed: true,
        max_retry_after: MAX_RETRY_AFTER_SECONDS,
        max_attempts: MAX_ATTEMPTS,
        retry_budget: retry_budget(experiment),
        slow_start: Some(slow_start(experiment)),
        ..Settings::default()
    }
}

fn retry_budget(experiment: &Experiment) -> Option<RetryBudget> {
    if experiment.injected_fault == Some(InjectedFault::BudgetForgotten) {
        return None;
    }
    let retries = &experiment.retries;
    Some(RetryBudget {
        floor: retries.floor,
        per_query: retries.per_query,
        window: retries.window,
    })
}

fn slow_start(experiment: &Experiment) -> SlowStart {
    let cold = &experiment.cold;
    let overload_fraction = if experiment.injected_fault == Some(InjectedFault::ColdShunned) {
        FAULTY_OVERLOAD_FRACTION
    } else {
        1.0
    };
    SlowStart {
        initial_fraction: cold.starts_at,
        duration: cold.warm_after,
        overload_multiple: cold.multiple * overload_fraction,
        window: cold.window,
    }
}

fn query_class(class: &QueryClass, injected_fault: Option<InjectedFault>) -> api::QueryClass {
    let placed = injected_fault != Some(InjectedFault::PlacementForgotten);
    api::QueryClass {
        latency_objective: class.deadline * LATENCY_OBJECTIVE_SHARE,
        latency_objective_stretch: LATENCY_OBJECTIVE_STRETCH,
        deadline: class.deadline,
        priority_weight: 1.0,
        late_value_share: LATE_VALUE_SHARE,
        idempotency: Idempotency::Idempotent,
        in_order: class.keys > 0 && injected_fault != Some(InjectedFault::OrderForgotten),
        zones: class.zones.clone().filter(|_| placed),
        kinds: class.kinds.clone().filter(|_| placed),
        threads: 1.0,
        loads_data: false,
        waits_for_data_loads: false,
        retry_budget: None,
    }
}
