//! Resolves names: those that the settings know, and those of other blocks.

use super::{Builder, Settings};
use crate::check::{CheckedBlock, CheckedEntry, Spanned};
use crate::diagnostic::Diagnostic;
use crate::files::Span;
use crate::quantity::Value;
use crate::schema::Namespace;

/// A kind of block that entries of other blocks name.
#[derive(Clone, Copy)]
pub(super) enum Referenced {
    AddressSet,
    Pool,
}

impl Referenced {
    /// The word that begins such a block.
    pub(super) fn keyword(self) -> &'static str {
        match self {
            Referenced::AddressSet => "addresses",
            Referenced::Pool => "pool",
        }
    }

    /// What messages call such a block.
    fn description(self) -> &'static str {
        match self {
            Referenced::AddressSet => "address set",
            Referenced::Pool => "pool",
        }
    }
}

impl Builder<'_> {
    /// Checks names of classes, tenants, kinds and zones, where the settings are at hand.
    pub(super) fn check_settings_names(&mut self) {
        let Some(settings) = self.settings else {
            return;
        };
        for block in self.blocks {
            if let Some(namespace) = block.kind.namespace {
                self.check_settings_name(settings, namespace, &block.name, &block.name_span);
            }
            for entry in block.kind.entries {
                if let Some(namespace) = entry.shape.namespace() {
                    self.check_settings_values(settings, namespace, block.values(entry.name));
                }
            }
        }
    }

    fn check_settings_values(
        &mut self,
        settings: &Settings,
        namespace: Namespace,
        values: &[Spanned],
    ) {
        for value in values {
            if let Value::Name(name) = &value.value {
                self.check_settings_name(settings, namespace, name, &value.span);
            }
        }
    }

    fn check_settings_name(
        &mut self,
        settings: &Settings,
        namespace: Namespace,
        name: &str,
        span: &Span,
    ) {
        let names = settings.names(namespace);
        if !names.contains(&name) {
            let text = format!(
                "unknown {} `{name}`: the settings do not define it",
                namespace.description()
            );
            let diagnostic = Diagnostic::new(span.clone(), text);
            self.diagnostics
                .push(diagnostic.suggest_nearest(name, names));
        }
    }

    /// The indices of the blocks of a kind that an entry names.
    pub(super) fn block_indices(
        &mut self,
        kind: Referenced,
        entry: Option<&CheckedEntry>,
    ) -> Vec<usize> {
        let mut found = Vec::new();
        for value in entry.map_or(&[][..], |entry| &entry.values) {
            let Value::Name(name) = &value.value else {
                continue;
            };
            match self.block_index(kind, name, &value.span) {
                Ok(index) if found.contains(&index) => {
                    let text = format!("duplicate name `{name}` in list");
                    let diagnostic = Diagnostic::new(value.span.clone(), text);
                    self.diagnostics.push(diagnostic);
                }
                Ok(index) => found.push(index),
                Err(diagnostic) => self.diagnostics.push(diagnostic),
            }
        }
        found
    }

    /// The index of the block of a kind that has this name.
    fn block_index(&self, kind: Referenced, name: &str, span: &Span) -> Result<usize, Diagnostic> {
        let indices = match kind {
            Referenced::AddressSet => &self.address_set_indices,
            Referenced::Pool => &self.pool_indices,
        };
        if let Some(index) = indices.get(name) {
            return Ok(*index);
        }
        let text = format!("unknown {} `{name}`", kind.description());
        let diagnostic = Diagnostic::new(span.clone(), text);
        Err(diagnostic.suggest_nearest(name, indices.keys().copied()))
    }

    /// An order in which each block of a kind comes after those that it refers to; a cycle is an error.
    pub(super) fn reference_order(
        &mut self,
        kind: Referenced,
        references: &[Vec<usize>],
    ) -> Vec<usize> {
        let blocks = self.blocks_of_kind(kind.keyword());
        let mut search = ReferenceSearch {
            references,
            is_done: vec![false; references.len()],
            order: Vec::with_capacity(references.len()),
        };
        for start in 0..references.len() {
            for cycle in search.visit(start) {
                self.diagnostics.push(cycle_diagnostic(&blocks, &cycle));
            }
        }
        search.order
    }
}

/// A depth-first search over references; it keeps its own stack, so that no plan makes it recurse deeply.
struct ReferenceSearch<'a> {
    references: &'a [Vec<usize>],
    is_done: Vec<bool>,
    /// The blocks that are done, those that others refer to first.
    order: Vec<usize>,
}

/// A block whose references are being followed.
struct Visit {
    block: usize,
    /// How many of its references were followed.
    followed: usize,
}

impl Visit {
    fn new(block: usize) -> Self {
        Visit { block, followed: 0 }
    }
}

impl ReferenceSearch<'_> {
    /// Visits a block and all that it refers to, and returns the cycles that were found.
    fn visit(&mut self, start: usize) -> Vec<Vec<usize>> {
        let mut cycles = Vec::new();
        let mut path = Vec::new();
        if !self.is_done[start] {
            path.push(Visit::new(start));
        }
        while let Some(visit) = path.last_mut() {
            let block = visit.block;
            let Some(&next) = self.references[block].get(visit.followed) else {
                self.is_done[block] = true;
                self.order.push(block);
                path.pop();
                continue;
            };
            visit.followed += 1;
            if let Some(first) = path.iter().position(|visit| visit.block == next) {
                cycles.push(path[first..].iter().map(|visit| visit.block).collect());
            } else if !self.is_done[next] {
                path.push(Visit::new(next));
            }
        }
        cycles
    }
}

/// The diagnostic of blocks each of which refers to the next, and the last to the first.
fn cycle_diagnostic(blocks: &[&CheckedBlock], cycle: &[usize]) -> Diagnostic {
    let first = blocks[cycle[0]];
    let names = cycle.iter().map(|index| blocks[*index].name.as_str());
    let names: Vec<&str> = names.chain([first.name.as_str()]).collect();
    let text = format!(
        "`{}` refers to itself in a cycle: {}",
        first.name,
        names.join(" -> ")
    );
    Diagnostic::new(first.name_span.clone(), text)
}
