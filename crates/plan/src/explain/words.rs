//! Formats blocks of a plan and their values in the syntax of the plan language.

use crate::model::{
    Bucket, ClassRules, DeduplicationScope, Idempotency, Limit, LimitDimension, Plan, Pool, Tenant,
};
use std::time::Duration;

/// Joins the entries that are present; `nothing` if there are none.
fn joined<const N: usize>(entries: [Option<String>; N]) -> String {
    let given: Vec<String> = entries.into_iter().flatten().collect();
    match given.is_empty() {
        true => "nothing".to_string(),
        false => given.join("; "),
    }
}

fn list(entry: &str, values: &[String]) -> Option<String> {
    (!values.is_empty()).then(|| format!("{entry} {}", values.join(", ")))
}

/// Formats a duration in the syntax of the plan language, always in seconds.
pub(crate) fn seconds(time: Duration) -> String {
    format!("{}s", time.as_secs_f64())
}

/// Formats a fraction of 1 as a percentage in the syntax of the plan language.
pub(crate) fn percent(fraction: f64) -> String {
    format!("{}%", fraction * 100.0)
}

/// Formats a size in the syntax of the plan language, always in bytes.
pub(crate) fn bytes(count: u64) -> String {
    format!("{count}B")
}

/// Returns the value of an `order` entry.
pub(crate) fn order(in_order: bool) -> &'static str {
    match in_order {
        true => "key",
        false => "none",
    }
}

fn pool_names(plan: &Plan, pools: &[usize]) -> Vec<String> {
    let name = |pool: &usize| plan.pools[*pool].name.clone();
    pools.iter().map(name).collect()
}

pub(super) fn describe_pool(plan: &Plan, pool: &Pool) -> String {
    let set_name = |set: &usize| plan.addresses[*set].name.clone();
    let sets: Vec<String> = pool.addresses.iter().map(set_name).collect();
    joined([
        pool.all.then(|| "all".to_string()),
        list("zone", &pool.zones),
        list("kind", &pool.kinds),
        list("id", &pool.ids),
        list("address", &sets),
        list("union", &pool_names(plan, &pool.union)),
        list("except", &pool_names(plan, &pool.except)),
    ])
}

pub(super) fn describe_class(plan: &Plan, class: &ClassRules) -> String {
    let effect = |idempotency| format!("effect {}", describe_idempotency(&idempotency));
    joined([
        class
            .latency_objective
            .map(|time| format!("goal {}", seconds(time))),
        class
            .deadline
            .map(|time| format!("limit {}", seconds(time))),
        list("pools", &pool_names(plan, &class.pools)),
        class
            .in_order
            .map(|in_order| format!("order {}", order(in_order))),
        class.idempotency.map(effect),
        class
            .retries_per_query
            .map(|fraction| format!("further {}", percent(fraction))),
        class
            .max_statement_bytes
            .map(|count| format!("statement {}", bytes(count))),
    ])
}

pub(crate) fn describe_idempotency(idempotency: &Idempotency) -> String {
    let (scope, window) = match idempotency {
        Idempotency::Idempotent => return "repeatable".to_string(),
        Idempotency::NonIdempotent => return "once-only".to_string(),
        Idempotency::IdempotentByKey { scope, window } => (scope, window),
    };
    let scope = match scope {
        DeduplicationScope::Everywhere => "everywhere",
        DeduplicationScope::Zone => "zone",
        DeduplicationScope::Cell => "cell",
    };
    format!("referenced {scope} {}", seconds(*window))
}

pub(super) fn describe_tenant(tenant: &Tenant) -> String {
    joined([
        tenant
            .share
            .map(|fraction| format!("share {}", percent(fraction))),
        tenant.max_in_flight.map(|count| format!("in-hand {count}")),
        bucket("rate", tenant.rate),
        bucket("bytes", tenant.bytes),
    ])
}

pub(crate) fn describe_limit(limit: &Limit) -> String {
    let per = limit.per.iter().map(|per| match per {
        LimitDimension::Class => "group".to_string(),
        LimitDimension::Tenant => "tenant".to_string(),
        LimitDimension::Client => "client".to_string(),
    });
    joined([
        limit.max_in_flight.map(|count| format!("in-hand {count}")),
        bucket("rate", limit.rate),
        bucket("bytes", limit.bytes),
        list("for each", &per.collect::<Vec<_>>()),
    ])
}

fn bucket(entry: &str, bucket: Option<Bucket>) -> Option<String> {
    bucket.map(|bucket| format!("{entry} {}", describe_bucket(&bucket)))
}

pub(crate) fn describe_bucket(bucket: &Bucket) -> String {
    format!("{}/s burst {}", bucket.tokens_per_second, bucket.max_tokens)
}
