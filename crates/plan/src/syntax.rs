//! Parses the text of one file into includes, constants and blocks, with comments, so that it can be printed again.

mod reader;
mod unreadable;

use crate::diagnostic::Diagnostic;
use crate::files::{FileId, Span};
use pest::iterators::Pair;
use pest::Parser;

use reader::Reader;

// The derive makes `Rule`, whose variants are the grammar's names.
#[derive(pest_derive::Parser)]
#[grammar = "plan.pest"]
struct Grammar;

/// A word or a string, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// The text without quotes and escapes.
    pub text: String,
    /// Whether it is written in quotes.
    pub is_quoted: bool,
    /// Where it is.
    pub span: Span,
}

impl Word {
    /// Whether this is the given word, not in quotes.
    pub fn is_keyword(&self, keyword: &str) -> bool {
        !self.is_quoted && self.text == keyword
    }
}

/// One value, or several with commas between.
pub type Part = Vec<Word>;

/// A name with the values that follow it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The name.
    pub name: Word,
    /// The values.
    pub parts: Vec<Part>,
    /// The place of name and values.
    pub span: Span,
    /// The comment behind the values.
    pub comment: Option<String>,
}

/// What a block consists of.
#[derive(Clone, Debug)]
pub enum BlockItem {
    /// An entry.
    Entry(Entry),
    /// A comment that stands alone, or an empty line.
    Blank(Option<String>),
}

/// A block of entries.
#[derive(Clone, Debug)]
pub struct Block {
    /// The word that names its kind.
    pub kind: Word,
    /// Its name, where one is written.
    pub name: Option<Word>,
    /// Its entries, comments and empty lines.
    pub items: Vec<BlockItem>,
    /// The place of its head.
    pub head_span: Span,
    /// The place of the whole block.
    pub whole_span: Span,
    /// The comment behind the head.
    pub comment: Option<String>,
    /// The comment behind the closing brace.
    pub close_comment: Option<String>,
}

impl Block {
    /// Its entries, in order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.items.iter().filter_map(|item| match item {
            BlockItem::Entry(entry) => Some(entry),
            BlockItem::Blank(_) => None,
        })
    }
}

/// What a file consists of.
#[derive(Clone, Debug)]
pub enum Item {
    /// A comment that stands alone, or an empty line.
    Blank(Option<String>),
    /// The content of another file.
    Include {
        /// The path as it is written.
        path: Word,
        /// The place of the include.
        span: Span,
        /// The comment behind it.
        comment: Option<String>,
    },
    /// A named value.
    Constant {
        /// The name.
        name: Word,
        /// The value, or its list of values.
        parts: Vec<Part>,
        /// The place of the definition.
        span: Span,
        /// The comment behind it.
        comment: Option<String>,
    },
    /// A block.
    Block(Block),
}

/// The items of a file, and the diagnostics of what could not be read as one.
#[derive(Debug, Default)]
pub struct Tree {
    /// What could be read.
    pub items: Vec<Item>,
    /// What could not.
    pub diagnostics: Vec<Diagnostic>,
}

/// Parses a text. A line that fits nothing is an error, and parsing goes on behind it.
pub fn parse(text: &str, file: FileId) -> Tree {
    let mut reader = Reader::new(file);
    match Grammar::parse(Rule::file, text) {
        Ok(pairs) => {
            for pair in pairs.flat_map(Pair::into_inner) {
                reader.read_item(pair);
            }
        }
        // The grammar accepts any text; this is for a grammar that no longer does.
        Err(error) => {
            let text = format!("cannot parse file: {}", error.variant.message());
            reader.push_diagnostic(Diagnostic::new(Span::start_of(file), text));
        }
    }
    reader.into_tree()
}
