//! The one form of a file: two spaces of indent, one between words, an empty line between blocks, long lists broken
//! behind commas. Words stay as they were written, and so do comments; only what is around them changes.

use crate::fault::Fault;
use crate::files::FileId;
use crate::syntax::{self, Block, BlockItem, Item, Part, Tree, Word};

/// Columns that a line has at most, where it can be broken.
const WIDTH: usize = 100;

/// Prints a file in its one form.
///
/// # Errors
///
/// The lines that can't be read: what is not understood is not touched.
pub fn format(text: &str) -> Result<String, Vec<Fault>> {
    let Tree { items, faults } = syntax::parse(text, FileId(0));
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut out = Out::default();
    for item in &items {
        match item {
            Item::Blank(None) => out.empty(),
            Item::Blank(Some(comment)) => out.line(0, comment, &None),
            Item::Include { path, comment, .. } => {
                out.line(0, &format!("include {}", word(path)), comment)
            }
            Item::Constant {
                name,
                parts,
                comment,
                ..
            } => {
                out.wrapped(0, &format!("let {} =", name.text), parts, comment);
            }
            Item::Block(block) => out.block(block),
        }
    }
    Ok(out.end())
}

#[derive(Default)]
struct Out {
    text: String,
    /// An empty line is due before what comes next.
    gap: bool,
    /// What stands last is a block, which an empty line follows.
    after_block: bool,
}

impl Out {
    fn empty(&mut self) {
        self.gap = !self.text.is_empty() && !self.text.ends_with("{\n");
    }

    fn line(&mut self, indent: usize, text: &str, comment: &Option<String>) {
        if std::mem::take(&mut self.gap)
            || (std::mem::take(&mut self.after_block) && indent == 0 && text != "}")
        {
            self.text.push('\n');
        }
        self.after_block = false;
        self.text += &" ".repeat(indent);
        self.text += text;
        if let Some(comment) = comment {
            self.text += "  ";
            self.text += comment;
        }
        self.text.push('\n');
    }

    fn block(&mut self, block: &Block) {
        // An empty line before a block, save for a comment right above it.
        let follows_comment = self
            .text
            .lines()
            .next_back()
            .is_some_and(|line| line.starts_with('#'));
        self.gap |= !self.text.is_empty() && !follows_comment;
        let name = block
            .name
            .as_ref()
            .map_or(String::new(), |name| format!("{} ", word(name)));
        self.line(0, &format!("{} {name}{{", block.kind.text), &block.comment);
        for item in &block.items {
            match item {
                BlockItem::Blank(None) => self.empty(),
                BlockItem::Blank(Some(comment)) => self.line(2, comment, &None),
                BlockItem::Entry(entry) => {
                    self.wrapped(2, &word(&entry.name), &entry.parts, &entry.comment)
                }
            }
        }
        self.gap = false;
        self.line(0, "}", &block.close_comment);
        self.after_block = true;
    }

    /// A name with its parts, broken behind commas where it is too long.
    fn wrapped(&mut self, indent: usize, name: &str, parts: &[Part], comment: &Option<String>) {
        let mut line = name.to_string();
        let mut indent = indent;
        let deeper = indent + 2;
        for part in parts {
            for (n, w) in part.iter().enumerate() {
                let comma = if n + 1 < part.len() { "," } else { "" };
                let next = format!("{}{comma}", word(w));
                let full = indent + line.chars().count() + 1 + next.chars().count() > WIDTH;
                if n > 0 && full {
                    self.line(indent, &line, &None);
                    (line, indent) = (next, deeper);
                } else {
                    line = format!("{line} {next}");
                }
            }
        }
        self.line(indent, &line, comment);
    }

    fn end(self) -> String {
        self.text
    }
}

fn word(word: &Word) -> String {
    match word.quoted {
        true => format!(
            "\"{}\"",
            word.text.replace('\\', "\\\\").replace('"', "\\\"")
        ),
        false => word.text.clone(),
    }
}
