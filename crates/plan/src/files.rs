//! The texts of a plan's files, and places in them.

use std::ops::Range;

/// A file of a plan, by the order in which the files were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FileId(pub usize);

/// A place in a file, as byte offsets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Span {
    /// The file.
    pub file: FileId,
    /// The offset of the first byte.
    pub start: usize,
    /// The offset after the last byte.
    pub end: usize,
}

impl Span {
    /// An empty place at the start of a file.
    pub fn start_of(file: FileId) -> Self {
        Span {
            file,
            start: 0,
            end: 0,
        }
    }

    /// The byte offsets.
    pub fn range(&self) -> Range<usize> {
        self.start..self.end
    }
}

/// A place in a file, as its readers count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

/// A file that was read.
#[derive(Debug)]
pub struct File {
    /// The name under which it was loaded.
    pub name: String,
    /// Its text.
    pub text: String,
    /// Where it was first included; `None` for the main file.
    pub included_at: Option<Span>,
    /// The byte offset at which each line starts.
    line_starts: Vec<usize>,
}

impl File {
    fn new(name: String, text: String, included_at: Option<Span>) -> Self {
        let after_newlines = text
            .bytes()
            .enumerate()
            .filter(|(_, byte)| *byte == b'\n')
            .map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(after_newlines).collect();
        File {
            name,
            text,
            included_at,
            line_starts,
        }
    }

    /// Line and column of a byte offset.
    pub fn position(&self, offset: usize) -> Position {
        let line = self
            .line_starts
            .partition_point(|start| *start <= offset)
            .max(1);
        let start = self.line_starts.get(line - 1).copied().unwrap_or_default();
        let before = self.text.get(start..offset).unwrap_or_default();
        Position {
            line,
            column: before.chars().count() + 1,
        }
    }

    /// A line without its line break, by its number from 1.
    pub fn line(&self, number: usize) -> &str {
        let start_of = |index: usize| {
            let start = self.line_starts.get(index).copied();
            start.unwrap_or(self.text.len())
        };
        let line = self.text.get(start_of(number - 1)..start_of(number));
        line.unwrap_or_default().trim_end_matches(['\n', '\r'])
    }
}

/// All files of a plan, in the order in which they were read.
#[derive(Debug, Default)]
pub struct Files(Vec<File>);

impl Files {
    pub(crate) fn add(&mut self, name: &str, text: String, included_at: Option<Span>) -> FileId {
        let id = self.next_id();
        self.0.push(File::new(name.to_string(), text, included_at));
        id
    }

    pub(crate) fn next_id(&self) -> FileId {
        FileId(self.0.len())
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.0.iter().any(|file| file.name == name)
    }

    /// A file by its id.
    pub fn get(&self, id: FileId) -> Option<&File> {
        self.0.get(id.0)
    }

    /// The files, in the order of their ids.
    pub fn all(&self) -> &[File] {
        &self.0
    }

    /// The text of a span; empty where the span is in no file.
    pub fn text(&self, span: &Span) -> &str {
        self.get(span.file)
            .and_then(|file| file.text.get(span.range()))
            .unwrap_or_default()
    }

    /// `file:line` of a span's start; empty where the span is in no file.
    pub fn location(&self, span: &Span) -> String {
        let Some(file) = self.get(span.file) else {
            return String::new();
        };
        format!("{}:{}", file.name, file.position(span.start).line)
    }
}
