//! Renders diagnostics as text, with the affected lines of the plan.

use super::Diagnostic;
use crate::files::{File, Files, Position, Span};
use codespan_reporting::diagnostic as codespan;
use codespan_reporting::files::SimpleFiles;
use codespan_reporting::term;
use std::fmt::Write;

/// Maximum number of diagnostics that are printed; of the others only the number is printed.
pub const MAX_RENDERED_DIAGNOSTICS: usize = 100;
/// Maximum length in bytes of a source line that is printed. Diagnostics with longer lines show no source.
const MAX_LINE_BYTES: usize = 300;
/// Maximum number of line breaks in a span. Diagnostics with longer spans show no source.
const MAX_LINE_BREAKS: usize = 3;

/// Renders all diagnostics, sorted by location.
pub fn render(files: &Files, diagnostics: &[Diagnostic]) -> String {
    let mut sorted: Vec<&Diagnostic> = diagnostics.iter().collect();
    sorted.sort_by(|a, b| (&a.span, &a.text).cmp(&(&b.span, &b.text)));
    let mut source_texts = SimpleFiles::new();
    for file in files.all() {
        source_texts.add(&file.name, &file.text);
    }
    let mut out = String::new();
    for diagnostic in sorted.iter().take(MAX_RENDERED_DIAGNOSTICS) {
        out += &render_one(files, &source_texts, diagnostic);
    }
    if sorted.len() > MAX_RENDERED_DIAGNOSTICS {
        // Writing to a `String` never fails.
        let _ = writeln!(out, "and {} more", sorted.len() - MAX_RENDERED_DIAGNOSTICS);
    }
    out
}

fn render_one(
    files: &Files,
    source_texts: &SimpleFiles<&String, &String>,
    diagnostic: &Diagnostic,
) -> String {
    let notes = notes(files, diagnostic);
    let printable = places(diagnostic).all(|(span, _)| is_printable(files, span));
    if !printable {
        return without_source(files, diagnostic, &notes);
    }
    let mut out = String::new();
    let config = term::Config::default();
    let printed = to_codespan(diagnostic, notes.clone());
    match term::emit_to_string(&mut out, &config, source_texts, &printed) {
        Ok(()) => out,
        Err(_) => without_source(files, diagnostic, &notes),
    }
}

fn to_codespan(diagnostic: &Diagnostic, notes: Vec<String>) -> codespan::Diagnostic<usize> {
    let labels = places(diagnostic).enumerate().map(|(index, (span, text))| {
        let label = match index {
            0 => codespan::Label::primary(span.file.0, span.range()),
            _ => codespan::Label::secondary(span.file.0, span.range()),
        };
        label.with_message(text)
    });
    codespan::Diagnostic::error()
        .with_message(&diagnostic.text)
        .with_labels(labels.collect())
        .with_notes(notes)
}

/// Returns the location of the error and then the related ones, each with the text beside it.
fn places(diagnostic: &Diagnostic) -> impl Iterator<Item = (&Span, &str)> {
    let label = diagnostic.label.as_deref().unwrap_or_default();
    let related = diagnostic.related.iter();
    std::iter::once((&diagnostic.span, label))
        .chain(related.map(|place| (&place.span, place.label.as_str())))
}

/// Returns whether the source lines of a span can be printed: few and short enough, and without control characters,
/// which could disturb a terminal.
fn is_printable(files: &Files, span: &Span) -> bool {
    let Some(file) = files.get(span.file) else {
        return false;
    };
    let first = file.position(span.start).line;
    let last = file.position(span.end).line;
    last - first <= MAX_LINE_BREAKS && (first..=last).all(|line| is_printable_line(file, line))
}

fn is_printable_line(file: &File, number: usize) -> bool {
    let line = file.line(number);
    let is_forbidden = |c: char| c.is_control() && c != '\t';
    line.len() <= MAX_LINE_BYTES && !line.contains(is_forbidden)
}

fn without_source(files: &Files, diagnostic: &Diagnostic, notes: &[String]) -> String {
    let mut out = format!("error: {}\n", diagnostic.text);
    for (span, text) in places(diagnostic) {
        let Some(file) = files.get(span.file) else {
            continue;
        };
        let Position { line, column } = file.position(span.start);
        let _ = writeln!(out, "  --> {}:{line}:{column} {text}", file.name);
    }
    for note in notes {
        let _ = writeln!(out, "  = {note}");
    }
    out.push('\n');
    out
}

/// Returns the suggestion and, for an error in an included file, the chain of includes that leads to it.
fn notes(files: &Files, diagnostic: &Diagnostic) -> Vec<String> {
    let help = diagnostic.help.iter().map(|help| format!("help: {help}"));
    let mut notes: Vec<String> = help.collect();
    let included_at = |span: &Span| {
        let file = files.get(span.file);
        file.and_then(|file| file.included_at.as_ref())
    };
    let includes = std::iter::successors(included_at(&diagnostic.span), |span| included_at(span));
    let chain: Vec<String> = includes.map(|span| files.location(span)).collect();
    if !chain.is_empty() {
        notes.push(format!("included at {}", chain.join(", included at ")));
    }
    notes
}
