//! Reads a plan with all the files that it includes.

use crate::diagnostic::Diagnostic;
use crate::files::{FileId, Files, Span};
use crate::syntax::{self, Item, Tree};
use std::collections::BTreeMap;
use std::io;
use std::string::FromUtf8Error;
use thiserror::Error;

/// Bytes that one file may have.
pub const MAX_FILE_BYTES: usize = 16 << 20;
/// Files that a plan may consist of.
pub const MAX_FILES: usize = 256;
/// Files that may include one another in a chain.
pub const MAX_INCLUDE_DEPTH: usize = 16;

/// Why a file of a plan cannot be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// No file has this name.
    #[error("no such file")]
    NotFound,
    /// The name is that of a directory.
    #[error("is a directory")]
    IsDirectory,
    /// The file is longer than [`MAX_FILE_BYTES`].
    #[error("the file has {bytes} bytes, more than the maximum of {MAX_FILE_BYTES}")]
    TooLarge {
        /// The size of the file.
        bytes: usize,
    },
    /// The operating system does not let it be read.
    #[error(transparent)]
    Io(io::Error),
}

impl From<io::Error> for LoadError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::NotFound => LoadError::NotFound,
            _ => LoadError::Io(error),
        }
    }
}

/// Loads the files of a plan; the only access of this package to the outside.
pub trait Loader {
    /// The bytes of a file.
    ///
    /// # Errors
    ///
    /// Where there is no such file, or where it cannot be read.
    fn load(&self, name: &str) -> Result<Vec<u8>, LoadError>;

    /// The name of the file that the file `from` includes by `included`. Files with equal names are one.
    fn resolve(&self, from: &str, included: &str) -> String;
}

/// A plan in memory: the bytes of its files by name. Includes are resolved relative to the including file.
#[derive(Clone, Debug, Default)]
pub struct InMemory(pub BTreeMap<String, Vec<u8>>);

impl InMemory {
    /// A plan of one file, `main.plan`.
    pub fn one(text: impl Into<Vec<u8>>) -> Self {
        InMemory(BTreeMap::from([("main.plan".to_string(), text.into())]))
    }
}

impl Loader for InMemory {
    fn load(&self, name: &str) -> Result<Vec<u8>, LoadError> {
        self.0.get(name).cloned().ok_or(LoadError::NotFound)
    }

    fn resolve(&self, from: &str, included: &str) -> String {
        resolve_relative(from, included)
    }
}

/// A path relative to the folder of another file, normalized as far as `.` and `..` allow; an absolute path stays.
pub fn resolve_relative(from: &str, included: &str) -> String {
    if included.starts_with('/') {
        return included.to_string();
    }
    let root = if from.starts_with('/') { "/" } else { "" };
    let folder = from.rsplit_once('/').map_or("", |(folder, _)| folder);
    let mut parts: Vec<&str> = components(folder).collect();
    for part in components(included) {
        let is_parent = part == ".." && parts.last().is_some_and(|last| *last != "..");
        if is_parent {
            parts.pop();
        } else {
            parts.push(part);
        }
    }
    format!("{root}{}", parts.join("/"))
}

fn components(path: &str) -> impl Iterator<Item = &str> {
    path.split('/')
        .filter(|part| !part.is_empty() && *part != ".")
}

/// What was read of a plan.
#[derive(Debug, Default)]
pub struct Source {
    /// Its files.
    pub files: Files,
    /// Their items in the order of reading, those of an included file in place of the include.
    pub items: Vec<Item>,
    /// What could not be read.
    pub diagnostics: Vec<Diagnostic>,
}

/// Reads a plan with all that it includes; a file that is included more than once is read once.
pub fn read(loader: &dyn Loader, main: &str) -> Source {
    let mut reader = Reader {
        loader,
        source: Source::default(),
        open_files: Vec::new(),
    };
    reader.read_file(main, None);
    reader.source
}

struct Reader<'a> {
    loader: &'a dyn Loader,
    source: Source,
    /// The names of the files that are being read, outermost first.
    open_files: Vec<String>,
}

