//! Formats a plan file in its canonical form.
//!
//! Entries are indented by two spaces, words are separated by one space, blocks by one blank line, and long lists are
//! wrapped after a comma. Only white space and line breaks change; words and comments are preserved. Comments inside a
//! list move to the end of the entry.

use crate::diagnostic::Diagnostic;
use crate::files::FileId;
use crate::syntax::{self, Block, BlockItem, Item, List, Tree, Word};

/// Maximum line width; longer lists are wrapped after a comma.
const MAX_COLUMNS: usize = 100;
const INDENT_COLUMNS: usize = 2;

/// Returns the text of a file in its canonical form.
///
/// # Errors
///
/// Returns the syntax errors of the file, if there are any; such a file is not formatted.
pub fn format(text: &str) -> Result<String, Vec<Diagnostic>> {
    let Tree { items, diagnostics } = syntax::parse(text, FileId(0));
    if !diagnostics.is_empty() {
        return Err(diagnostics);
    }
    let mut formatter = Formatter::default();
    for item in &items {
        formatter.print_item(item);
    }
    Ok(formatter.text)
}

#[derive(Default)]
struct Formatter {
    text: String,
    /// Whether a blank line is printed before the next line.
    needs_blank_line: bool,
    /// Whether the last printed line closes a block, so that a blank line must follow.
    is_after_block: bool,
}

impl Formatter {
    fn print_item(&mut self, item: &Item) {
        match item {
            Item::Blank(None) => self.request_blank_line(),
            Item::Blank(Some(comment)) => self.print_line(0, comment, &None),
            Item::Include { path, comment, .. } => {
                self.print_line(0, &format!("include {}", source_text(path)), comment)
            }
            Item::Constant {
                name,
                lists,
                comment,
                ..
            } => self.print_wrapped(0, &format!("let {} =", name.text), lists, comment),
            Item::Block(block) => self.print_block(block),
        }
    }

    fn request_blank_line(&mut self) {
        self.needs_blank_line = !self.text.is_empty() && !self.text.ends_with("{\n");
    }

    /// Prints one line, preceded by a blank line if one is due.
    fn print_line(&mut self, indent: usize, code: &str, comment: &Option<String>) {
        let follows_block = self.is_after_block && indent == 0 && code != "}";
        if self.needs_blank_line || follows_block {
            self.text.push('\n');
        }
        self.needs_blank_line = false;
        self.is_after_block = false;
        self.text += &" ".repeat(indent);
        self.text += code;
        if let Some(comment) = comment {
            self.text += "  ";
            self.text += comment;
        }
        self.text.push('\n');
    }

    fn print_block(&mut self, block: &Block) {
        // A blank line precedes each block, unless a comment is directly above it.
        let last_printed = self.text.lines().next_back();
        let follows_comment = last_printed.is_some_and(|last| last.starts_with('#'));
        self.needs_blank_line |= !self.text.is_empty() && !follows_comment;
        let kind = &block.kind.text;
        let head = match &block.name {
            Some(name) => format!("{kind} {} {{", source_text(name)),
            None => format!("{kind} {{"),
        };
        self.print_line(0, &head, &block.comment);
        for item in &block.items {
            match item {
                BlockItem::Blank(None) => self.request_blank_line(),
                BlockItem::Blank(Some(comment)) => self.print_line(INDENT_COLUMNS, comment, &None),
                BlockItem::Entry(entry) => {
                    let name = source_text(&entry.name);
                    self.print_wrapped(INDENT_COLUMNS, &name, &entry.lists, &entry.comment)
                }
            }
        }
        self.needs_blank_line = false;
        self.print_line(0, "}", &block.close_comment);
        self.is_after_block = true;
    }

    /// Prints a name with its values, wrapped after commas if the line is too long.
    fn print_wrapped(
        &mut self,
        indent: usize,
        name: &str,
        lists: &[List],
        comment: &Option<String>,
    ) {
        let mut code = name.to_string();
        let mut code_indent = indent;
        for list in lists {
            for (index, word) in list.iter().enumerate() {
                let comma = if index + 1 < list.len() { "," } else { "" };
                let next = format!("{}{comma}", source_text(word));
                let columns = code_indent + code.chars().count() + 1 + next.chars().count();
                if index > 0 && columns > MAX_COLUMNS {
                    self.print_line(code_indent, &code, &None);
                    code = next;
                    code_indent = indent + INDENT_COLUMNS;
                } else {
                    code = format!("{code} {next}");
                }
            }
        }
        self.print_line(code_indent, &code, comment);
    }
}

/// Returns a word as in the source, with quotes and escapes if it is quoted.
fn source_text(word: &Word) -> String {
    if !word.is_quoted {
        return word.text.clone();
    }
    let escaped = word.text.replace('\\', "\\\\").replace('"', "\\\"");
    format!("\"{escaped}\"")
}
