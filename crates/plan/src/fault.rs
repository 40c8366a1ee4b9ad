//! What is wrong with a plan, where, and how it is told: place, cause, the line, a suggestion.

use crate::source::{Files, Span};
use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFiles;
use codespan_reporting::term;
use std::fmt::Write;

/// A line longer than this is not shown.
const LONGEST_LINE: usize = 300;
/// A word longer than this is cut in a message.
const LONGEST_WORD: usize = 48;
/// Faults told in full; of more the number is told.
pub const MOST_SHOWN: usize = 100;

/// A fault of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub span: Span,
    pub text: String,
    pub label: Option<String>,
    /// Other places that matter, and why.
    pub others: Vec<(Span, String)>,
    pub help: Option<String>,
}

impl Fault {
    pub fn new(span: Span, text: impl Into<String>) -> Self {
        Fault {
            span,
            text: text.into(),
            label: None,
            others: Vec::new(),
            help: None,
        }
    }

    /// What stands beside the marked place.
    pub fn label(mut self, text: impl Into<String>) -> Self {
        self.label = Some(text.into());
        self
    }

    pub fn other(mut self, span: Span, text: impl Into<String>) -> Self {
        self.others.push((span, text.into()));
        self
    }

    pub fn help(mut self, text: impl Into<String>) -> Self {
        self.help = Some(text.into());
        self
    }

    /// Suggests the name nearest to a misspelt one.
    pub fn near<'a>(self, word: &str, names: impl IntoIterator<Item = &'a str>) -> Self {
        match nearest(word, names) {
            Some(name) => self.help(format!("did you mean `{name}`?")),
            None => self,
        }
    }
}

/// The name nearest to a word, if it is near enough for a slip of the pen.
pub fn nearest<'a>(word: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let short: String = word.chars().take(LONGEST_WORD).collect();
    let near =
        |name: &&str| strsim::damerau_levenshtein(&short, name) <= 1 + name.chars().count() / 4;
    let names = names.into_iter().filter(near);
    // Of two that are as near the longer: letters are left out more often than put in.
    names.min_by_key(|name| {
        (
            strsim::damerau_levenshtein(&short, name),
            std::cmp::Reverse(name.len()),
            *name,
        )
    })
}

/// A word as messages show it, cut where it is very long.
pub fn shown(word: &str) -> String {
    match word.char_indices().nth(LONGEST_WORD) {
        Some((at, _)) => format!("{}...", &word[..at]),
        None => word.to_string(),
    }
}

/// All faults as text, in the order of their places.
pub fn render(files: &Files, faults: &[Fault]) -> String {
    let mut sorted: Vec<&Fault> = faults.iter().collect();
    sorted.sort_by(|a, b| (&a.span, &a.text).cmp(&(&b.span, &b.text)));
    let mut shown_files = SimpleFiles::new();
    for file in files.all() {
        shown_files.add(&file.name, &file.text);
    }
    let mut out = String::new();
    for fault in sorted.iter().take(MOST_SHOWN) {
        out += &one(files, &shown_files, fault);
    }
    if sorted.len() > MOST_SHOWN {
        // Writing to a string does not fail.
        let _ = writeln!(out, "and {} more", sorted.len() - MOST_SHOWN);
    }
    out
}

fn one(files: &Files, shown_files: &SimpleFiles<&String, &String>, fault: &Fault) -> String {
    let notes = notes(files, fault);
    let places = || std::iter::once(&fault.span).chain(fault.others.iter().map(|(span, _)| span));
    let long = |span: &Span| {
        let Some(file) = files.get(span.file) else {
            return true;
        };
        let (first, last) = (file.place(span.start).0, file.place(span.end).0);
        let unfit = |line: &str| {
            line.len() > LONGEST_LINE || line.contains(|c: char| c.is_control() && c != '\t')
        };
        last - first > 3 || (first..=last).any(|line| unfit(file.line(line)))
    };
    let mut labels = vec![label(
        Label::primary,
        &fault.span,
        fault.label.as_deref().unwrap_or_default(),
    )];
    labels.extend(
        fault
            .others
            .iter()
            .map(|(span, text)| label(Label::secondary, span, text)),
    );
    let diagnostic = Diagnostic::error()
        .with_message(&fault.text)
        .with_labels(labels)
        .with_notes(notes.clone());
    let config = term::Config::default();
    let mut out = String::new();
    let shown = !places().any(long);
    match shown && term::emit_to_string(&mut out, &config, shown_files, &diagnostic).is_ok() {
        true => out,
        false => plain(files, fault, &notes),
    }
}

fn label(
    kind: fn(usize, std::ops::Range<usize>) -> Label<usize>,
    span: &Span,
    text: &str,
) -> Label<usize> {
    kind(span.file.0, span.range()).with_message(text)
}

/// Without the lines, which are too long to be shown or would disturb a terminal.
fn plain(files: &Files, fault: &Fault, notes: &[String]) -> String {
    let mut out = format!("error: {}\n", fault.text);
    let others = fault
        .others
        .iter()
        .map(|(span, text)| (span, text.as_str()));
    for (span, text) in
        std::iter::once((&fault.span, fault.label.as_deref().unwrap_or_default())).chain(others)
    {
        let Some(file) = files.get(span.file) else {
            continue;
        };
        let (line, column) = file.place(span.start);
        let _ = writeln!(out, "  --> {}:{line}:{column} {text}", file.name);
    }
    for note in notes {
        let _ = writeln!(out, "  = {note}");
    }
    out.push('\n');
    out
}

/// The suggestion, and the chain of includes where the place is in an included file.
fn notes(files: &Files, fault: &Fault) -> Vec<String> {
    let mut notes: Vec<String> = fault
        .help
        .iter()
        .map(|help| format!("help: {help}"))
        .collect();
    let mut at = files
        .get(fault.span.file)
        .and_then(|f| f.included_at.as_ref());
    let mut chain = Vec::new();
    while let Some(span) = at {
        chain.push(files.at(span));
        at = files.get(span.file).and_then(|f| f.included_at.as_ref());
    }
    if !chain.is_empty() {
        notes.push(format!("included at {}", chain.join(", included at ")));
    }
    notes
}