impl Reader<'_> {
    /// Reads one file; the recursion over includes is bounded by [`MAX_INCLUDE_DEPTH`].
    fn read_file(&mut self, name: &str, included_at: Option<Span>) {
        let bytes = match self.loader.load(name).and_then(checked_size) {
            Ok(bytes) => bytes,
            Err(error) => return self.report_unreadable(name, included_at, &error),
        };
        let text = match String::from_utf8(bytes) {
            Ok(text) => text,
            Err(error) => return self.report_not_utf8(name, included_at, error),
        };
        let file = self.source.files.next_id();
        let Tree { items, diagnostics } = syntax::parse(&text, file);
        self.source.files.add(name, text, included_at);
        self.source.diagnostics.extend(diagnostics);
        self.open_files.push(name.to_string());
        for item in items {
            match item {
                Item::Include { path, span, .. } => self.read_include(name, &path.text, span),
                other => self.source.items.push(other),
            }
        }
        self.open_files.pop();
    }

    fn read_include(&mut self, from: &str, path: &str, span: Span) {
        let name = self.loader.resolve(from, path);
        if let Some(cycle) = self.include_cycle(&name) {
            let text = format!("`{name}` includes itself: {cycle}");
            let diagnostic = Diagnostic::new(span, text).label("this include closes the cycle");
            self.source.diagnostics.push(diagnostic);
            return;
        }
        if self.source.files.contains(&name) {
            // It was included elsewhere; its blocks count once.
            return;
        }
        match self.exceeded_limit(&name) {
            Some(text) => self.source.diagnostics.push(Diagnostic::new(span, text)),
            None => self.read_file(&name, Some(span)),
        }
    }

    /// The chain of includes from a file to itself, where it is being read.
    fn include_cycle(&self, name: &str) -> Option<String> {
        let first = self.open_files.iter().position(|open| *open == name)?;
        let open_files = self.open_files[first..].iter();
        let mut cycle: Vec<&str> = open_files.map(String::as_str).collect();
        cycle.push(name);
        Some(cycle.join(" -> "))
    }

    /// The text of the error where one more file is too deep, or too many.
    fn exceeded_limit(&self, name: &str) -> Option<String> {
        if self.open_files.len() >= MAX_INCLUDE_DEPTH {
            let text =
                format!("cannot include `{name}`: includes are nested more than {MAX_INCLUDE_DEPTH} files deep");
            return Some(text);
        }
        let is_full = self.source.files.all().len() >= MAX_FILES;
        is_full
            .then(|| format!("cannot include `{name}`: a plan can have at most {MAX_FILES} files"))
    }

    /// Reports a file that cannot be loaded at its include; the main file at the start of an empty file of its name.
    fn report_unreadable(&mut self, name: &str, included_at: Option<Span>, error: &LoadError) {
        let span = included_at.unwrap_or_else(|| {
            let file = self.source.files.add(name, String::new(), None);
            Span::start_of(file)
        });
        let text = format!("cannot read `{name}`: {error}");
        self.source.diagnostics.push(Diagnostic::new(span, text));
    }

    fn report_not_utf8(&mut self, name: &str, included_at: Option<Span>, error: FromUtf8Error) {
        let start = error.utf8_error().valid_up_to();
        let text = String::from_utf8_lossy(&error.into_bytes()).into_owned();
        let file: FileId = self.source.files.add(name, text, included_at);
        let span = Span {
            file,
            start,
            end: start + '\u{fffd}'.len_utf8(),
        };
        let diagnostic =
            Diagnostic::new(span, "file is not valid UTF-8").label("first invalid byte");
        self.source.diagnostics.push(diagnostic);
    }
}

fn checked_size(bytes: Vec<u8>) -> Result<Vec<u8>, LoadError> {
    match bytes.len() <= MAX_FILE_BYTES {
        true => Ok(bytes),
        false => Err(LoadError::TooLarge { bytes: bytes.len() }),
    }
}
