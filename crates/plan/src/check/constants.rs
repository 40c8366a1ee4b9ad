//! Collects the constants of a plan and expands references to them.

use crate::diagnostic::{truncated, Diagnostic};
use crate::files::Span;
use crate::quantity;
use crate::syntax::{List, Word};
use std::collections::HashMap;

/// Maximum length of a chain of constants that refer to one another. The limit also ends the expansion of cycles.
const MAX_DEPTH: usize = 32;
/// Maximum number of values of one entry after expansion. The limit stops constants that multiply one another, for
/// example ten constants of ten references each.
const MAX_VALUES: usize = 100_000;

/// The constants of a plan.
#[derive(Default)]
pub(super) struct Constants {
    by_name: HashMap<String, Constant>,
}

struct Constant {
    values: List,
    /// Span of the name in the definition.
    span: Span,
}

/// A word after expansion of constants. Its span is that of the word in the entry, not in the constant.
#[derive(Clone)]
pub(super) struct ExpandedWord {
    pub(super) word: Word,
    /// Span of the word in the constant it comes from; `None` if the entry contains the word itself.
    pub(super) defined_at: Option<Span>,
}

impl Constants {
    /// Adds a constant.
    ///
    /// # Errors
    ///
    /// Fails if the name is invalid or already defined, or if the definition is not one value or one list.
    pub(super) fn define(
        &mut self,
        name: &Word,
        lists: &[List],
        span: &Span,
    ) -> Result<(), Diagnostic> {
        if !quantity::is_name(&name.text) || name.is_quoted {
            let text = format!("invalid constant name `{}`", truncated(&name.text));
            return Err(Diagnostic::new(name.span.clone(), text));
        }
        let [values] = lists else {
            let text = "a constant must be one value or a comma-separated list";
            let diagnostic = Diagnostic::new(span.clone(), text);
            return Err(diagnostic.help("for example: `let houses = 10.1.0.0/16, 10.2.0.0/16`"));
        };
        if let Some(first) = self.by_name.get(&name.text) {
            let text = format!("duplicate constant `{}`", name.text);
            let diagnostic = Diagnostic::new(name.span.clone(), text);
            return Err(diagnostic.related(first.span.clone(), "first defined here"));
        }
        let constant = Constant {
            values: values.clone(),
            span: name.span.clone(),
        };
        self.by_name.insert(name.text.clone(), constant);
        Ok(())
    }

    /// Replaces each reference `$name` in a list of words by the values of the constant.
    ///
    /// # Errors
    ///
    /// Fails if a constant is unknown or the expansion exceeds [`MAX_DEPTH`] or [`MAX_VALUES`].
    pub(super) fn expand(&self, list: &[Word]) -> Result<Vec<ExpandedWord>, Diagnostic> {
        let mut expansion = Expansion {
            constants: self,
            words: Vec::new(),
        };
        for word in list {
            expansion.add(word, word, 0)?;
        }
        Ok(expansion.words)
    }
}

struct Expansion<'a> {
    constants: &'a Constants,
    words: Vec<ExpandedWord>,
}

impl<'a> Expansion<'a> {
    /// Appends a word, expanded if it is a reference. `site` is the word of the entry from which this word was reached
    /// through `depth` constants.
    fn add(&mut self, word: &Word, site: &Word, depth: usize) -> Result<(), Diagnostic> {
        let Some(name) = word.text.strip_prefix('$').filter(|_| !word.is_quoted) else {
            self.words.push(ExpandedWord {
                word: Word {
                    span: site.span.clone(),
                    ..word.clone()
                },
                defined_at: (depth > 0).then(|| word.span.clone()),
            });
            return Ok(());
        };
        let constant = self.constant(name, site, depth)?;
        for inner in &constant.values {
            self.add(inner, site, depth + 1)?;
        }
        Ok(())
    }

    /// Looks up a constant that is referred to at nesting depth `depth`; errors are reported at the word `site`.
    fn constant(&self, name: &str, site: &Word, depth: usize) -> Result<&'a Constant, Diagnostic> {
        let constants = &self.constants.by_name;
        let Some(constant) = constants.get(name) else {
            let text = format!("unknown constant `{}`", truncated(name));
            let diagnostic = Diagnostic::new(site.span.clone(), text);
            return Err(diagnostic.suggest_nearest(name, constants.keys().map(String::as_str)));
        };
        let error = |text: String| {
            let diagnostic = Diagnostic::new(site.span.clone(), text);
            Err(diagnostic.related(constant.span.clone(), "the constant is defined here"))
        };
        if depth >= MAX_DEPTH {
            let name = truncated(name);
            return error(format!(
                "cannot expand constant `{name}`: constants refer to one another in a cycle or more than {MAX_DEPTH} deep"
            ));
        }
        if self.words.len() > MAX_VALUES {
            return error(format!(
                "entry has more than {MAX_VALUES} values after its constants are expanded"
            ));
        }
        Ok(constant)
    }
}
