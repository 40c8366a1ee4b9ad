//! Builds the rules of query classes from `group` blocks and the limits of tenants from `tenant` blocks.

use super::entries::{bucket, count, first_text, number, texts, time};
use super::names::RefKind;
use super::Builder;
use crate::check::Spanned;
use crate::model::{ClassRules, DeduplicationScope, Idempotency, Tenant};

impl Builder<'_> {
    pub(super) fn build_classes(&mut self) {
        for block in self.blocks_of_kind("group") {
            let order = first_text(block.values("order"));
            let rules = ClassRules {
                name: block.name.clone(),
                span: block.name_span.clone(),
                latency_objective: time(block.first_value("goal")),
                deadline: time(block.first_value("limit")),
                pools: self.block_indices(RefKind::Pool, block.entry("pools")),
                pools_span: block.entry("pools").map(|entry| entry.span.clone()),
                in_order: order.map(|word| word == "key"),
                idempotency: idempotency(block.values("effect")),
                retries_per_query: number(block.first_value("further")),
                max_statement_bytes: count(block.first_value("statement")),
            };
            self.plan.classes.push(rules);
        }
    }

    pub(super) fn build_tenants(&mut self) {
        for block in self.blocks_of_kind("tenant") {
            self.plan.tenants.push(Tenant {
                name: block.name.clone(),
                span: block.name_span.clone(),
                share: number(block.first_value("share")),
                max_in_flight: count(block.first_value("in-hand")),
                rate: bucket(block.entry("rate")),
                bytes: bucket(block.entry("bytes")),
            });
        }
    }
}

/// Returns the idempotency that the values of an `effect` entry specify; `None` if the entry is absent or invalid.
fn idempotency(values: &[Spanned]) -> Option<Idempotency> {
    let words = texts(values);
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
