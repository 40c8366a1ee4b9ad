//! Limits.

use super::entries::{bucket, named, number};
use super::Builder;
use crate::fault::Fault;
use crate::model::{Limit, Per};

impl Builder<'_> {
    pub(super) fn limits(&mut self) {
        for block in self.of("limit") {
            let clients = self.refs("addresses", block.get("client"));
            if !["in-hand", "rate", "bytes"]
                .iter()
                .any(|e| block.get(e).is_some())
            {
                let fault = Fault::new(
                    block.span.clone(),
                    format!("the limit `{}` limits nothing", block.name),
                );
                self.says_too_little(
                    block,
                    fault.help("say how much: `in-hand`, `rate` or `bytes`"),
                );
            }
            let mut per: Vec<Per> = named(block.values("per"))
                .iter()
                .map(|word| match word.as_str() {
                    "group" => Per::Class,
                    "tenant" => Per::Tenant,
                    _ => Per::Client,
                })
                .collect();
            per.sort_unstable();
            per.dedup();
            self.plan.limits.push(Limit {
                per,
                classes: named(block.values("group")),
                tenants: named(block.values("tenant")),
                clients,
                max_in_flight: number(block.one("in-hand")).map(|n| n as u64),
                rate: bucket(block.get("rate")),
                bytes: bucket(block.get("bytes")),
                name: block.name.clone(),
                span: block.span.clone(),
            });
        }
    }
}
