//! Builds admission limits from `limit` blocks.

use super::entries::{bucket, count, texts};
use super::names::RefKind;
use super::Builder;
use crate::check::Spanned;
use crate::diagnostic::Diagnostic;
use crate::model::{Limit, LimitDimension};

impl Builder<'_> {
    pub(super) fn build_limits(&mut self) {
        for block in self.blocks_of_kind("limit") {
            let clients = self.block_indices(RefKind::AddressSet, block.entry("client"));
            if !block.has_any(&["in-hand", "rate", "bytes"]) {
                let text = format!("limit `{}` limits no quantity", block.name);
                let help = "add `in-hand`, `rate` or `bytes`";
                let diagnostic = Diagnostic::new(block.name_span.clone(), text);
                self.report_incomplete(block, diagnostic.help(help));
            }
            self.plan.limits.push(Limit {
                name: block.name.clone(),
                span: block.name_span.clone(),
                per: per(block.values("per")),
                classes: texts(block.values("group")),
                tenants: texts(block.values("tenant")),
                clients,
                max_in_flight: count(block.first_value("in-hand")),
                rate: bucket(block.entry("rate")),
                bytes: bucket(block.entry("bytes")),
            });
        }
    }
}

/// Returns the attributes that a `per` entry names, sorted and without duplicates.
fn per(values: &[Spanned]) -> Vec<LimitDimension> {
    let words = texts(values);
    let mut per: Vec<LimitDimension> = words
        .iter()
        .map(|word| match word.as_str() {
            "group" => LimitDimension::Class,
            "tenant" => LimitDimension::Tenant,
            _ => LimitDimension::Client,
        })
        .collect();
    per.sort_unstable();
    per.dedup();
    per
}
