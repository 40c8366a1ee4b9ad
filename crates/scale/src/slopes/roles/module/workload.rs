//! Workload of the module: query classes and random queries.

use crate::slopes::quantities::Quantities;
use crate::slopes::roles::pool::KIND_CORES;
use garnetwall::api::{
    Idempotency, LoadReporting, Query, QueryClass, QueryId, Settings, SlowStart,
};
use rand::rngs::SmallRng;
use rand::Rng;

/// Number of tenants, over which queries are spread evenly.
pub const TENANTS: usize = 4;
/// Threads of a query, by its query class.
pub const THREADS: [f64; 2] = [1.0, 2.0];
/// Query class whose queries have ordering keys if the point has any.
const KEYED_CLASS: usize = 1;
/// Largest relative error of a query's estimated work.
const ESTIMATE_ERROR: f64 = 0.3;
const LATENCY_OBJECTIVE_SECONDS: f64 = 1.0;
const DEADLINE_SECONDS: f64 = 5.0;

/// Settings of the module: two query classes, load reports with answers, and slow start.
pub fn settings(quantities: &Quantities) -> Settings {
    let keyed = |index: usize| index == KEYED_CLASS && quantities.keys > 0;
    let classes = THREADS
        .iter()
        .enumerate()
        .map(|(index, threads)| class(*threads, keyed(index)));
    Settings {
        classes: classes.collect(),
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

fn class(threads: f64, in_order: bool) -> QueryClass {
    QueryClass {
        latency_objective: LATENCY_OBJECTIVE_SECONDS,
        latency_objective_stretch: 2.0,
        deadline: DEADLINE_SECONDS,
        priority_weight: 1.0,
        late_value_share: 0.3,
        idempotency: Idempotency::Idempotent,
        in_order,
        zones: None,
        kinds: None,
        threads,
        loads_data: false,
        waits_for_data_loads: false,
        retry_budget: None,
    }
}

/// Draws a random query.
pub fn query(id: QueryId, quantities: &Quantities, rng: &mut SmallRng) -> Query {
    let class = rng.random_range(0..THREADS.len());
    let keyed = class == KEYED_CLASS && quantities.keys > 0;
    let error = rng.random_range(-ESTIMATE_ERROR..ESTIMATE_ERROR);
    Query {
        id,
        class,
        tenant: rng.random_range(0..TENANTS),
        ordering_key: keyed.then(|| rng.random_range(0..quantities.keys)),
        remaining_time: DEADLINE_SECONDS,
        estimated_work: Some(quantities.work * (1.0 + error)),
        estimated_memory: None,
        data_set: 0,
        endpoint_subset: None,
    }
}
