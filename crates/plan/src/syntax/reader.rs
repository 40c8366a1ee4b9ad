//! Converts the parse tree of pest into items with spans and comments.

use super::unreadable::{self, Context};
use super::{Block, BlockItem, Entry, Item, List, Rule, Tree, Word};
use crate::diagnostic::Diagnostic;
use crate::files::{FileId, Span};
use pest::iterators::Pair;

pub(super) struct Reader {
    file: FileId,
    tree: Tree,
}

/// The words, values and comments of an include, a constant, a block head or an entry.
#[derive(Default)]
struct Statement {
    /// Words and strings that are not values, such as a name or a path.
    words: Vec<Word>,
    lists: Vec<List>,
    comment: Option<String>,
}

impl Statement {
    /// Appends a comment. Comments within a list are moved to the end, because the lines of the list are joined.
    fn add_comment(&mut self, more: String) {
        self.comment = Some(match self.comment.take() {
            Some(first) => format!("{first} {more}"),
            None => more,
        });
    }
}

/// The line that opens a block.
struct BlockHead {
    span: Span,
    statement: Statement,
}

/// The parts of a block. The grammar accepts a block without a closing brace, so that its lines are checked as well.
#[derive(Default)]
struct BlockParts {
    head: Option<BlockHead>,
    items: Vec<BlockItem>,
    is_closed: bool,
    close_comment: Option<String>,
}

impl Reader {
    pub(super) fn new(file: FileId) -> Self {
        Reader {
            file,
            tree: Tree::default(),
        }
    }

    pub(super) fn into_tree(self) -> Tree {
        self.tree
    }

    pub(super) fn push_diagnostic(&mut self, diagnostic: Diagnostic) {
        self.tree.diagnostics.push(diagnostic);
    }

    pub(super) fn read_item(&mut self, pair: Pair<Rule>) {
        match pair.as_rule() {
            Rule::blank => self.tree.items.push(Item::Blank(comment_of(pair))),
            Rule::include => self.read_include(pair),
            Rule::constant => self.read_constant(pair),
            Rule::block => self.read_block(pair),
            Rule::headless_block => self.report_headless_block(pair),
            Rule::unreadable => self.report_unreadable(&pair, Context::File),
            _ => {}
        }
    }

    fn read_include(&mut self, pair: Pair<Rule>) {
        let span = self.span(&pair);
        let mut statement = self.read_statement(pair);
        let Some(path) = statement.words.pop() else {
            return;
        };
        self.tree.items.push(Item::Include {
            path,
            span,
            comment: statement.comment,
        });
    }

    fn read_constant(&mut self, pair: Pair<Rule>) {
        let span = self.span(&pair);
        let mut statement = self.read_statement(pair);
        let Some(name) = statement.words.pop() else {
            return;
        };
        self.tree.items.push(Item::Constant {
            name,
            lists: statement.lists,
            span,
            comment: statement.comment,
        });
    }

    /// Reports a block with an invalid head: the head and the invalid lines inside, but not the valid entries.
    fn report_headless_block(&mut self, pair: Pair<Rule>) {
        for part in pair.into_inner() {
            match part.as_rule() {
                Rule::invalid_head => self.report_unreadable(&part, Context::File),
                Rule::unreadable => self.report_unreadable(&part, Context::Block),
                _ => {}
            }
        }
    }

    fn read_block(&mut self, pair: Pair<Rule>) {
        let whole_span = self.span(&pair);
        let parts = self.read_block_parts(pair);
        let Some(head) = parts.head else {
            return;
        };
        let mut words = head.statement.words.into_iter();
        let Some(kind) = words.next() else { return };
        if !parts.is_closed {
            let diagnostic = Diagnostic::new(head.span.clone(), "unclosed block");
            self.push_diagnostic(diagnostic.help("add a line with `}` at the end of the block"));
        }
        self.tree.items.push(Item::Block(Block {
            kind,
            name: words.next(),
            items: parts.items,
            head_span: head.span,
            whole_span,
            comment: head.statement.comment,
            close_comment: parts.close_comment,
        }));
    }

