//! Builds the rules of query classes, and the limits of tenants.

use super::entries::{bucket, count, first_name, named, number, time};
use super::Builder;
use crate::check::Spanned;
use crate::model::{ClassRules, DeduplicationScope, Idempotency, Tenant};

impl Builder<'_> {
    pub(super) fn classes(&mut self) {
        for block in self.of("group") {
            let order = first_name(block.values("order"));
            let rules = ClassRules {
                name: block.name.clone(),
                span: block.span.clone(),
                latency_objective: time(block.one("goal")),
                deadline: time(block.one("limit")),
                pools: self.block_indices("pool", block.get("pools")),
                pools_span: block.get("pools").map(|entry| entry.span.clone()),
                in_order: order.map(|word| word == "key"),
                idempotency: idempotency(block.values("effect")),
                retries_per_query: number(block.one("further")),
                max_statement_bytes: count(block.one("statement")),
            };
            self.plan.classes.push(rules);
        }
    }

    pub(super) fn tenants(&mut self) {
        for block in self.of("tenant") {
            self.plan.tenants.push(Tenant {
                name: block.name.clone(),
                span: block.span.clone(),
                share: number(block.one("share")),
                max_in_flight: count(block.one("in-hand")),
                rate: bucket(block.get("rate")),
                bytes: bucket(block.get("bytes")),
            });
        }
    }
}

/// The idempotency that the values of an `effect` stand for; `None` where it is not given.
fn idempotency(values: &[Spanned]) -> Option<Idempotency> {
    let words = named(values);
    let effect = words.first()?;
    let scope = match words.get(1).map(String::as_str) {
        Some("zone") => DeduplicationScope::Zone,
        Some("cell") => DeduplicationScope::Cell,
        _ => DeduplicationScope::Everywhere,
    };
    Some(match (effect.as_str(), time(values.get(2))) {
        ("once-only", _) => Idempotency::NonIdempotent,
        ("referenced", Some(window)) => Idempotency::IdempotentByKey { scope, window },
        _ => Idempotency::Idempotent,
    })
}
