//! What the module is fed with: service groups, and queries by chance.

use crate::slopes::pool::KIND_CORES;
use crate::slopes::settings::Fixed;
use garnetwall::api::{
    Idempotency, LoadReporting, Query, QueryClass, QueryId, Settings, SlowStart,
};
use rand::rngs::SmallRng;
use rand::Rng;

pub const TENANTS: usize = 4;
/// Threads of a query, by its group.
pub const THREADS: [f64; 2] = [1.0, 2.0];
/// The group whose queries have keys, where there are any.
const KEYED_GROUP: usize = 1;
/// Estimates lie within this part of the work.
const ESTIMATE_ERROR: f64 = 0.3;
const GOAL: f64 = 1.0;
const LIMIT: f64 = 5.0;

/// Two groups, reports with answers, engines that start cold.
pub fn settings(quantities: &Fixed) -> Settings {
    let keyed = |index: usize| index == KEYED_GROUP && quantities.keys > 0;
    let groups = THREADS
        .iter()
        .enumerate()
        .map(|(index, threads)| group(*threads, keyed(index)));
    Settings {
        classes: groups.collect(),
        tenants: TENANTS,
        gateways: quantities.gateways as f64,
        kind_cores: KIND_CORES.iter().copied().map(Some).collect(),
        kind_memory: vec![None; KIND_CORES.len()],
        max_grant_fraction: 1.0,
        load_reporting: LoadReporting::WithAnswers,
        cancellation_allowed: true,
        retry_after_allowed: true,
        max_retry_after: 1.0,
        max_attempts: 3,
        slow_start: Some(SlowStart {
            initial_fraction: 0.35,
            duration: 10.0,
            overload_multiple: 3.0,
            window: 2.0,
        }),
        key_pause: 0.5,
        ..Settings::default()
    }
}

fn group(threads: f64, in_order: bool) -> QueryClass {
    QueryClass {
        latency_objective: GOAL,
        latency_objective_stretch: 2.0,
        deadline: LIMIT,
        priority_weight: 1.0,
        late_value_share: 0.3,
        idempotency: Idempotency::Idempotent,
        in_order,
        zones: None,
        kinds: None,
        threads,
        is_load: false,
        waits_for_loads: false,
        retry_budget: None,
    }
}

/// A query by chance.
pub fn query(id: QueryId, quantities: &Fixed, rng: &mut SmallRng) -> Query {
    let group = rng.random_range(0..THREADS.len());
    let keyed = group == KEYED_GROUP && quantities.keys > 0;
    let error = rng.random_range(-ESTIMATE_ERROR..ESTIMATE_ERROR);
    Query {
        id,
        class: group,
        tenant: rng.random_range(0..TENANTS),
        ordering_key: keyed.then(|| rng.random_range(0..quantities.keys)),
        remaining_time: LIMIT,
        estimated_work: Some(quantities.work * (1.0 + error)),
        estimated_memory: None,
        data_set: 0,
        endpoint_subset: None,
    }
}
