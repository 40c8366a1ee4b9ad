//! Parses, checks, formats and compares plans: files in which operators define pools, routes, limits and rules of query
//! classes.
//!
//! [`compile`] reads a plan with all included files and returns the [`Plan`] or all its errors. [`mod@format`] prints a
//! file in its canonical form, [`diff`] compares the behaviour of two plans, and [`explain`] shows what a plan does
//! with one query. The crate does no I/O itself; files are loaded through a [`source::Loader`]. docs/plan-language.md
//! describes the grammar and lists all blocks.
//!
//! A plan passes through these modules in order:
//!
//! - [`source`] and `syntax` turn text into items.
//! - `check` turns items into entries of known kinds, according to the table in [`schema`].
//! - `build` turns entries into a [`Plan`], resolves names and reports contradictions.
//!
//! Words of the plan language that differ from the terms used in the code are mapped in `build` and in the serde names
//! of [`model`].

pub mod address;
mod build;
pub mod cells;
mod check;
pub mod diagnostic;
pub mod diff;
pub mod explain;
pub mod files;
pub mod format;
pub mod model;
pub mod quantity;
pub mod region;
pub mod schema;
pub mod source;
mod syntax;

pub use build::{Settings, SettingsClass};
pub use diagnostic::Diagnostic;
use files::Files;
pub use model::Plan;
use source::{Loader, Source};

/// A valid plan with the files it was read from.
#[derive(Debug)]
pub struct Compiled {
    /// Plan with resolved names.
    pub plan: Plan,
    /// Files of the plan, to which its spans refer.
    pub files: Files,
}

/// The errors of an invalid plan with the files they refer to. The `Display` form shows each error with its source
/// line.
#[derive(Debug)]
pub struct InvalidPlan {
    /// Errors in the order in which they were found, at least one.
    pub diagnostics: Vec<Diagnostic>,
    /// Files that were read, to which the spans of the errors refer.
    pub files: Files,
}

impl std::fmt::Display for InvalidPlan {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&diagnostic::render(&self.files, &self.diagnostics))
    }
}

impl std::error::Error for InvalidPlan {}

/// Reads and checks the plan in the file `main` with all included files. If `settings` are given, the plan is also
/// checked against them.
///
/// # Errors
///
/// Returns all errors that can be found in one run. The plan is checked for contradictions only if there are no other
/// errors.
pub fn compile(
    loader: &dyn Loader,
    main: &str,
    settings: Option<&Settings>,
) -> Result<Compiled, InvalidPlan> {
    let Source {
        files,
        items,
        mut diagnostics,
    } = source::read(loader, main);
    let blocks = check::check(&items, &mut diagnostics);
    let plan = build::build(&blocks, settings, &mut diagnostics);
    match diagnostics.is_empty() {
        true => Ok(Compiled { plan, files }),
        false => Err(InvalidPlan { diagnostics, files }),
    }
}
