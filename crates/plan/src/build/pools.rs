//! Builds address sets from `addresses` blocks and pools from `pool` blocks.

use super::entries::texts;
use super::names::RefKind;
use super::Builder;
use crate::address::{difference, union, AddressRange, AddressRanges};
use crate::check::{CheckedBlock, Spanned};
use crate::diagnostic::Diagnostic;
use crate::model::{AddressSet, Pool};
use crate::quantity::Value;

impl Builder<'_> {
    pub(super) fn build_addresses(&mut self) {
        let blocks = self.blocks_of_kind("addresses");
        let included: Vec<Vec<usize>> = blocks
            .iter()
            .map(|block| self.block_indices(RefKind::AddressSet, block.entry("of")))
            .collect();
        let mut ranges_of: Vec<AddressRanges> = vec![AddressRanges::new(); blocks.len()];
        for index in self.reference_order(RefKind::AddressSet, &included) {
            let others = included[index].iter();
            let mut ranges = network_ranges(blocks[index].values("net"));
            ranges.extend(others.flat_map(|other| ranges_of[*other].iter().copied()));
            let excluded = network_ranges(blocks[index].values("except"));
            ranges_of[index] = difference(&union(ranges), &excluded);
        }
        for (block, ranges) in blocks.into_iter().zip(ranges_of) {
            self.check_addresses(block, &ranges);
            self.plan.addresses.push(AddressSet {
                name: block.name.clone(),
                span: block.name_span.clone(),
                ranges,
            });
        }
    }

    fn check_addresses(&mut self, block: &CheckedBlock, ranges: &AddressRanges) {
        if !block.has_any(&["net", "of"]) {
            let text = format!("address set `{}` has neither `net` nor `of`", block.name);
            let diagnostic = Diagnostic::new(block.name_span.clone(), text);
            self.report_incomplete(block, diagnostic.help("for example: `net 10.1.0.0/16`"));
        } else if ranges.is_empty() && !block.values("net").is_empty() {
            let text = format!(
                "address set `{}` is empty: `except` removes every address",
                block.name
            );
            self.diagnostics
                .push(Diagnostic::new(block.name_span.clone(), text));
        }
    }

    pub(super) fn build_pools(&mut self) {
        for block in self.blocks_of_kind("pool") {
            let pool = Pool {
                name: block.name.clone(),
                span: block.name_span.clone(),
                all: block.entry("all").is_some(),
                zones: texts(block.values("zone")),
                kinds: texts(block.values("kind")),
                ids: texts(block.values("id")),
                addresses: self.block_indices(RefKind::AddressSet, block.entry("address")),
                union: self.block_indices(RefKind::Pool, block.entry("union")),
                except: self.block_indices(RefKind::Pool, block.entry("except")),
            };
            self.plan.pools.push(pool);
            self.check_pool(block);
        }
        let references = |pool: &Pool| pool.union.iter().chain(&pool.except).copied().collect();
        let references: Vec<Vec<usize>> = self.plan.pools.iter().map(references).collect();
        self.plan.pool_order = self.reference_order(RefKind::Pool, &references);
    }

    fn check_pool(&mut self, block: &CheckedBlock) {
        if block.has_any(&["all", "zone", "kind", "id", "address", "union"]) {
            return;
        }
        let text = format!("pool `{}` selects no engine", block.name);
        let help = "add `all`, `zone`, `kind`, `id`, `address` or `union`";
        let diagnostic = Diagnostic::new(block.name_span.clone(), text);
        self.report_incomplete(block, diagnostic.help(help));
    }
}

/// Returns the union of the values that are networks.
fn network_ranges(networks: &[Spanned]) -> AddressRanges {
    let ranges = networks.iter().filter_map(|value| match &value.value {
        Value::Network(network) => Some(AddressRange::of(network)),
        _ => None,
    });
    union(ranges.collect())
}
