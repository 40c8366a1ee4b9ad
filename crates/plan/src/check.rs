//! From items to typed entries: constants are put in, names and shapes are checked by the table of block kinds.

use crate::fault::{shown, Fault};
use crate::files::Span;
use crate::quantity::{self, Kind, Value};
use crate::schema::{self, BlockKind, EntryKind, Shape};
use crate::syntax::{Block, Item, Part, Word};
use std::collections::HashMap;

/// Constants within constants.
const DEEPEST: usize = 32;
/// Values that one entry may have, with constants put in.
const MOST_VALUES: usize = 100_000;

/// A value with its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned {
    pub value: Value,
    pub span: Span,
}

/// An entry whose values are what its shape asks for.
#[derive(Clone, Debug)]
pub struct Given {
    pub span: Span,
    /// By shape: none for a flag; the rate and perhaps the burst for a bucket; for an effect its word and, where it
    /// is referenced, scope and window.
    pub values: Vec<Spanned>,
}

/// A block whose entries are all of its kind.
#[derive(Clone, Debug)]
pub struct Checked {
    pub kind: &'static BlockKind,
    pub name: String,
    /// The name's place, and that of the whole block.
    pub span: Span,
    pub whole: Span,
    pub entries: HashMap<&'static str, Given>,
}

impl Checked {
    pub fn get(&self, entry: &str) -> Option<&Given> {
        self.entries.get(entry)
    }

    pub fn values(&self, entry: &str) -> &[Spanned] {
        self.get(entry).map_or(&[], |given| &given.values)
    }

    pub fn one(&self, entry: &str) -> Option<&Spanned> {
        self.values(entry).first()
    }
}

/// Checks all items by the table; what is faulty is left out.
pub fn check(items: &[Item], faults: &mut Vec<Fault>) -> Vec<Checked> {
    let mut constants = Constants::default();
    for item in items {
        if let Item::Constant {
            name, parts, span, ..
        } = item
        {
            constants.add(name, parts, span, faults);
        }
    }
    let mut checker = Checker {
        constants,
        faults,
        seen: HashMap::new(),
    };
    let blocks = items.iter().filter_map(|item| match item {
        Item::Block(block) => checker.block(block),
        _ => None,
    });
    blocks.collect()
}

#[derive(Default)]
struct Constants {
    known: HashMap<String, (Part, Span)>,
}

/// A word with constants put in: itself where it stands in the plan, and where it was defined.
#[derive(Clone)]
struct Put {
    word: Word,
    /// Where the word of a constant stands.
    defined: Option<Span>,
}

impl Constants {
    fn add(&mut self, name: &Word, parts: &[Part], span: &Span, faults: &mut Vec<Fault>) {
        if !quantity::is_name(&name.text) || name.quoted {
            faults.push(Fault::new(
                name.span.clone(),
                format!("`{}` is no name for a constant", shown(&name.text)),
            ));
            return;
        }
        let [part] = parts else {
            let fault = Fault::new(
                span.clone(),
                "a constant is one value, or a list with commas",
            );
            faults.push(fault.help("let houses = 10.1.0.0/16, 10.2.0.0/16"));
            return;
        };
        if let Some((_, first)) = self.known.get(&name.text) {
            let fault = Fault::new(
                name.span.clone(),
                format!("the constant `{}` is there already", name.text),
            );
            faults.push(fault.related(first.clone(), "first here"));
            return;
        }
        self.known
            .insert(name.text.clone(), (part.clone(), name.span.clone()));
    }

    /// Puts constants into a list of words.
    fn put(&self, part: &[Word], faults: &mut Vec<Fault>) -> Option<Vec<Put>> {
        let mut out = Vec::new();
        part.iter()
            .all(|word| self.word(word, word, None, 0, &mut out, faults))
            .then_some(out)
    }

