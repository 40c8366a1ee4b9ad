//! From text to items: what stands where, nothing of what it means.

use crate::fault::Fault;
use crate::source::{FileId, Span};
use pest::iterators::Pair;
use pest::Parser;

// The derive makes `Rule`, whose variants are the grammar's names.
#[derive(pest_derive::Parser)]
#[grammar = "plan.pest"]
struct Grammar;

/// A word or a string, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// Without quotes and escapes.
    pub text: String,
    pub quoted: bool,
    pub span: Span,
}

/// One value, or several with commas between.
pub type Part = Vec<Word>;

/// A name with what follows it on its line.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: Word,
    pub parts: Vec<Part>,
    pub span: Span,
    pub comment: Option<String>,
}

/// A line in a block, as far as the formatter needs it.
#[derive(Clone, Debug)]
pub enum Line {
    Entry(Entry),
    /// A comment on a line of its own, or an empty line.
    Blank(Option<String>),
}

#[derive(Clone, Debug)]
pub struct Block {
    pub kind: Word,
    pub name: Option<Word>,
    pub lines: Vec<Line>,
    /// The head's place, and that of the whole block.
    pub span: Span,
    pub whole: Span,
    pub comment: Option<String>,
    pub close_comment: Option<String>,
}

impl Block {
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.lines.iter().filter_map(|line| match line {
            Line::Entry(entry) => Some(entry),
            Line::Blank(_) => None,
        })
    }
}

/// What a file consists of.
#[derive(Clone, Debug)]
pub enum Item {
    Blank(Option<String>),
    Include {
        path: Word,
        span: Span,
        comment: Option<String>,
    },
    Constant {
        name: Word,
        parts: Vec<Part>,
        span: Span,
        comment: Option<String>,
    },
    Block(Block),
}

/// A file's items and what could not be read as one.
#[derive(Debug, Default)]
pub struct Tree {
    pub items: Vec<Item>,
    pub faults: Vec<Fault>,
}

/// Reads a text; every line that fits nothing is a fault, and the rest is read on.
pub fn parse(text: &str, file: FileId) -> Tree {
    let mut reader = Reader {
        file,
        tree: Tree::default(),
    };
    match Grammar::parse(Rule::file, text) {
        Ok(pairs) => {
            for pair in pairs.flat_map(Pair::into_inner) {
                reader.item(pair);
            }
        }
        // The grammar takes any text; were it not so, this is better than silence.
        Err(e) => {
            let span = Span {
                file,
                start: 0,
                end: 0,
            };
            reader.tree.faults.push(Fault::new(
                span,
                format!("can't be read: {}", e.variant.message()),
            ));
        }
    }
    reader.tree
}

struct Reader {
    file: FileId,
    tree: Tree,
}

impl Reader {
    fn item(&mut self, pair: Pair<Rule>) {
        let span = self.span(&pair);
        match pair.as_rule() {
            Rule::blank => {
                let comment = pair.into_inner().find(|p| p.as_rule() == Rule::comment);
                self.tree.items.push(Item::Blank(comment.map(text_of)));
            }
            Rule::include => {
                let (mut words, _, comment) = self.pieces(pair);
                if let Some(path) = words.pop() {
                    self.tree.items.push(Item::Include {
                        path,
                        span,
                        comment,
                    });
                }
            }
            Rule::constant => {
                let (mut words, parts, comment) = self.pieces(pair);
                if let Some(name) = words.pop() {
                    self.tree.items.push(Item::Constant {
                        name,
                        parts,
                        span,
                        comment,
                    });
                }
            }
            Rule::block => self.block(pair),
            Rule::lost => {
                for part in pair.into_inner() {
                    let span = self.span(&part);
                    match part.as_rule() {
                        Rule::bad_head => self.fault(span, part.as_str(), None),
                        Rule::fault => self.fault(span, part.as_str(), Some(String::new())),
                        _ => {}
                    }
                }
            }
            Rule::fault => self.fault(span, pair.as_str(), None),
            _ => {}
        }
    }

