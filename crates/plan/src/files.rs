//! Holds the texts of a plan's files and converts byte offsets to lines and columns.

use std::ops::Range;

/// Index of a file of a plan, in the order in which the files were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FileId(pub usize);

/// A range of bytes in a file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Span {
    /// File that contains the range.
    pub file: FileId,
    /// Offset of the first byte.
    pub start: usize,
    /// Offset after the last byte.
    pub end: usize,
}

impl Span {
    /// Returns the empty span at the start of a file.
    pub fn start_of(file: FileId) -> Self {
        Span {
            file,
            start: 0,
            end: 0,
        }
    }

    /// Returns the byte offsets as a range.
    pub fn range(&self) -> Range<usize> {
        self.start..self.end
    }
}

/// Line and column of a location in a file, as editors count them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

/// A file of a plan that was read.
#[derive(Debug)]
pub struct File {
    /// Name under which the file was loaded; includes are resolved relative to it.
    pub name: String,
    /// Content of the file; bytes that are not UTF-8 are replaced by U+FFFD.
    pub text: String,
    /// Span of the first include of the file; `None` for the main file.
    pub included_at: Option<Span>,
    /// Byte offset of the start of each line.
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

    /// Returns the line and the column of a byte offset.
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

    /// Returns a line by its number from 1, without the line break; empty past the last line.
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

    /// Returns a file by its id; `None` if no file has it.
    pub fn get(&self, id: FileId) -> Option<&File> {
        self.0.get(id.0)
    }

    /// Returns all files in the order of their ids.
    pub fn all(&self) -> &[File] {
        &self.0
    }

    /// Returns the text of a span; empty if the span is not within a file.
    pub fn text(&self, span: &Span) -> &str {
        self.get(span.file)
            .and_then(|file| file.text.get(span.range()))
            .unwrap_or_default()
    }

    /// Returns the start of a span as `file:line`; empty if no file has the span's id.
    pub fn location(&self, span: &Span) -> String {
        let Some(file) = self.get(span.file) else {
            return String::new();
        };
        format!("{}:{}", file.name, file.position(span.start).line)
    }
}
