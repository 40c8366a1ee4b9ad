//! Checks the kind and the name of each block, and that it has only entries of its kind.

use super::constants::Constants;
use super::values::ValueReader;
use super::{CheckedBlock, CheckedEntry, Spanned};
use crate::diagnostic::{truncated, Diagnostic};
use crate::files::Span;
use crate::quantity::{self, ValueKind};
use crate::schema::{self, BlockKind, EntryKind};
use crate::syntax::{Block, Entry, Word};
use std::collections::HashMap;

pub(super) struct BlockChecker<'a> {
    constants: &'a Constants,
    diagnostics: &'a mut Vec<Diagnostic>,
    /// Spans of the names of the blocks checked so far, by kind and name.
    defined: HashMap<(&'static str, String), Span>,
}

impl<'a> BlockChecker<'a> {
    pub(super) fn new(constants: &'a Constants, diagnostics: &'a mut Vec<Diagnostic>) -> Self {
        BlockChecker {
            constants,
            diagnostics,
            defined: HashMap::new(),
        }
    }

    /// Checks a block; `None` if its kind or name is invalid. Unknown entries are omitted, invalid entries are kept
    /// without values.
    pub(super) fn check_block(&mut self, block: &Block) -> Option<CheckedBlock> {
        let mut checked = match self.check_head(block) {
            Ok(checked) => checked,
            Err(diagnostic) => {
                self.diagnostics.push(diagnostic);
                return None;
            }
        };
        for entry in block.entries() {
            self.check_entry(&mut checked, entry);
        }
        Some(checked)
    }

    /// Checks the kind and the name of a block and returns the block without entries.
    fn check_head(&mut self, block: &Block) -> Result<CheckedBlock, Diagnostic> {
        let kind = block_kind(block)?;
        let name = block_name(kind, block)?;
        self.define(kind, name)?;
        Ok(CheckedBlock {
            kind,
            name: name.text.clone(),
            name_span: name.span.clone(),
            whole_span: block.whole_span.clone(),
            entries: HashMap::new(),
        })
    }

    /// Records the name of a block.
    ///
    /// # Errors
    ///
    /// Fails if an earlier block of the same kind has this name.
    fn define(&mut self, kind: &BlockKind, name: &Word) -> Result<(), Diagnostic> {
        let key = (kind.name, name.text.clone());
        if let Some(first) = self.defined.get(&key) {
            let text = format!("duplicate {} `{}`", kind.name, name.text);
            let diagnostic = Diagnostic::new(name.span.clone(), text);
            return Err(diagnostic.related(first.clone(), "first defined here"));
        }
        self.defined.insert(key, name.span.clone());
        Ok(())
    }

    fn check_entry(&mut self, block: &mut CheckedBlock, entry: &Entry) {
        let name = &entry.name;
        let Some(kind) = block.kind.entry(&name.text).filter(|_| !name.is_quoted) else {
            let text = format!(
                "unknown entry `{1}` in block `{0}`",
                block.kind.name,
                truncated(&name.text)
            );
            let names = block.kind.entries.iter().map(|e| e.name);
            let diagnostic = Diagnostic::new(name.span.clone(), text);
            self.diagnostics
                .push(diagnostic.suggest_nearest(&name.text, names));
            return;
        };
        let mut reader = ValueReader::new(kind, name, self.constants, self.diagnostics);
        match reader.read(&entry.lists) {
            Some(values) => self.add_entry(block, kind, entry, values),
            None => {
                // An invalid entry counts as present, so that it is not reported as missing as well.
                block.entries.entry(kind.name).or_insert(CheckedEntry {
                    span: entry.span.clone(),
                    values: Vec::new(),
                });
            }
        }
    }

    /// Adds an entry to its block. List entries may be repeated and are concatenated; any other repeated entry is
    /// reported.
    fn add_entry(
        &mut self,
        block: &mut CheckedBlock,
        kind: &'static EntryKind,
        entry: &Entry,
        values: Vec<Spanned>,
    ) {
        let span = entry.span.clone();
        match block.entries.get_mut(kind.name) {
            None => {
                block
                    .entries
                    .insert(kind.name, CheckedEntry { span, values });
            }
            Some(first) if kind.shape.is_list() => first.values.extend(values),
            Some(first) => {
                let text = format!(
                    "duplicate entry `{}` in block `{}`",
                    kind.name, block.kind.name
                );
                let diagnostic = Diagnostic::new(span, text);
                self.diagnostics
                    .push(diagnostic.related(first.span.clone(), "first given here"));
            }
        }
    }
}

fn block_kind(block: &Block) -> Result<&'static BlockKind, Diagnostic> {
    let word = &block.kind;
    schema::block(&word.text).ok_or_else(|| {
        let text = format!("unknown block kind `{}`", truncated(&word.text));
        let names = schema::BLOCKS.iter().map(|kind| kind.name);
        Diagnostic::new(word.span.clone(), text).suggest_nearest(&word.text, names)
    })
}

fn block_name<'a>(kind: &BlockKind, block: &'a Block) -> Result<&'a Word, Diagnostic> {
    let Some(name) = &block.name else {
        let text = format!("block `{}` has no name", kind.name);
        let diagnostic = Diagnostic::new(block.kind.span.clone(), text);
        return Err(diagnostic.help(format!("add a name: `{} some-name {{`", kind.name)));
    };
    match quantity::parse(ValueKind::Name, name) {
        Ok(_) => Ok(name),
        Err(error) => Err(error.into_diagnostic(name.span.clone())),
    }
}
