//! Diagnostics of a plan, and how they are printed: place, cause, the line, a suggestion.

mod render;

use crate::files::Span;

pub use render::{render, MAX_RENDERED_DIAGNOSTICS};

/// Characters of a word that a message shows; a longer one is cut.
const MAX_WORD_CHARS: usize = 48;

/// An error in a plan, for those who write it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where it is.
    pub span: Span,
    /// What is wrong.
    pub text: String,
    /// A short text beside the marked place.
    pub label: Option<String>,
    /// Other places that matter.
    pub related: Vec<RelatedPlace>,
    /// What to do about it.
    pub help: Option<String>,
}

/// A place that helps to understand a diagnostic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelatedPlace {
    /// Where it is.
    pub span: Span,
    /// Why it matters.
    pub reason: String,
}

impl Diagnostic {
    /// An error at a place.
    pub fn new(span: Span, text: impl Into<String>) -> Self {
        Diagnostic {
            span,
            text: text.into(),
            label: None,
            related: Vec::new(),
            help: None,
        }
    }

    /// Sets the text beside the marked place.
    pub fn label(mut self, text: impl Into<String>) -> Self {
        self.label = Some(text.into());
        self
    }

    /// Adds another place, with the reason why it matters.
    pub fn related(mut self, span: Span, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        self.related.push(RelatedPlace { span, reason });
        self
    }

    /// Sets the suggestion.
    pub fn help(mut self, text: impl Into<String>) -> Self {
        self.help = Some(text.into());
        self
    }

    /// Suggests the name nearest to a misspelt word, if one is near enough.
    pub fn suggest_nearest<'a>(self, word: &str, names: impl IntoIterator<Item = &'a str>) -> Self {
        match nearest(word, names) {
            Some(name) => self.help(format!("did you mean `{name}`?")),
            None => self,
        }
    }
}

/// The name nearest to a word by edit distance, if it is near enough to be a misspelling.
pub fn nearest<'a>(word: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let word: String = word.chars().take(MAX_WORD_CHARS).collect();
    let distance = |name: &str| strsim::damerau_levenshtein(&word, name);
    let near = names
        .into_iter()
        .filter(|name| distance(name) <= 1 + name.chars().count() / 4);
    // Of two equally near names the longer one: letters are left out more often than put in.
    near.min_by_key(|name| (distance(name), std::cmp::Reverse(name.len()), *name))
}

/// A word as messages show it, cut where it is very long.
pub fn truncated(word: &str) -> String {
    match word.char_indices().nth(MAX_WORD_CHARS) {
        Some((end, _)) => format!("{}...", &word[..end]),
        None => word.to_string(),
    }
}