    /// Puts in one word that stands at `at` in the plan; whether nothing was wrong.
    fn word(
        &self,
        word: &Word,
        at: &Word,
        defined: Option<&Span>,
        depth: usize,
        out: &mut Vec<Put>,
        faults: &mut Vec<Fault>,
    ) -> bool {
        let Some(name) = word.text.strip_prefix('$').filter(|_| !word.quoted) else {
            out.push(Put {
                word: Word {
                    span: at.span.clone(),
                    ..word.clone()
                },
                defined: defined.cloned(),
            });
            return true;
        };
        let Some((part, first)) = self.known.get(name) else {
            let fault = Fault::new(
                at.span.clone(),
                format!("there is no constant `{}`", shown(name)),
            );
            faults.push(fault.suggest_nearest(name, self.known.keys().map(String::as_str)));
            return false;
        };
        if depth >= DEEPEST || out.len() > MOST_VALUES {
            let why = match depth >= DEEPEST {
                true => format!(
                    "the constant `{}` needs itself, or {DEEPEST} others",
                    shown(name)
                ),
                false => format!("with constants put in, this has more than {MOST_VALUES} values"),
            };
            faults.push(Fault::new(at.span.clone(), why).related(first.clone(), "the constant"));
            return false;
        }
        part.iter()
            .all(|inner| self.word(inner, at, Some(&inner.span), depth + 1, out, faults))
    }
}

struct Checker<'a> {
    constants: Constants,
    faults: &'a mut Vec<Fault>,
    seen: HashMap<(&'static str, String), Span>,
}

