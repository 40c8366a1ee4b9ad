//! Resolves the names that a plan uses: names that the settings define, and names of other blocks.

use super::{Builder, Settings};
use crate::check::{CheckedBlock, CheckedEntry, Spanned};
use crate::diagnostic::Diagnostic;
use crate::files::Span;
use crate::quantity::Value;
use crate::schema::Namespace;

/// Kind of a block that entries of other blocks can refer to by name.
#[derive(Clone, Copy)]
pub(super) enum RefKind {
    AddressSet,
    Pool,
}

impl RefKind {
    /// Returns the keyword of the plan language that opens a block of this kind.
    pub(super) fn keyword(self) -> &'static str {
        match self {
            RefKind::AddressSet => "addresses",
            RefKind::Pool => "pool",
        }
    }

    /// Returns the term for such a block in error messages.
    fn description(self) -> &'static str {
        match self {
            RefKind::AddressSet => "address set",
            RefKind::Pool => "pool",
        }
    }
}

impl Builder<'_> {
    /// Reports names of classes, tenants, kinds and zones that the settings do not define. Without settings, every name
    /// is accepted.
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

    /// Returns the indices of the blocks of a kind that an entry names; unknown and duplicate names are reported and
    /// omitted.
    pub(super) fn block_indices(
        &mut self,
        kind: RefKind,
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

    /// Returns the index of the block of a kind with this name, or the diagnostic for an unknown name at `span`.
    fn block_index(&self, kind: RefKind, name: &str, span: &Span) -> Result<usize, Diagnostic> {
        let indices = match kind {
            RefKind::AddressSet => &self.address_set_indices,
            RefKind::Pool => &self.pool_indices,
        };
        if let Some(index) = indices.get(name) {
            return Ok(*index);
        }
        let text = format!("unknown {} `{name}`", kind.description());
        let diagnostic = Diagnostic::new(span.clone(), text);
        Err(diagnostic.suggest_nearest(name, indices.keys().copied()))
    }

    /// Returns the indices of all blocks of a kind in topological order: each block comes after those it refers to.
    /// Cycles are reported; `references` lists the referenced blocks for each block.
    pub(super) fn reference_order(
        &mut self,
        kind: RefKind,
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

/// Depth-first search over the references between blocks. It uses an explicit stack, because recursion could overflow
/// the call stack on a plan with a long chain of references.
struct ReferenceSearch<'a> {
    references: &'a [Vec<usize>],
    is_done: Vec<bool>,
    /// Blocks whose references have all been visited, in topological order.
    order: Vec<usize>,
}

/// A stack frame of the search: a block whose references are being visited.
struct Visit {
    block: usize,
    /// Number of its references that have been visited so far.
    followed: usize,
}

impl Visit {
    fn new(block: usize) -> Self {
        Visit { block, followed: 0 }
    }
}

impl ReferenceSearch<'_> {
    /// Visits a block and all blocks reachable from it, and returns the cycles found. Each cycle lists its blocks in
    /// the order of reference.
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

/// Returns the diagnostic for a cycle in which each block refers to the next and the last one to the first.
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
