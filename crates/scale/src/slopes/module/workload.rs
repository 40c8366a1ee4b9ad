//! What the module is fed with: service groups, and queries by chance.

use crate::slopes::pool::KIND_CORES;
use crate::slopes::settings::Fixed;
use garnetwall::api::{Batch, BatchId, ColdRule, Effect, Reports, ServiceGroup, Settings};
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
        groups: groups.collect(),
        tenants: TENANTS,
        gateways: quantities.gateways as f64,
        kind_cores: KIND_CORES.iter().copied().map(Some).collect(),
        kind_memory: vec![None; KIND_CORES.len()],
        largest_grant: 1.0,
        reports: Reports::WithAnswers,
        may_cancel: true,
        names_return: true,
        longest_return: 1.0,
        max_dispatches: 3,
        cold: Some(ColdRule {
            starts_at: 0.35,
            warm_after: 10.0,
            multiple: 3.0,
            window: 2.0,
        }),
        key_rest: 0.5,
        ..Settings::default()
    }
}

fn group(threads: f64, in_order: bool) -> ServiceGroup {
    ServiceGroup {
        goal: GOAL,
        goal_stretch: 2.0,
        limit: LIMIT,
        utility: 1.0,
        late_share: 0.3,
        effect: Effect::Repeatable,
        in_order,
        zones: None,
        kinds: None,
        threads,
        is_load: false,
        waits_for_loads: false,
        further: None,
    }
}

/// A query by chance.
pub fn query(id: BatchId, quantities: &Fixed, rng: &mut SmallRng) -> Batch {
    let group = rng.random_range(0..THREADS.len());
    let keyed = group == KEYED_GROUP && quantities.keys > 0;
    let error = rng.random_range(-ESTIMATE_ERROR..ESTIMATE_ERROR);
    Batch {
        id,
        group,
        tenant: rng.random_range(0..TENANTS),
        key: keyed.then(|| rng.random_range(0..quantities.keys)),
        left: LIMIT,
        cost: Some(quantities.work * (1.0 + error)),
        memory: None,
        data_set: 0,
        lane: None,
    }
}
