//! Files of a plan: their texts, how they include one another, and places in them.

use crate::fault::Fault;
use crate::syntax::{self, Item, Tree};
use std::collections::BTreeMap;
use std::ops::Range;

/// Bytes that one file may have.
pub const LARGEST_FILE: usize = 16 << 20;
/// Files that a plan may consist of.
pub const MOST_FILES: usize = 256;
/// Includes within includes.
pub const DEEPEST: usize = 16;

/// A file of a plan, by the order in which they were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FileId(pub usize);

/// A place in a file, in bytes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Span {
    pub file: FileId,
    pub start: usize,
    pub end: usize,
}

impl Span {
    pub fn range(&self) -> Range<usize> {
        self.start..self.end
    }
}

/// Reads the files of a plan; the only way to the outside.
pub trait Loader {
    /// The bytes of a file, or why it can't be read, in a few words ("is a directory").
    fn load(&self, name: &str) -> Result<Vec<u8>, String>;
    /// The name under which a file is loaded that another one includes by `included`. Equal names are one file.
    fn resolve(&self, from: &str, included: &str) -> String;
}

/// A plan in memory: names and texts. Names are resolved beside the including file.
#[derive(Clone, Debug, Default)]
pub struct InMemory(pub BTreeMap<String, Vec<u8>>);

impl InMemory {
    /// A plan of one file, `main.plan`.
    pub fn one(text: impl Into<Vec<u8>>) -> Self {
        InMemory(BTreeMap::from([("main.plan".to_string(), text.into())]))
    }
}

impl Loader for InMemory {
    fn load(&self, name: &str) -> Result<Vec<u8>, String> {
        self.0
            .get(name)
            .cloned()
            .ok_or_else(|| "there is no such file".to_string())
    }

    fn resolve(&self, from: &str, included: &str) -> String {
        beside(from, included)
    }
}

/// A path beside another one, with `.` and `..` taken out as far as they can be; an absolute one stays.
pub fn beside(from: &str, included: &str) -> String {
    if included.starts_with('/') {
        return included.to_string();
    }
    let root = if from.starts_with('/') { "/" } else { "" };
    let folder = from.rsplit_once('/').map_or("", |(folder, _)| folder);
    let mut parts: Vec<&str> = folder
        .split('/')
        .filter(|p| !p.is_empty() && *p != ".")
        .collect();
    for part in included.split('/').filter(|p| !p.is_empty() && *p != ".") {
        match (part, parts.last()) {
            ("..", Some(last)) if *last != ".." => drop(parts.pop()),
            _ => parts.push(part),
        }
    }
    format!("{root}{}", parts.join("/"))
}

/// One file that was read.
#[derive(Debug)]
pub struct File {
    pub name: String,
    pub text: String,
    /// Where it was first included; none for the main file.
    pub included_at: Option<Span>,
    /// The start of each line, in bytes.
    lines: Vec<usize>,
}

impl File {
    fn new(name: String, text: String, included_at: Option<Span>) -> Self {
        let starts = text
            .bytes()
            .enumerate()
            .filter(|(_, b)| *b == b'\n')
            .map(|(at, _)| at + 1);
        let lines = std::iter::once(0).chain(starts).collect();
        File {
            name,
            text,
            included_at,
            lines,
        }
    }

    /// Line and column of a byte, both from 1; columns count characters.
    pub fn place(&self, at: usize) -> (usize, usize) {
        let line = self.lines.partition_point(|start| *start <= at).max(1);
        let start = self.lines.get(line - 1).copied().unwrap_or_default();
        let before = self.text.get(start..at).unwrap_or_default();
        (line, before.chars().count() + 1)
    }

    /// A line without its end, by its number from 1.
    pub fn line(&self, number: usize) -> &str {
        let start = self
            .lines
            .get(number - 1)
            .copied()
            .unwrap_or(self.text.len());
        let end = self.lines.get(number).copied().unwrap_or(self.text.len());
        self.text
            .get(start..end)
            .unwrap_or_default()
            .trim_end_matches(['\n', '\r'])
    }
}

/// All files of a plan, in the order in which they were read.
#[derive(Debug, Default)]
pub struct Files(Vec<File>);

impl Files {
    pub fn get(&self, id: FileId) -> Option<&File> {
        self.0.get(id.0)
    }

    pub fn all(&self) -> &[File] {
        &self.0
    }

