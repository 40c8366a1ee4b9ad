//! Defines the diagnostics of a plan and prints them with location, message, source line and suggestion.

mod render;

use crate::files::Span;

pub use render::{render, MAX_RENDERED_DIAGNOSTICS};

/// Maximum number of characters of a word that a message shows; longer words are truncated.
const MAX_WORD_CHARS: usize = 48;

/// An error in a plan, addressed to the author of the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Location of the error, shown first.
    pub span: Span,
    /// Error message, one line.
    pub text: String,
    /// Short text printed beside the marked span.
    pub label: Option<String>,
    /// Further locations that help to understand the error, such as an earlier definition.
    pub related: Vec<RelatedSpan>,
    /// Suggestion for correcting the error, such as the nearest known name or an example.
    pub help: Option<String>,
}

/// A secondary location of a diagnostic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelatedSpan {
    /// Location that is marked.
    pub span: Span,
    /// Text printed beside it that states how it relates to the error.
    pub label: String,
}

impl Diagnostic {
    /// Creates a diagnostic with only a location and a message.
    pub fn new(span: Span, text: impl Into<String>) -> Self {
        Diagnostic {
            span,
            text: text.into(),
            label: None,
            related: Vec::new(),
            help: None,
        }
    }

    /// Sets the text beside the marked span.
    pub fn label(mut self, text: impl Into<String>) -> Self {
        self.label = Some(text.into());
        self
    }

    /// Adds a secondary location with the text to print beside it.
    pub fn related(mut self, span: Span, label: impl Into<String>) -> Self {
        let label = label.into();
        self.related.push(RelatedSpan { span, label });
        self
    }

    /// Sets the suggestion for correcting the error.
    pub fn help(mut self, text: impl Into<String>) -> Self {
        self.help = Some(text.into());
        self
    }

    /// Suggests the known name that is most similar to a misspelt word, if there is one; see [`nearest`].
    pub fn suggest_nearest<'a>(self, word: &str, names: impl IntoIterator<Item = &'a str>) -> Self {
        match nearest(word, names) {
            Some(name) => self.help(format!("did you mean `{name}`?")),
            None => self,
        }
    }
}

/// Returns the name with the smallest edit distance to `word`, if the distance is at most one plus a quarter of the
/// name's length, so that `word` may be a misspelling of it.
pub fn nearest<'a>(word: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let word: String = word.chars().take(MAX_WORD_CHARS).collect();
    let distance = |name: &str| strsim::damerau_levenshtein(&word, name);
    let near = names
        .into_iter()
        .filter(|name| distance(name) <= 1 + name.chars().count() / 4);
    // At equal distance the longer name is preferred, because letters are omitted more often than added.
    near.min_by_key(|name| (distance(name), std::cmp::Reverse(name.len()), *name))
}

/// Returns a word as shown in messages, truncated after 48 characters.
pub fn truncated(word: &str) -> String {
    match word.char_indices().nth(MAX_WORD_CHARS) {
        Some((end, _)) => format!("{}...", &word[..end]),
        None => word.to_string(),
    }
}