impl Checker<'_> {
    fn block(&mut self, block: &Block) -> Option<Checked> {
        let Some(kind) = schema::block(&block.kind.text) else {
            let text = format!(
                "there is no block of the kind `{}`",
                shown(&block.kind.text)
            );
            let names = schema::BLOCKS.iter().map(|b| b.name);
            self.faults.push(
                Fault::new(block.kind.span.clone(), text).suggest_nearest(&block.kind.text, names),
            );
            return None;
        };
        let Some(name) = &block.name else {
            let fault = Fault::new(
                block.kind.span.clone(),
                format!("this {} has no name", kind.name),
            );
            self.faults
                .push(fault.help(format!("{} some-name {{", kind.name)));
            return None;
        };
        if let Err(wrong) = quantity::read(Kind::Name, &name.text, name.quoted) {
            self.faults.push(Fault {
                help: wrong.help,
                ..Fault::new(name.span.clone(), wrong.text)
            });
            return None;
        }
        if let Some(first) = self.seen.get(&(kind.name, name.text.clone())) {
            let text = format!("the {} `{}` is there already", kind.name, name.text);
            self.faults
                .push(Fault::new(name.span.clone(), text).related(first.clone(), "first here"));
            return None;
        }
        self.seen
            .insert((kind.name, name.text.clone()), name.span.clone());
        let mut checked = Checked {
            kind,
            name: name.text.clone(),
            span: name.span.clone(),
            whole: block.whole.clone(),
            entries: HashMap::new(),
        };
        for entry in block.entries() {
            self.entry(&mut checked, &entry.name, &entry.parts, &entry.span);
        }
        Some(checked)
    }

    fn entry(&mut self, block: &mut Checked, name: &Word, parts: &[Part], span: &Span) {
        let Some(kind) = block.kind.entry(&name.text).filter(|_| !name.quoted) else {
            let text = format!("a {} has no entry `{}`", block.kind.name, shown(&name.text));
            let names = block.kind.entries.iter().map(|e| e.name);
            self.faults
                .push(Fault::new(name.span.clone(), text).suggest_nearest(&name.text, names));
            return;
        };
        let Some(values) = self.values(kind, name, parts) else {
            // A broken list is a list all the same: what else says that it is missing would mislead.
            let broken = Given {
                span: span.clone(),
                values: Vec::new(),
            };
            block.entries.entry(kind.name).or_insert(broken);
            return;
        };
        let is_list = matches!(
            kind.shape,
            Shape::List(_) | Shape::Refs(_) | Shape::Outer(_) | Shape::Words(_)
        );
        match block.entries.get_mut(kind.name) {
            None => {
                block.entries.insert(
                    kind.name,
                    Given {
                        span: span.clone(),
                        values,
                    },
                );
            }
            Some(first) if is_list => first.values.extend(values),
            Some(first) => {
                let fault = Fault::new(
                    span.clone(),
                    format!("`{}` stands twice in this {}", kind.name, block.kind.name),
                );
                self.faults
                    .push(fault.related(first.span.clone(), "first here"));
            }
        }
    }

    fn values(&mut self, kind: &EntryKind, name: &Word, parts: &[Part]) -> Option<Vec<Spanned>> {
        let mut put = Vec::with_capacity(parts.len());
        for part in parts {
            put.push(self.constants.put(part, self.faults)?);
        }
        match kind.shape {
            Shape::Flag => self.nothing_more(kind, &put).then(Vec::new),
            Shape::One(k) => {
                let one = self.one(kind, name, &put)?;
                Some(vec![self.read(k, &one)?])
            }
            Shape::OneOuter(_) => {
                let one = self.one(kind, name, &put)?;
                Some(vec![self.read(Kind::Name, &one)?])
            }
            Shape::Choice(words) => {
                let one = self.one(kind, name, &put)?;
                Some(vec![self.choice(kind, words, &one)?])
            }
            Shape::Words(words) => {
                let list = self.list(kind, name, &put)?;
                let read: Vec<_> = list
                    .iter()
                    .map(|put| self.choice(kind, words, put))
                    .collect();
                read.into_iter().collect()
            }
            Shape::List(k) => self.read_all(k, kind, name, &put),
            Shape::Refs(_) | Shape::Outer(_) => self.read_all(Kind::Name, kind, name, &put),
            Shape::Bucket(rate, burst) => self.bucket(kind, name, rate, burst, &put),
            Shape::Effect => self.effect(kind, name, &put),
        }
    }

    fn read_all(
        &mut self,
        k: Kind,
        kind: &EntryKind,
        name: &Word,
        put: &[Vec<Put>],
    ) -> Option<Vec<Spanned>> {
        let list = self.list(kind, name, put)?;
        // Each is read, so that one run tells all that is wrong.
        let read: Vec<_> = list.iter().map(|put| self.read(k, put)).collect();
        read.into_iter().collect()
    }

    fn read(&mut self, kind: Kind, put: &Put) -> Option<Spanned> {
        match quantity::read(kind, &put.word.text, put.word.quoted) {
            Ok(value) => Some(Spanned {
                value,
                span: put.word.span.clone(),
            }),
            Err(wrong) => {
                let fault = Fault {
                    help: wrong.help,
                    ..Fault::new(put.word.span.clone(), wrong.text)
                };
                self.fault_in(put, fault);
                None
            }
        }
    }

    /// A fault in a word that a constant may have brought.
    fn fault_in(&mut self, put: &Put, fault: Fault) {
        self.faults.push(match &put.defined {
            Some(defined) => fault.related(defined.clone(), "from this constant"),
            None => fault,
        });
    }

    fn choice(&mut self, kind: &EntryKind, words: &[&'static str], put: &Put) -> Option<Spanned> {
        match words
            .iter()
            .find(|w| **w == put.word.text && !put.word.quoted)
        {
            Some(word) => Some(Spanned {
                value: Value::Name((*word).to_string()),
                span: put.word.span.clone(),
            }),
            None => {
                let text = format!(
                    "`{}` is none of {} for `{}`",
                    shown(&put.word.text),
                    words.join(", "),
                    kind.name
                );
                let fault = Fault::new(put.word.span.clone(), text)
                    .suggest_nearest(&put.word.text, words.iter().copied());
                self.fault_in(put, fault);
                None
            }
        }
    }

    fn missing(&mut self, kind: &EntryKind, name: &Word) {
        let fault = Fault::new(name.span.clone(), format!("`{}` says nothing", kind.name));
        self.faults
            .push(fault.help(format!("{} {}", kind.name, kind.example)));
    }

    fn nothing_more(&mut self, kind: &EntryKind, more: &[Vec<Put>]) -> bool {
        let Some(put) = more.iter().flatten().next() else {
            return true;
        };
        let text = match kind.example {
            "" => format!(
                "`{}` stands alone; `{}` is too much",
                kind.name,
                shown(&put.word.text)
            ),
            example => {
                format!(
                    "`{}` is too much; `{}` is as in `{} {example}`",
                    shown(&put.word.text),
                    kind.name,
                    kind.name
                )
            }
        };
        self.faults.push(Fault::new(put.word.span.clone(), text));
        false
    }

    fn one(&mut self, kind: &EntryKind, name: &Word, put: &[Vec<Put>]) -> Option<Put> {
        let mut all = put.iter().flatten();
        let Some(first) = all.next().cloned() else {
            self.missing(kind, name);
            return None;
        };
        if let Some(more) = all.next() {
            let text = format!(
                "`{}` has one value; `{}` is too much",
                kind.name,
                shown(&more.word.text)
            );
            self.faults.push(Fault::new(more.word.span.clone(), text));
            return None;
        }
        Some(first)
    }

    fn list(&mut self, kind: &EntryKind, name: &Word, put: &[Vec<Put>]) -> Option<Vec<Put>> {
        let Some((first, rest)) = put.split_first() else {
            self.missing(kind, name);
            return None;
        };
        if let Some(more) = rest.iter().flatten().next() {
            let text = format!("a comma is missing before `{}`", shown(&more.word.text));
            self.faults.push(Fault::new(more.word.span.clone(), text));
            return None;
        }
        Some(first.clone())
    }

    /// `RATE` or `RATE burst AMOUNT`.
    fn bucket(
        &mut self,
        kind: &EntryKind,
        name: &Word,
        rate: Kind,
        burst: Kind,
        put: &[Vec<Put>],
    ) -> Option<Vec<Spanned>> {
        let one = |part: &Vec<Put>| match part.as_slice() {
            [put] => Some(put.clone()),
            _ => None,
        };
        let singles: Option<Vec<Put>> = put.iter().map(one).collect();
        match singles.as_deref() {
            Some([]) => {
                self.missing(kind, name);
                None
            }
            Some([r]) => Some(vec![self.read(rate, r)?]),
            Some([r, word, b]) if word.word.text == "burst" && !word.word.quoted => {
                let (r, b) = (self.read(rate, r), self.read(burst, b));
                Some(vec![r?, b?])
            }
            _ => {
                let text = format!(
                    "`{}` is a rate, and perhaps `burst` with an amount",
                    kind.name
                );
                let fault = Fault::new(name.span.clone(), text)
                    .help(format!("{} {}", kind.name, kind.example));
                self.faults.push(fault);
                None
            }
        }
    }

    fn effect(&mut self, kind: &EntryKind, name: &Word, put: &[Vec<Put>]) -> Option<Vec<Spanned>> {
        let all: Vec<&Put> = put.iter().flatten().collect();
        let Some((first, rest)) = all.split_first() else {
            self.missing(kind, name);
            return None;
        };
        let effect = self.choice(kind, schema::EFFECTS, first)?;
        match (first.word.text.as_str(), rest) {
            ("referenced", [scope, window]) => {
                let scope = self.choice(kind, schema::REFERENCED, scope);
                let window = self.read(Kind::Time, window);
                Some(vec![effect, scope?, window?])
            }
            ("referenced", _) => {
                let fault = Fault::new(
                    name.span.clone(),
                    "`referenced` needs a scope and how long repeats are dropped",
                );
                self.faults.push(fault.help("effect referenced zone 30s"));
                None
            }
            (word, [more, ..]) => {
                let text = format!(
                    "`{}` is too much; `{word}` stands alone",
                    shown(&more.word.text)
                );
                self.faults.push(Fault::new(more.word.span.clone(), text));
                None
            }
            (_, []) => Some(vec![effect]),
        }
    }
}
