//! Reads the files of a plan, following includes, and parses them.

use crate::diagnostic::Diagnostic;
use crate::files::{FileId, Files, Span};
use crate::syntax::{self, Item, Tree};
use std::collections::BTreeMap;
use std::io;
use std::string::FromUtf8Error;
use thiserror::Error;

/// Maximum size of a file in bytes.
pub const MAX_FILE_BYTES: usize = 16 << 20;
/// Maximum number of files of a plan.
pub const MAX_FILES: usize = 256;
/// Maximum number of files in a chain of includes, including the main file.
pub const MAX_INCLUDE_DEPTH: usize = 16;

/// Error of loading a file of a plan.
#[derive(Debug, Error)]
pub enum LoadError {
    /// There is no file with this name.
    #[error("no such file")]
    NotFound,
    /// The name refers to a directory.
    #[error("is a directory")]
    IsDirectory,
    /// The file is longer than [`MAX_FILE_BYTES`].
    #[error("the file has {bytes} bytes, more than the maximum of {MAX_FILE_BYTES}")]
    TooLarge {
        /// Size of the file in bytes.
        bytes: usize,
    },
    /// The operating system reported another error, which is displayed as is.
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

/// Loads the files of a plan. All I/O of this crate goes through an implementation of this trait.
pub trait Loader {
    /// Returns the content of a file, by a name that [`Loader::resolve`] returned or the name of the main file.
    ///
    /// # Errors
    ///
    /// Fails if the file does not exist or cannot be read.
    fn load(&self, name: &str) -> Result<Vec<u8>, LoadError>;

    /// Returns the name of the file that the file `from` includes as `included`. Files with equal names are considered
    /// the same file.
    fn resolve(&self, from: &str, included: &str) -> String;
}

/// A plan in memory: the contents of its files by name. Includes are resolved relative to the including file.
#[derive(Clone, Debug, Default)]
pub struct InMemory(pub BTreeMap<String, Vec<u8>>);

impl InMemory {
    /// Creates a plan that consists of the single file `main.plan`.
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

/// Resolves a path relative to the directory of the file `from` and removes `.` and `..` components where possible. An
/// absolute path is returned unchanged.
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

/// The files of a plan and the items parsed from them.
#[derive(Debug, Default)]
pub struct Source {
    /// Files that were read, in the order of reading.
    pub files: Files,
    /// Items of all files; the items of an included file take the place of its first include.
    pub items: Vec<Item>,
    /// Errors of loading and parsing.
    pub diagnostics: Vec<Diagnostic>,
}

/// Reads and parses the file `main` and all included files. A file that is included several times is read only once.
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
    /// Names of the files that are being read: the main file first, then each file included by the one before it.
    open_files: Vec<String>,
}

impl Reader<'_> {
    /// Reads one file and, recursively, its includes. The recursion is bounded by [`MAX_INCLUDE_DEPTH`].
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
            // The file has already been included elsewhere. Its blocks must not be defined twice.
            return;
        }
        match self.exceeded_limit(&name) {
            Some(text) => self.source.diagnostics.push(Diagnostic::new(span, text)),
            None => self.read_file(&name, Some(span)),
        }
    }

    /// Returns the chain of includes from a file to itself if the file is currently being read.
    fn include_cycle(&self, name: &str) -> Option<String> {
        let first = self.open_files.iter().position(|open| *open == name)?;
        let open_files = self.open_files[first..].iter();
        let mut cycle: Vec<&str> = open_files.map(String::as_str).collect();
        cycle.push(name);
        Some(cycle.join(" -> "))
    }

    /// Returns the error message if including one more file would exceed the maximum depth or number of files.
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

    /// Reports a file that cannot be loaded. The error is located at the include; for the main file, an empty file of
    /// its name is added as the location.
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
