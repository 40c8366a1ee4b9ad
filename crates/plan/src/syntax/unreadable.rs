//! Diagnostics of lines that no rule of the grammar accepts.

use crate::diagnostic::Diagnostic;
use crate::files::Span;

/// Where an unreadable line stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Context {
    /// Outside of blocks.
    File,
    /// In a block.
    Block,
}

/// The diagnostic of an unreadable line, whose text `span` holds.
pub(super) fn diagnostic(span: Span, text: &str, context: Context) -> Diagnostic {
    bad_character(&span, text)
        .or_else(|| bad_string(&span, text))
        .unwrap_or_else(|| misplaced(span, text.trim(), context))
}

/// A part of a span, from an offset in it.
fn within(span: &Span, offset: usize, length: usize) -> Span {
    let start = span.start + offset;
    Span {
        file: span.file,
        start,
        end: (start + length).min(span.end.max(start)),
    }
}

fn bad_character(span: &Span, text: &str) -> Option<Diagnostic> {
    let is_forbidden = |c: char| c.is_control() && !matches!(c, '\n' | '\r' | '\t');
    let (offset, character) = text.char_indices().find(|(_, c)| is_forbidden(*c))?;
    let text = format!(
        "a control character (U+{:04X}) can't stand in a plan",
        u32::from(character)
    );
    let place = within(span, offset, character.len_utf8());
    Some(Diagnostic::new(place, text))
}

fn bad_string(span: &Span, text: &str) -> Option<Diagnostic> {
    if let Some(offset) = unclosed_quote(text) {
        let place = within(span, offset, text.trim_end().len() - offset);
        let help = "a string ends with `\"` on its own line; within it write `\\\"` and `\\\\`";
        return Some(Diagnostic::new(place, "this string is not closed").help(help));
    }
    let offset = bad_escape(text)?;
    let text = "in a string `\\` stands before `\"` or another `\\` only";
    Some(Diagnostic::new(within(span, offset, 2), text))
}

/// The diagnostic of a line whose characters and strings are valid. The first case that fits decides.
fn misplaced(span: Span, line: &str, context: Context) -> Diagnostic {
    const ENTRY_HELP: &str = "an entry is its name and its values: `limit 20s`";
    const FILE_HELP: &str =
        "a plan has includes, constants and blocks: `include \"...\"`, `let a = ...`, `pool big {`";
    let in_block = context == Context::Block;
    let has_bad_comma = line.contains(",,") || line.ends_with(',') || line.starts_with(',');
    let diagnostic = |text: &str| Diagnostic::new(span, text);
    if line == "}" {
        diagnostic("this `}` closes no block")
    } else if line.starts_with('}') {
        diagnostic("nothing can follow the `}` of a block on its line")
    } else if line.starts_with("include") {
        diagnostic("an include names one file in quotes").help("include \"pools.plan\"")
    } else if line.starts_with("let ") || line == "let" {
        diagnostic("a constant has a name, `=` and a value").help("let far = 40ms")
    } else if line.contains('{') && line.contains('}') {
        diagnostic("a block's entries stand on lines of their own")
    } else if line.starts_with('{') {
        diagnostic("a block begins with its kind").help("pool big {")
    } else if line.contains('{') && !in_block {
        diagnostic("a block's head is its kind, its name and `{`").help("pool big {")
    } else if has_bad_comma {
        diagnostic("a comma stands between two values")
    } else if line.contains('=') {
        diagnostic("`=` stands in constants only").help(ENTRY_HELP)
    } else if in_block {
        diagnostic("this is no entry").help(ENTRY_HELP)
    } else {
        diagnostic("this stands in no block").help(FILE_HELP)
    }
}

/// The offset of a quote that opens a string which does not end on its line.
fn unclosed_quote(text: &str) -> Option<usize> {
    let mut opened_at = None;
    let mut is_escaped = false;
    for (offset, c) in text.char_indices() {
        match (c, opened_at) {
            ('#', None) => return None,
            ('"', None) => opened_at = Some(offset),
            ('"', Some(_)) if !is_escaped => opened_at = None,
            _ => {}
        }
        is_escaped = c == '\\' && !is_escaped && opened_at.is_some();
    }
    opened_at
}

/// The offset of a backslash in a string that stands before something else than a quote or a backslash.
fn bad_escape(text: &str) -> Option<usize> {
    let mut in_string = false;
    let mut escape_at = None;
    for (offset, c) in text.char_indices() {
        match (in_string, escape_at.take()) {
            (true, Some(escape)) if !matches!(c, '"' | '\\') => return Some(escape),
            (true, Some(_)) => {}
            (true, None) if c == '\\' => escape_at = Some(offset),
            (_, None) if c == '"' => in_string = !in_string,
            _ => {}
        }
    }
    None
}
