//! Checks parsed items against the table of block kinds: expands constants and checks the names and values of entries.

mod blocks;
mod constants;
mod values;

use crate::diagnostic::Diagnostic;
use crate::files::Span;
use crate::quantity::Value;
use crate::schema::BlockKind;
use crate::syntax::Item;
use blocks::BlockChecker;
use constants::Constants;
use std::collections::HashMap;

/// A value with its location in the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned {
    /// Value in base units.
    pub value: Value,
    /// Location of the word; for a value from a constant, the location where the constant is used.
    pub span: Span,
}

/// An entry whose values have the shape that its kind requires, see [`crate::schema::Shape`].
#[derive(Clone, Debug)]
pub struct CheckedEntry {
    /// Span of the name and the values; of the first occurrence if a list entry is given several times.
    pub span: Span,
    /// Values, depending on the shape: none for a flag; the rate and optionally the burst for a bucket; the keyword
    /// and, after `referenced`, the scope and the window for an effect. Empty also if the entry is invalid.
    pub values: Vec<Spanned>,
}

/// A block with only those entries that its kind allows.
#[derive(Clone, Debug)]
pub struct CheckedBlock {
    /// Description of the block kind from the table.
    pub kind: &'static BlockKind,
    /// Name of the block, unique among the blocks of its kind.
    pub name: String,
    /// Span of the name.
    pub name_span: Span,
    /// Span from the head to the closing brace.
    pub whole_span: Span,
    /// Entries by name.
    pub entries: HashMap<&'static str, CheckedEntry>,
}

impl CheckedBlock {
    /// Returns the entry with this name.
    pub fn entry(&self, entry: &str) -> Option<&CheckedEntry> {
        self.entries.get(entry)
    }

    /// Returns whether the block has at least one of these entries.
    pub fn has_any(&self, entries: &[&str]) -> bool {
        entries.iter().any(|entry| self.entry(entry).is_some())
    }

    /// Returns the values of an entry; empty if the block does not have the entry.
    pub fn values(&self, entry: &str) -> &[Spanned] {
        self.entry(entry).map_or(&[], |entry| &entry.values)
    }

    /// Returns the first value of an entry.
    pub fn first_value(&self, entry: &str) -> Option<&Spanned> {
        self.values(entry).first()
    }
}

/// Checks all items and returns the valid blocks; invalid items are reported and omitted. Constants are collected
/// first, so that they may be used before they are defined.
pub fn check(items: &[Item], diagnostics: &mut Vec<Diagnostic>) -> Vec<CheckedBlock> {
    let mut constants = Constants::default();
    for item in items {
        if let Item::Constant {
            name, lists, span, ..
        } = item
        {
            let defined = constants.define(name, lists, span);
            diagnostics.extend(defined.err());
        }
    }
    let mut checker = BlockChecker::new(&constants, diagnostics);
    let blocks = items.iter().filter_map(|item| match item {
        Item::Block(block) => checker.check_block(block),
        _ => None,
    });
    blocks.collect()
}
