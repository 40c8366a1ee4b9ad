//! Rules of service groups, and shares of tenants.

use super::entries::{bucket, named, number, time};
use super::Builder;
use crate::model::{ClassRules, DeduplicationScope, Idempotency, Tenant};

impl Builder<'_> {
    pub(super) fn groups(&mut self) {
        for block in self.of("group") {
            let pools = self.refs("pool", block.get("pools"));
            let word = |entry: &str| named(block.values(entry)).into_iter().next();
            let effect = block.values("effect");
            let scope = match named(effect).get(1).map(String::as_str) {
                Some("zone") => DeduplicationScope::Zone,
                Some("cell") => DeduplicationScope::Cell,
                _ => DeduplicationScope::Everywhere,
            };
            let effect = word("effect").map(|word| match (word.as_str(), time(effect.get(2))) {
                ("once-only", _) => Idempotency::NonIdempotent,
                ("referenced", Some(window)) => Idempotency::IdempotentByKey { scope, window },
                _ => Idempotency::Idempotent,
            });
            self.plan.classes.push(ClassRules {
                latency_objective: time(block.one("goal")),
                deadline: time(block.one("limit")),
                pools,
                pools_span: block.get("pools").map(|g| g.span.clone()),
                in_order: word("order").map(|w| w == "key"),
                idempotency: effect,
                retries_per_query: number(block.one("further")),
                max_statement_bytes: number(block.one("statement")).map(|n| n as u64),
                name: block.name.clone(),
                span: block.span.clone(),
            });
        }
    }

    pub(super) fn tenants(&mut self) {
        for block in self.of("tenant") {
            self.plan.tenants.push(Tenant {
                share: number(block.one("share")),
                max_in_flight: number(block.one("in-hand")).map(|n| n as u64),
                rate: bucket(block.get("rate")),
                bytes: bucket(block.get("bytes")),
                name: block.name.clone(),
                span: block.span.clone(),
            });
        }
    }
}
