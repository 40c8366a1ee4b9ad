//! Finds the most likely cause of an error in a line that matches no rule of the grammar.

use crate::diagnostic::Diagnostic;
use crate::files::Span;

/// Location of an invalid line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Context {
    /// Outside all blocks.
    File,
    /// Inside a block.
    Block,
}

/// Returns the diagnostic for an invalid line with the given span and text.
pub(super) fn diagnostic(span: Span, text: &str, context: Context) -> Diagnostic {
    invalid_character(&span, text)
        .or_else(|| invalid_string(&span, text))
        .unwrap_or_else(|| unexpected_text(span, text.trim(), context))
}

/// Returns the part of a span that starts at an offset relative to its start.
fn within(span: &Span, offset: usize, length: usize) -> Span {
    let start = span.start + offset;
    Span {
        file: span.file,
        start,
        end: (start + length).min(span.end.max(start)),
    }
}

fn invalid_character(span: &Span, text: &str) -> Option<Diagnostic> {
    let is_forbidden = |c: char| c.is_control() && !matches!(c, '\n' | '\r' | '\t');
    let (offset, character) = text.char_indices().find(|(_, c)| is_forbidden(*c))?;
    let text = format!(
        "control character U+{:04X} is not allowed in a plan",
        u32::from(character)
    );
    let place = within(span, offset, character.len_utf8());
    Some(Diagnostic::new(place, text))
}

fn invalid_string(span: &Span, text: &str) -> Option<Diagnostic> {
    if let Some(offset) = unclosed_quote(text) {
        let place = within(span, offset, text.trim_end().len() - offset);
        let help = "close the string with `\"` on the same line; inside it, write `\\\"` for `\"` and `\\\\` for `\\`";
        return Some(Diagnostic::new(place, "unclosed string").help(help));
    }
    let offset = invalid_escape(text)?;
    let text = "invalid escape in string: `\\` can only precede `\"` or `\\`";
    Some(Diagnostic::new(within(span, offset, 2), text))
}

/// Returns the diagnostic for an invalid line whose characters and strings are valid. The first matching case decides.
fn unexpected_text(span: Span, line: &str, context: Context) -> Diagnostic {
    const ENTRY_HELP: &str = "an entry is a name followed by its values, for example `limit 20s`";
    const FILE_HELP: &str = "for example: `include \"...\"`, `let a = ...` or `pool big {`";
    let in_block = context == Context::Block;
    let has_extra_comma = line.contains(",,") || line.ends_with(',') || line.starts_with(',');
    let diagnostic = |text: &str| Diagnostic::new(span, text);
    if line == "}" {
        diagnostic("unmatched `}`")
    } else if line.starts_with('}') {
        diagnostic("unexpected text after the `}` of a block")
    } else if line.starts_with("include") {
        diagnostic("expected one quoted file name after `include`")
            .help("for example: `include \"pools.plan\"`")
    } else if line.starts_with("let ") || line == "let" {
        diagnostic("expected a name, `=` and a value after `let`")
            .help("for example: `let far = 40ms`")
    } else if line.contains('{') && line.contains('}') {
        diagnostic("each entry of a block must be on its own line")
    } else if line.starts_with('{') {
        diagnostic("expected a block kind before `{`").help("for example: `pool big {`")
    } else if line.contains('{') && !in_block {
        diagnostic("expected a block kind, a name and `{`").help("for example: `pool big {`")
    } else if has_extra_comma {
        diagnostic("expected a value before and after each comma")
    } else if line.contains('=') {
        diagnostic("unexpected `=` outside a constant").help(ENTRY_HELP)
    } else if in_block {
        diagnostic("expected an entry").help(ENTRY_HELP)
    } else {
        diagnostic("expected an include, a constant or a block").help(FILE_HELP)
    }
}

/// Returns the offset of the quote that opens an unclosed string.
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

/// Returns the offset of the first backslash in a string that is not followed by a quote or a backslash.
fn invalid_escape(text: &str) -> Option<usize> {
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