    fn block(&mut self, pair: Pair<Rule>) {
        let whole = self.span(&pair);
        let mut head = None;
        let mut lines = Vec::new();
        let (mut closed, mut close_comment) = (false, None);
        for part in pair.into_inner() {
            let span = self.span(&part);
            match part.as_rule() {
                Rule::head => {
                    let (words, _, comment) = self.pieces(part);
                    head = Some((words, comment, span));
                }
                Rule::entry => {
                    let (mut words, parts, comment) = self.pieces(part);
                    if let Some(name) = words.pop() {
                        lines.push(Line::Entry(Entry {
                            name,
                            parts,
                            span,
                            comment,
                        }));
                    }
                }
                Rule::blank => {
                    let comment = part.into_inner().find(|p| p.as_rule() == Rule::comment);
                    lines.push(Line::Blank(comment.map(text_of)));
                }
                Rule::fault => {
                    let inside = head
                        .as_ref()
                        .and_then(|(words, _, _)| words.first())
                        .map(|w| w.text.clone());
                    self.fault(span, part.as_str(), inside);
                }
                Rule::close => {
                    closed = true;
                    close_comment = part
                        .into_inner()
                        .find(|p| p.as_rule() == Rule::comment)
                        .map(text_of);
                }
                _ => {}
            }
        }
        let Some((words, comment, span)) = head else {
            return;
        };
        let mut words = words.into_iter();
        let Some(kind) = words.next() else { return };
        if !closed {
            let fault = Fault::new(span.clone(), "this block is not closed")
                .help("add a line with `}` at its end");
            self.tree.faults.push(fault);
        }
        let block = Block {
            kind,
            name: words.next(),
            lines,
            span,
            whole,
            comment,
            close_comment,
        };
        self.tree.items.push(Item::Block(block));
    }

    /// Words and strings that stand by themselves, parts, and the comment at the end.
    fn pieces(&self, pair: Pair<Rule>) -> (Vec<Word>, Vec<Part>, Option<String>) {
        let (mut words, mut parts, mut comment) = (Vec::new(), Vec::new(), None);
        for piece in pair.into_inner() {
            match piece.as_rule() {
                Rule::word | Rule::string => words.push(self.word(piece)),
                Rule::part => {
                    // Comments within a list move to its end, as its lines are joined.
                    let (inner, comments): (Vec<_>, Vec<_>) = piece
                        .into_inner()
                        .partition(|p| p.as_rule() != Rule::comment);
                    parts.push(inner.into_iter().map(|p| self.word(p)).collect());
                    for c in comments {
                        join(&mut comment, text_of(c));
                    }
                }
                Rule::comment => join(&mut comment, text_of(piece)),
                _ => {}
            }
        }
        (words, parts, comment)
    }

    fn word(&self, pair: Pair<Rule>) -> Word {
        let span = self.span(&pair);
        let raw = pair.as_str();
        match pair.as_rule() {
            Rule::string => {
                let inner = raw.get(1..raw.len() - 1).unwrap_or_default();
                let mut text = String::with_capacity(inner.len());
                let mut escaped = false;
                for c in inner.chars() {
                    escaped = c == '\\' && !escaped;
                    if !escaped {
                        text.push(c);
                    }
                }
                Word {
                    text,
                    quoted: true,
                    span,
                }
            }
            _ => Word {
                text: raw.to_string(),
                quoted: false,
                span,
            },
        }
    }

    /// The place of a pair without the end of its line.
    fn span(&self, pair: &Pair<Rule>) -> Span {
        let s = pair.as_span();
        let text = pair.as_str();
        let text = match pair.as_rule() {
            Rule::head | Rule::entry | Rule::include | Rule::constant | Rule::fault => {
                let code = text.find('#').filter(|_| pair.as_rule() != Rule::fault);
                text.get(
                    ..code
                        .filter(|at| !text[..*at].contains('"'))
                        .unwrap_or(text.len()),
                )
                .unwrap_or(text)
            }
            _ => text,
        };
        Span {
            file: self.file,
            start: s.start(),
            end: s.start() + text.trim_end().len(),
        }
    }