    /// The text of a span.
    pub fn text(&self, span: &Span) -> &str {
        self.get(span.file)
            .and_then(|f| f.text.get(span.range()))
            .unwrap_or_default()
    }

    /// `file:line` of a span's start.
    pub fn at(&self, span: &Span) -> String {
        let Some(file) = self.get(span.file) else {
            return String::new();
        };
        format!("{}:{}", file.name, file.place(span.start).0)
    }
}

/// Reads a plan with all that it includes. Items come in the order of reading, an included file's in place of its
/// include. A file that is included again, by whatever way, is read once.
pub fn read(loader: &dyn Loader, main: &str) -> (Files, Vec<Item>, Vec<Fault>) {
    let mut reader = Reader {
        loader,
        files: Files::default(),
        items: Vec::new(),
        faults: Vec::new(),
    };
    reader.file(main, None, &mut Vec::new());
    (reader.files, reader.items, reader.faults)
}

struct Reader<'a> {
    loader: &'a dyn Loader,
    files: Files,
    items: Vec<Item>,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    /// Reads one file; `open` names those that are being read, outermost first. Depth is bounded by `DEEPEST`.
    fn file(&mut self, name: &str, included_at: Option<Span>, open: &mut Vec<String>) {
        let id = FileId(self.files.0.len());
        let text = match self.loader.load(name).and_then(checked_size) {
            Ok(bytes) => String::from_utf8(bytes),
            Err(why) => {
                let span = self.place_of(id, name, &included_at);
                self.faults
                    .push(Fault::new(span, format!("`{name}` can't be read: {why}")));
                return;
            }
        };
        let (text, broken) = match text {
            Ok(text) => (text, None),
            Err(e) => {
                let at = e.utf8_error().valid_up_to();
                (
                    String::from_utf8_lossy(&e.into_bytes()).into_owned(),
                    Some(at),
                )
            }
        };
        self.files
            .0
            .push(File::new(name.to_string(), text, included_at));
        if let Some(at) = broken {
            let span = Span {
                file: id,
                start: at,
                end: at + '\u{fffd}'.len_utf8(),
            };
            self.faults.push(
                Fault::new(span, "this is not UTF-8").label("the first byte that is no text"),
            );
            return;
        }
        let Tree { items, faults } = syntax::parse(&self.files.0[id.0].text, id);
        self.faults.extend(faults);
        open.push(name.to_string());
        for item in items {
            match item {
                Item::Include { path, span, .. } => self.include(name, &path.text, span, open),
                other => self.items.push(other),
            }
        }
        open.pop();
    }

    fn include(&mut self, from: &str, path: &str, span: Span, open: &mut Vec<String>) {
        let name = self.loader.resolve(from, path);
        if let Some(at) = open.iter().position(|o| *o == name) {
            let mut way: Vec<&str> = open[at..].iter().map(String::as_str).collect();
            way.push(&name);
            let text = format!("`{name}` includes itself: {}", way.join(" -> "));
            self.faults
                .push(Fault::new(span, text).label("here the loop closes"));
        } else if self.files.0.iter().any(|f| f.name == name) {
            // Read already, by another way: its blocks stand once.
        } else if open.len() >= DEEPEST {
            let text = format!("`{name}` is included {DEEPEST} files deep, which is the most");
            self.faults.push(Fault::new(span, text));
        } else if self.files.0.len() >= MOST_FILES {
            let text = format!("a plan has {MOST_FILES} files at most; `{name}` is one more");
            self.faults.push(Fault::new(span, text));
        } else {
            self.file(&name, Some(span), open);
        }
    }

    /// Where a file that can't be read is told: at its include, or at the start of an empty file of its name.
    fn place_of(&mut self, id: FileId, name: &str, included_at: &Option<Span>) -> Span {
        included_at.clone().unwrap_or_else(|| {
            self.files
                .0
                .push(File::new(name.to_string(), String::new(), None));
            Span {
                file: id,
                start: 0,
                end: 0,
            }
        })
    }
}

fn checked_size(bytes: Vec<u8>) -> Result<Vec<u8>, String> {
    match bytes.len() <= LARGEST_FILE {
        true => Ok(bytes),
        false => Err(format!(
            "it has {} bytes, a file of a plan {LARGEST_FILE} at most",
            bytes.len()
        )),
    }
}
