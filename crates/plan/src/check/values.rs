//! Parses the values of an entry according to the shape that its kind requires.

use super::constants::{Constants, ExpandedWord};
use super::Spanned;
use crate::diagnostic::{truncated, Diagnostic};
use crate::quantity::{self, Value, ValueKind};
use crate::schema::{self, EntryKind, Shape};
use crate::syntax::{List, Word};

pub(super) struct ValueReader<'a> {
    entry: &'a EntryKind,
    /// Name of the entry as written in the plan, for the location of errors.
    name: &'a Word,
    constants: &'a Constants,
    diagnostics: &'a mut Vec<Diagnostic>,
}

impl<'a> ValueReader<'a> {
    pub(super) fn new(
        entry: &'a EntryKind,
        name: &'a Word,
        constants: &'a Constants,
        diagnostics: &'a mut Vec<Diagnostic>,
    ) -> Self {
        ValueReader {
            entry,
            name,
            constants,
            diagnostics,
        }
    }

    /// Returns the values of the entry, or `None` after an error, which is added to the diagnostics.
    pub(super) fn read(&mut self, lists: &[List]) -> Option<Vec<Spanned>> {
        let expanded = match self.expand(lists) {
            Ok(expanded) => expanded,
            Err(diagnostic) => return self.fail(diagnostic),
        };
        match self.entry.shape {
            Shape::Flag => self.read_flag(&expanded),
            Shape::One(kind) => {
                self.read_one(&expanded, |reader, word| reader.read_value(kind, word))
            }
            Shape::SettingsName(_) => self.read_one(&expanded, |reader, word| {
                reader.read_value(ValueKind::Name, word)
            }),
            Shape::Choice(words) => {
                self.read_one(&expanded, |reader, word| reader.read_choice(words, word))
            }
            Shape::Words(words) => {
                self.read_list(&expanded, |reader, word| reader.read_choice(words, word))
            }
            Shape::List(kind) => {
                self.read_list(&expanded, |reader, word| reader.read_value(kind, word))
            }
            Shape::BlockNames(_) | Shape::SettingsNames(_) => self
                .read_list(&expanded, |reader, word| {
                    reader.read_value(ValueKind::Name, word)
                }),
            Shape::Bucket { rate, burst } => self.read_bucket(rate, burst, &expanded),
            Shape::Effect => self.read_effect(&expanded),
        }
    }

    /// Expands the constants in all lists and stops at the first error.
    fn expand(&self, lists: &[List]) -> Result<Vec<Vec<ExpandedWord>>, Diagnostic> {
        let expanded = lists.iter().map(|list| self.constants.expand(list));
        expanded.collect()
    }

    fn fail<T>(&mut self, diagnostic: Diagnostic) -> Option<T> {
        self.diagnostics.push(diagnostic);
        None
    }

    /// Reports an error in a word. If the word comes from a constant, the diagnostic also marks it in the definition.
    fn fail_in<T>(&mut self, word: &ExpandedWord, diagnostic: Diagnostic) -> Option<T> {
        self.fail(match &word.defined_at {
            Some(defined_at) => diagnostic.related(defined_at.clone(), "value from this constant"),
            None => diagnostic,
        })
    }

    fn fail_missing<T>(&mut self) -> Option<T> {
        let text = format!("entry `{}` has no value", self.entry.name);
        let diagnostic = Diagnostic::new(self.name.span.clone(), text);
        self.fail(diagnostic.help(self.example()))
    }

    fn fail_at<T>(&mut self, word: &ExpandedWord, text: String) -> Option<T> {
        self.fail(Diagnostic::new(word.word.span.clone(), text))
    }

    /// Returns an example of the entry as a help text.
    fn example(&self) -> String {
        format!("for example: `{} {}`", self.entry.name, self.entry.example)
    }

    fn read_value(&mut self, kind: ValueKind, expanded: &ExpandedWord) -> Option<Spanned> {
        let word = &expanded.word;
        match quantity::parse(kind, word) {
            Ok(value) => Some(Spanned {
                value,
                span: word.span.clone(),
            }),
            Err(error) => self.fail_in(expanded, error.into_diagnostic(word.span.clone())),
        }
    }