    /// Says what is wrong with a line that fits nothing.
    fn fault(&mut self, span: Span, text: &str, inside: Option<String>) {
        let line = text.trim();
        let at = |offset: usize, len: usize| Span {
            start: span.start + offset,
            end: (span.start + offset + len).min(span.end.max(span.start + offset)),
            ..span.clone()
        };
        let control = text
            .char_indices()
            .find(|(_, c)| c.is_control() && !matches!(c, '\n' | '\r' | '\t'));
        let fault = if let Some((offset, c)) = control {
            let text = format!(
                "a control character (U+{:04X}) can't stand in a plan",
                u32::from(c)
            );
            Fault::new(at(offset, c.len_utf8()), text)
        } else if let Some(offset) = open_quote(text) {
            Fault::new(
                at(offset, text.trim_end().len() - offset),
                "this string is not closed",
            )
            .help("a string ends with `\"` on its own line; within it write `\\\"` and `\\\\`")
        } else if let Some(offset) = bad_escape(text) {
            Fault::new(
                at(offset, 2),
                "in a string `\\` stands before `\"` or another `\\` only",
            )
        } else if line.starts_with('}') && line.len() == 1 {
            Fault::new(span, "this `}` closes no block")
        } else if line.starts_with('}') {
            Fault::new(span, "nothing can follow the `}` of a block on its line")
        } else if line.starts_with("include") {
            Fault::new(span, "an include names one file in quotes").help("include \"pools.plan\"")
        } else if line.starts_with("let ") || line == "let" {
            Fault::new(span, "a constant has a name, `=` and a value").help("let far = 40ms")
        } else if line.contains('{') && line.contains('}') {
            Fault::new(span, "a block's entries stand on lines of their own")
        } else if line.starts_with('{') {
            Fault::new(span, "a block begins with its kind").help("pool big {")
        } else if line.contains('{') && inside.is_none() {
            Fault::new(span, "a block's head is its kind, its name and `{`").help("pool big {")
        } else if line.contains(",,") || line.ends_with(',') || line.starts_with(',') {
            Fault::new(span, "a comma stands between two values")
        } else if line.contains('=') {
            Fault::new(span, "`=` stands in constants only")
                .help("an entry is its name and its values: `limit 20s`")
        } else if inside.is_some() {
            Fault::new(span, "this is no entry")
                .help("an entry is its name and its values: `limit 20s`")
        } else {
            Fault::new(span, "this stands in no block").help(
                "a plan has includes, constants and blocks: `include \"...\"`, `let a = ...`, `pool big {`",
            )
        };
        self.tree.faults.push(fault);
    }
}

fn text_of(pair: Pair<Rule>) -> String {
    pair.as_str().trim_end().to_string()
}

fn join(comment: &mut Option<String>, more: String) {
    *comment = Some(match comment.take() {
        Some(first) => format!("{first} {more}"),
        None => more,
    });
}

/// Where a string begins that does not end on its line.
fn open_quote(text: &str) -> Option<usize> {
    let (mut open, mut escaped) = (None, false);
    for (at, c) in text.char_indices() {
        match (c, open) {
            ('#', None) => return None,
            ('"', None) => open = Some(at),
            ('"', Some(_)) if !escaped => open = None,
            _ => {}
        }
        escaped = c == '\\' && !escaped && open.is_some();
    }
    open
}

/// Where a string has a backslash before something else than a quote or another one.
fn bad_escape(text: &str) -> Option<usize> {
    let (mut inside, mut escaped) = (false, None);
    for (at, c) in text.char_indices() {
        match (inside, escaped.take()) {
            (true, Some(before)) if !matches!(c, '"' | '\\') => return Some(before),
            (true, Some(_)) => {}
            (true, None) if c == '\\' => escaped = Some(at),
            (_, None) if c == '"' => inside = !inside,
            _ => {}
        }
    }
    None
}
