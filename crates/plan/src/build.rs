//! Builds a [`Plan`] from checked blocks, resolving names and reporting contradictions as errors.
//!
//! The [`Builder`] converts the blocks of each kind into the corresponding part of the plan. If the plan has no errors
//! up to that point, the [`ConsistencyCheck`] compares these parts with one another and with the settings.

mod classes;
mod consistency;
mod entries;
mod limits;
mod names;
mod pools;
mod routes;
mod settings;
mod storage;

use crate::check::CheckedBlock;
use crate::diagnostic::Diagnostic;
use crate::model::Plan;
use consistency::ConsistencyCheck;
use names::RefKind;
use std::collections::HashMap;

pub use settings::{Settings, SettingsClass};

/// Builds a plan from checked blocks, and checks it against `settings` if they are given.
///
/// Errors are appended to `diagnostics`. If it is not empty afterwards, the caller must discard the returned plan.
pub fn build(
    blocks: &[CheckedBlock],
    settings: Option<&Settings>,
    diagnostics: &mut Vec<Diagnostic>,
) -> Plan {
    let mut builder = Builder {
        blocks,
        address_set_indices: indices_by_name(blocks, RefKind::AddressSet),
        pool_indices: indices_by_name(blocks, RefKind::Pool),
        settings,
        diagnostics,
        plan: Plan::default(),
    };
    builder.build_blocks();
    let Builder {
        plan, diagnostics, ..
    } = builder;
    if diagnostics.is_empty() {
        ConsistencyCheck {
            plan: &plan,
            settings,
            diagnostics,
        }
        .run();
    }
    plan
}

/// Returns the blocks of a kind in source order.
fn blocks_of_kind<'a>(blocks: &'a [CheckedBlock], kind: &str) -> Vec<&'a CheckedBlock> {
    let of_kind = |block: &&CheckedBlock| block.kind.name == kind;
    blocks.iter().filter(of_kind).collect()
}

/// Returns, by block name, the index of each block among the blocks of its kind.
fn indices_by_name(blocks: &[CheckedBlock], kind: RefKind) -> HashMap<&str, usize> {
    let blocks = blocks_of_kind(blocks, kind.keyword())
        .into_iter()
        .enumerate();
    blocks
        .map(|(index, block)| (block.name.as_str(), index))
        .collect()
}

/// State of the conversion from blocks to a plan: the inputs, the errors, and the part of the plan built so far.
struct Builder<'a> {
    blocks: &'a [CheckedBlock],
    /// Indices of the `addresses` blocks by name.
    address_set_indices: HashMap<&'a str, usize>,
    /// Indices of the `pool` blocks by name.
    pool_indices: HashMap<&'a str, usize>,
    settings: Option<&'a Settings>,
    diagnostics: &'a mut Vec<Diagnostic>,
    plan: Plan,
}

impl<'a> Builder<'a> {
    fn build_blocks(&mut self) {
        self.check_settings_names();
        self.build_addresses();
        self.build_pools();
        self.build_classes();
        self.build_tenants();
        self.build_routes();
        self.build_limits();
        self.build_bodies();
        self.build_journal();
    }

    fn blocks_of_kind(&self, kind: &str) -> Vec<&'a CheckedBlock> {
        blocks_of_kind(self.blocks, kind)
    }

    /// Reports a missing entry of a block, unless the block already has an error: the invalid line may be the entry
    /// that seems to be missing.
    fn report_incomplete(&mut self, block: &CheckedBlock, diagnostic: Diagnostic) {
        let is_inside = |diagnostic: &Diagnostic| {
            diagnostic.span.file == block.whole_span.file
                && block.whole_span.range().contains(&diagnostic.span.start)
        };
        if !self.diagnostics.iter().any(is_inside) {
            self.diagnostics.push(diagnostic);
        }
    }
}
