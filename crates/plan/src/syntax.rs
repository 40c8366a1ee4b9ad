//! Parses the text of one file into includes, constants and blocks.
//!
//! Comments and blank lines are kept, so that the formatter can print the file again.

mod reader;
mod unreadable;

use crate::diagnostic::Diagnostic;
use crate::files::{FileId, Span};
use pest::iterators::Pair;
use pest::Parser;

use reader::Reader;

// The derive macro generates the enum `Rule` with a variant for each rule of the grammar.
#[derive(pest_derive::Parser)]
#[grammar = "plan.pest"]
struct Grammar;

/// A word or a quoted string with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// Text without quotes and with escapes resolved.
    pub text: String,
    /// Whether the source has the text in quotes.
    pub is_quoted: bool,
    /// Span in the source, including the quotes.
    pub span: Span,
}

impl Word {
    /// Returns whether this is the given word without quotes.
    pub fn is_keyword(&self, keyword: &str) -> bool {
        !self.is_quoted && self.text == keyword
    }
}

/// One value, or several values separated by commas.
pub type List = Vec<Word>;

/// An entry of a block: a name followed by values.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Name at the start of the entry.
    pub name: Word,
    /// Values: lists that are separated from one another by white space only.
    pub lists: Vec<List>,
    /// Span of the name and the values.
    pub span: Span,
    /// Comment after the values and within the list of values.
    pub comment: Option<String>,
}

/// A line or entry inside a block.
#[derive(Clone, Debug)]
pub enum BlockItem {
    /// Name with values, possibly over several lines.
    Entry(Entry),
    /// A comment on its own line, or an empty line for `None`.
    Blank(Option<String>),
}

/// A block of entries, for example a pool or a route.
#[derive(Clone, Debug)]
pub struct Block {
    /// Keyword for the kind of block; not checked by the parser.
    pub kind: Word,
    /// Name of the block; `None` if the head has none.
    pub name: Option<Word>,
    /// Entries, comments and empty lines in source order.
    pub items: Vec<BlockItem>,
    /// Span of the line that opens the block, without a comment.
    pub head_span: Span,
    /// Span from the head to the closing brace.
    pub whole_span: Span,
    /// Comment after the head.
    pub comment: Option<String>,
    /// Comment after the closing brace.
    pub close_comment: Option<String>,
}

impl Block {
    /// Returns the entries in source order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.items.iter().filter_map(|item| match item {
            BlockItem::Entry(entry) => Some(entry),
            BlockItem::Blank(_) => None,
        })
    }
}

/// A top-level item of a file.
#[derive(Clone, Debug)]
pub enum Item {
    /// A comment on its own line, or an empty line for `None`.
    Blank(Option<String>),
    /// An include of another file.
    Include {
        /// Path as written in the source.
        path: Word,
        /// Span of the include without the comment.
        span: Span,
        /// Comment after the path.
        comment: Option<String>,
    },
    /// A definition of a named value or list of values.
    Constant {
        /// Name without the `$` of its references.
        name: Word,
        /// Values; the checker requires exactly one list.
        lists: Vec<List>,
        /// Span of the definition without the comment.
        span: Span,
        /// Comment after the values.
        comment: Option<String>,
    },
    /// A block with its entries.
    Block(Block),
}

/// The result of parsing a file.
#[derive(Debug, Default)]
pub struct Tree {
    /// Valid items in source order.
    pub items: Vec<Item>,
    /// Errors of the lines that could not be parsed.
    pub diagnostics: Vec<Diagnostic>,
}

/// Parses the text of a file. A line that matches no rule of the grammar is reported, and parsing continues after it.
pub fn parse(text: &str, file: FileId) -> Tree {
    let mut reader = Reader::new(file);
    match Grammar::parse(Rule::file, text) {
        Ok(pairs) => {
            for pair in pairs.flat_map(Pair::into_inner) {
                reader.read_item(pair);
            }
        }
        // The grammar accepts any text. The error is reported in case a change to the grammar breaks this property.
        Err(error) => {
            let text = format!("cannot parse file: {}", error.variant.message());
            reader.push_diagnostic(Diagnostic::new(Span::start_of(file), text));
        }
    }
    reader.into_tree()
}
