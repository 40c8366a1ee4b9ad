//! What becomes of one batch, and why, by line.

use crate::files::Span;
use crate::model::{Bucket, Effect, Facts, Limit, Per, Plan, Pool, Scope};
use crate::Compiled;
use std::fmt::Write;

/// Routes passed over that are told; of more the number.
const MOST_PASSED: usize = 20;

/// Tells the route that takes a batch, those passed over, the pools, the rules of its group and the limits.
pub fn explain(compiled: &Compiled, facts: &Facts) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write_all(&mut out, compiled, facts);
    out
}

fn write_all(out: &mut String, compiled: &Compiled, facts: &Facts) -> std::fmt::Result {
    let (plan, at) = (&compiled.plan, |span: &Span| compiled.files.at(span));
    let key = if facts.key {
        "with a key"
    } else {
        "without a key"
    };
    let clock = format!("{:02}:{:02}", facts.minute / 60, facts.minute % 60);
    writeln!(
        out,
        "a batch of `{}` for `{}` from {}, {key}, on data set {}, at {clock} UTC",
        facts.group, facts.tenant, facts.client, facts.data_set
    )?;
    let taken = plan
        .routes
        .iter()
        .position(|r| r.unmet(facts, &plan.addresses).is_none());
    let passed = &plan.routes[..taken.unwrap_or(plan.routes.len())];
    for route in passed.iter().take(MOST_PASSED) {
        let why = route.unmet(facts, &plan.addresses).unwrap_or_default();
        writeln!(
            out,
            "  passed over: route `{}` ({}), by its `{why}`",
            route.name,
            at(&route.span)
        )?;
    }
    if passed.len() > MOST_PASSED {
        writeln!(out, "  and {} more", passed.len() - MOST_PASSED)?;
    }
    let mut groups = vec![facts.group];
    match taken.map(|n| &plan.routes[n]) {
        None => writeln!(
            out,
            "no route takes it: every engine is open to it that its group's rules leave"
        )?,
        Some(route) => {
            writeln!(out, "route `{}` ({}) takes it", route.name, at(&route.span))?;
            if let Some(reason) = &route.refuse {
                return writeln!(out, "it is pushed back: {reason}");
            }
            if let Some(group) = &route.as_group {
                writeln!(out, "it is treated as `{group}`")?;
                groups.push(group);
            }
            for (n, pool) in route.to.iter().enumerate() {
                let pool = &plan.pools[*pool];
                writeln!(
                    out,
                    "  {}. pool `{}` ({}): {}",
                    n + 1,
                    pool.name,
                    at(&pool.span),
                    pool_in_words(plan, pool)
                )?;
            }
        }
    }
    for group in groups.into_iter().filter_map(|g| plan.group(g)) {
        writeln!(
            out,
            "group `{}` ({}): {}",
            group.name,
            at(&group.span),
            group_in_words(plan, group)
        )?;
    }
    if let Some(tenant) = plan.tenant(facts.tenant) {
        let parts = [
            tenant.share.map(|s| format!("share {}%", s * 100.0)),
            tenant.in_hand.map(|n| format!("in-hand {n}")),
            tenant.rate.map(|b| format!("rate {}", bucket_in_words(&b))),
            tenant
                .bytes
                .map(|b| format!("bytes {}", bucket_in_words(&b))),
        ];
        writeln!(
            out,
            "tenant `{}` ({}): {}",
            tenant.name,
            at(&tenant.span),
            joined(parts)
        )?;
    }
    for limit in plan
        .limits
        .iter()
        .filter(|l| l.counts(facts, &plan.addresses))
    {
        writeln!(
            out,
            "limit `{}` ({}): {}",
            limit.name,
            at(&limit.span),
            limit_in_words(limit)
        )?;
    }
    Ok(())
}

fn joined<const N: usize>(parts: [Option<String>; N]) -> String {
    let parts: Vec<String> = parts.into_iter().flatten().collect();
    match parts.is_empty() {
        true => "nothing".to_string(),
        false => parts.join("; "),
    }
}

fn list(name: &str, values: &[String]) -> Option<String> {
    (!values.is_empty()).then(|| format!("{name} {}", values.join(", ")))
}

fn pools(plan: &Plan, pools: &[usize]) -> Vec<String> {
    pools.iter().map(|p| plan.pools[*p].name.clone()).collect()
}

pub(crate) fn pool_in_words(plan: &Plan, pool: &Pool) -> String {
    let sets: Vec<String> = pool
        .addresses
        .iter()
        .map(|a| plan.addresses[*a].name.clone())
        .collect();
    joined([
        pool.all.then(|| "all".to_string()),
        list("zone", &pool.zones),
        list("kind", &pool.kinds),
        list("id", &pool.ids),
        list("address", &sets),
        list("union", &pools(plan, &pool.union)),
        list("except", &pools(plan, &pool.except)),
    ])
}

pub(crate) fn effect_in_words(effect: &Effect) -> String {
    match effect {
        Effect::Repeatable => "repeatable".to_string(),
        Effect::OnceOnly => "once-only".to_string(),
        Effect::Referenced { scope, window } => {
            let scope = match scope {
                Scope::Everywhere => "everywhere",
                Scope::Zone => "zone",
                Scope::Cell => "cell",
            };
            format!("referenced {scope} {}s", window.as_secs_f64())
        }
    }
}

fn group_in_words(plan: &Plan, group: &crate::model::Group) -> String {
    joined([
        group.goal.map(|t| format!("goal {}s", t.as_secs_f64())),
        group.limit.map(|t| format!("limit {}s", t.as_secs_f64())),
        list("pools", &pools(plan, &group.pools)),
        group
            .in_order
            .map(|o| format!("order {}", if o { "key" } else { "none" })),
        group
            .effect
            .map(|e| format!("effect {}", effect_in_words(&e))),
        group.further.map(|f| format!("further {}%", f * 100.0)),
        group.statement.map(|n| format!("statement {n}B")),
    ])
}

pub(crate) fn bucket_in_words(bucket: &Bucket) -> String {
    format!("{}/s burst {}", bucket.rate, bucket.burst)
}

pub(crate) fn limit_in_words(limit: &Limit) -> String {
    let per = limit.per.iter().map(|per| match per {
        Per::Group => "group".to_string(),
        Per::Tenant => "tenant".to_string(),
        Per::Client => "client".to_string(),
    });
    joined([
        limit.in_hand.map(|n| format!("in-hand {n}")),
        limit.rate.map(|b| format!("rate {}", bucket_in_words(&b))),
        limit
            .bytes
            .map(|b| format!("bytes {}", bucket_in_words(&b))),
        list("for each", &per.collect::<Vec<_>>()),
    ])
}
