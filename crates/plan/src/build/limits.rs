//! Builds limits.

use super::entries::{bucket, count, named};
use super::Builder;
use crate::check::Spanned;
use crate::diagnostic::Diagnostic;
use crate::model::{Limit, Per};

impl Builder<'_> {
    pub(super) fn limits(&mut self) {
        for block in self.of("limit") {
            let clients = self.block_indices("addresses", block.get("client"));
            if !block.has_any(&["in-hand", "rate", "bytes"]) {
                let text = format!("the limit `{}` limits nothing", block.name);
                let help = "say how much: `in-hand`, `rate` or `bytes`";
                let diagnostic = Diagnostic::new(block.span.clone(), text);
                self.incomplete(block, diagnostic.help(help));
            }
            self.plan.limits.push(Limit {
                name: block.name.clone(),
                span: block.span.clone(),
                per: per(block.values("per")),
                classes: named(block.values("group")),
                tenants: named(block.values("tenant")),
                clients,
                max_in_flight: count(block.one("in-hand")),
                rate: bucket(block.get("rate")),
                bytes: bucket(block.get("bytes")),
            });
        }
    }
}

/// What a limit is counted by, in order, each once.
fn per(values: &[Spanned]) -> Vec<Per> {
    let words = named(values);
    let mut per: Vec<Per> = words
        .iter()
        .map(|word| match word.as_str() {
            "group" => Per::Class,
            "tenant" => Per::Tenant,
            _ => Per::Client,
        })
        .collect();
    per.sort_unstable();
    per.dedup();
    per
}