    fn read_block_parts(&mut self, pair: Pair<Rule>) -> BlockParts {
        let mut parts = BlockParts::default();
        for part in pair.into_inner() {
            match part.as_rule() {
                Rule::head => {
                    parts.head = Some(BlockHead {
                        span: self.span(&part),
                        statement: self.read_statement(part),
                    });
                }
                Rule::entry => parts
                    .items
                    .extend(self.read_entry(part).map(BlockItem::Entry)),
                Rule::blank => parts.items.push(BlockItem::Blank(comment_of(part))),
                Rule::unreadable => self.report_unreadable(&part, Context::Block),
                Rule::close => {
                    parts.is_closed = true;
                    parts.close_comment = comment_of(part);
                }
                _ => {}
            }
        }
        parts
    }

    fn read_entry(&self, pair: Pair<Rule>) -> Option<Entry> {
        let span = self.span(&pair);
        let mut statement = self.read_statement(pair);
        Some(Entry {
            name: statement.words.pop()?,
            lists: statement.lists,
            span,
            comment: statement.comment,
        })
    }

    fn read_statement(&self, pair: Pair<Rule>) -> Statement {
        let mut statement = Statement::default();
        for piece in pair.into_inner() {
            match piece.as_rule() {
                Rule::word | Rule::string => statement.words.push(self.read_word(&piece)),
                Rule::list => self.read_list(piece, &mut statement),
                Rule::comment => statement.add_comment(text_of(&piece)),
                _ => {}
            }
        }
        statement
    }

    fn read_list(&self, pair: Pair<Rule>, statement: &mut Statement) {
        let mut list = List::new();
        for piece in pair.into_inner() {
            match piece.as_rule() {
                Rule::comment => statement.add_comment(text_of(&piece)),
                _ => list.push(self.read_word(&piece)),
            }
        }
        statement.lists.push(list);
    }

    fn read_word(&self, pair: &Pair<Rule>) -> Word {
        let written = pair.as_str();
        let is_quoted = pair.as_rule() == Rule::string;
        Word {
            text: match is_quoted {
                true => unescaped(written),
                false => written.to_string(),
            },
            is_quoted,
            span: self.span(pair),
        }
    }

    /// Returns the span of a pair without trailing white space and comment.
    fn span(&self, pair: &Pair<Rule>) -> Span {
        let text = pair.as_str();
        let code = match pair.as_rule() {
            Rule::head | Rule::entry | Rule::include | Rule::constant => without_comment(text),
            _ => text,
        };
        let start = pair.as_span().start();
        Span {
            file: self.file,
            start,
            end: start + code.trim_end().len(),
        }
    }

    fn report_unreadable(&mut self, pair: &Pair<Rule>, context: Context) {
        let span = self.span(pair);
        let diagnostic = unreadable::diagnostic(span, pair.as_str(), context);
        self.push_diagnostic(diagnostic);
    }
}

/// Returns the text before the comment. If there is a quote before the first `#`, the `#` may be part of a string, and
/// the whole text is returned.
fn without_comment(text: &str) -> &str {
    match text.split_once('#') {
        Some((code, _)) if !code.contains('"') => code,
        _ => text,
    }
}

fn comment_of(pair: Pair<Rule>) -> Option<String> {
    let comment = pair
        .into_inner()
        .find(|inner| inner.as_rule() == Rule::comment)?;
    Some(text_of(&comment))
}

fn text_of(pair: &Pair<Rule>) -> String {
    pair.as_str().trim_end().to_string()
}

/// Returns the text of a quoted string without quotes and with escapes resolved.
fn unescaped(string: &str) -> String {
    let inner = string.get(1..string.len() - 1).unwrap_or_default();
    let mut text = String::with_capacity(inner.len());
    let mut is_escape = false;
    for c in inner.chars() {
        is_escape = c == '\\' && !is_escape;
        if !is_escape {
            text.push(c);
        }
    }
    text
}
