//! Checks parsed items against the table of block kinds: constants are replaced, names and shapes of entries checked.

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

/// A value with its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned {
    /// The value.
    pub value: Value,
    /// Where it is.
    pub span: Span,
}

/// An entry whose values have the shape that its kind requires.
#[derive(Clone, Debug)]
pub struct CheckedEntry {
    /// The place of the entry.
    pub span: Span,
    /// By shape: none for a flag; the rate and perhaps the burst for a bucket; for an effect its word and, where it
    /// is `referenced`, scope and window.
    pub values: Vec<Spanned>,
}

/// A block all of whose entries belong to its kind.
#[derive(Clone, Debug)]
pub struct CheckedBlock {
    /// Its kind.
    pub kind: &'static BlockKind,
    /// Its name.
    pub name: String,
    /// The place of the name.
    pub name_span: Span,
    /// The place of the whole block.
    pub whole_span: Span,
    /// Its entries by name.
    pub entries: HashMap<&'static str, CheckedEntry>,
}

impl CheckedBlock {
    /// An entry by its name.
    pub fn entry(&self, entry: &str) -> Option<&CheckedEntry> {
        self.entries.get(entry)
    }

    /// Whether the block has one of some entries.
    pub fn has_any(&self, entries: &[&str]) -> bool {
        entries.iter().any(|entry| self.entry(entry).is_some())
    }

    /// The values of an entry; empty where the block does not have it.
    pub fn values(&self, entry: &str) -> &[Spanned] {
        self.entry(entry).map_or(&[], |entry| &entry.values)
    }

    /// The first value of an entry.
    pub fn first_value(&self, entry: &str) -> Option<&Spanned> {
        self.values(entry).first()
    }
}

/// Checks all items; invalid ones are reported and left out. Constants may be used before they are defined.
pub fn check(items: &[Item], diagnostics: &mut Vec<Diagnostic>) -> Vec<CheckedBlock> {
    let mut constants = Constants::default();
    for item in items {
        if let Item::Constant {
            name, parts, span, ..
        } = item
        {
            let defined = constants.define(name, parts, span);
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