    fn read_choice(
        &mut self,
        choices: &[&'static str],
        expanded: &ExpandedWord,
    ) -> Option<Spanned> {
        let word = &expanded.word;
        if !word.is_quoted && choices.contains(&word.text.as_str()) {
            return Some(Spanned {
                value: Value::Name(word.text.clone()),
                span: word.span.clone(),
            });
        }
        let text = format!(
            "invalid value `{}`: expected one of {} for entry `{}`",
            truncated(&word.text),
            choices.join(", "),
            self.entry.name
        );
        let diagnostic = Diagnostic::new(word.span.clone(), text);
        let diagnostic = diagnostic.suggest_nearest(&word.text, choices.iter().copied());
        self.fail_in(expanded, diagnostic)
    }

    fn read_flag(&mut self, lists: &[Vec<ExpandedWord>]) -> Option<Vec<Spanned>> {
        let Some(first) = lists.iter().flatten().next() else {
            return Some(Vec::new());
        };
        let name = self.entry.name;
        let word = truncated(&first.word.text);
        let text = match self.entry.example {
            "" => format!("entry `{name}` takes no value, found `{word}`"),
            example => format!("expected `{name} {example}`, found `{word}`"),
        };
        self.fail_at(first, text)
    }

    /// Parses exactly one value.
    fn read_one(
        &mut self,
        lists: &[Vec<ExpandedWord>],
        read: impl Fn(&mut Self, &ExpandedWord) -> Option<Spanned>,
    ) -> Option<Vec<Spanned>> {
        let words: Vec<&ExpandedWord> = lists.iter().flatten().collect();
        match words.as_slice() {
            [] => self.fail_missing(),
            [word] => Some(vec![read(self, word)?]),
            [_, second, ..] => {
                let text = format!(
                    "entry `{}` takes one value, found extra value `{}`",
                    self.entry.name,
                    truncated(&second.word.text)
                );
                self.fail_at(second, text)
            }
        }
    }

    /// Parses one list of values. Parsing continues after an invalid value, so that all errors are reported at once.
    fn read_list(
        &mut self,
        lists: &[Vec<ExpandedWord>],
        read: impl Fn(&mut Self, &ExpandedWord) -> Option<Spanned>,
    ) -> Option<Vec<Spanned>> {
        let Some((list, more)) = lists.split_first() else {
            return self.fail_missing();
        };
        if let Some(next) = more.iter().flatten().next() {
            let text = format!("expected a comma before `{}`", truncated(&next.word.text));
            return self.fail_at(next, text);
        }
        let values: Vec<Option<Spanned>> = list.iter().map(|word| read(self, word)).collect();
        values.into_iter().collect()
    }

    /// Parses `RATE` or `RATE burst AMOUNT`.
    fn read_bucket(
        &mut self,
        rate_kind: ValueKind,
        burst_kind: ValueKind,
        lists: &[Vec<ExpandedWord>],
    ) -> Option<Vec<Spanned>> {
        let single = |list: &Vec<ExpandedWord>| match list.as_slice() {
            [word] => Some(word.clone()),
            _ => None,
        };
        let words: Option<Vec<ExpandedWord>> = lists.iter().map(single).collect();
        match words.as_deref() {
            Some([]) => self.fail_missing(),
            Some([rate]) => Some(vec![self.read_value(rate_kind, rate)?]),
            Some([rate, keyword, burst]) if keyword.word.is_keyword("burst") => {
                let rate = self.read_value(rate_kind, rate);
                let burst = self.read_value(burst_kind, burst);
                Some(vec![rate?, burst?])
            }
            _ => {
                let text = format!(
                    "entry `{}` takes a rate, optionally followed by `burst` and an amount",
                    self.entry.name
                );
                let diagnostic = Diagnostic::new(self.name.span.clone(), text);
                self.fail(diagnostic.help(self.example()))
            }
        }
    }

    /// Parses a word of [`schema::EFFECTS`]; `referenced` is followed by a scope and a deduplication window.
    fn read_effect(&mut self, lists: &[Vec<ExpandedWord>]) -> Option<Vec<Spanned>> {
        let words: Vec<&ExpandedWord> = lists.iter().flatten().collect();
        let Some((first, more)) = words.split_first() else {
            return self.fail_missing();
        };
        let effect = self.read_choice(schema::EFFECTS, first)?;
        match (first.word.text.as_str(), more) {
            ("referenced", [scope, window]) => {
                let scope = self.read_choice(schema::EFFECT_SCOPES, scope);
                let window = self.read_value(ValueKind::Time, window);
                Some(vec![effect, scope?, window?])
            }
            ("referenced", _) => {
                let text = "`referenced` takes a scope and a deduplication window";
                let diagnostic = Diagnostic::new(self.name.span.clone(), text);
                self.fail(diagnostic.help("for example: `effect referenced zone 30s`"))
            }
            (word, [next, ..]) => {
                let next_word = truncated(&next.word.text);
                let text =
                    format!("unexpected value `{next_word}`: `{word}` takes no further value");
                self.fail_at(next, text)
            }
            (_, []) => Some(vec![effect]),
        }
    }
}
