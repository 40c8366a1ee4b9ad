//! Parses, checks, formats and compares plans: files in which operators define pools, routes, limits and rules of
//! query classes.
//!
//! [`compile`] reads a plan with all that it includes and returns the [`Plan`] or all its errors. [`mod@format`] prints
//! a file in its canonical form, [`diff`] compares what two plans do, [`explain`] shows what a plan does with one query. No
//! module does I/O; files come by a [`source::Loader`]. docs/plan-language.md has the grammar and the table of blocks.
//!
//! A plan goes through these modules in order: [`source`] and `syntax` (text to items), `check` (items to entries of
//! known kinds, by the table of [`schema`]), `build` (entries to a [`Plan`], with names resolved and contradictions
//! reported). Words of the language that differ from the terms of the code are mapped in `build` and in the serde names
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

/// A plan with the files it was read from.
#[derive(Debug)]
pub struct Compiled {
    /// The plan.
    pub plan: Plan,
    /// Its files.
    pub files: Files,
}

/// The errors of a plan with the files they are in.
#[derive(Debug)]
pub struct InvalidPlan {
    /// The errors, at least one.
    pub diagnostics: Vec<Diagnostic>,
    /// The files that were read.
    pub files: Files,
}

impl std::fmt::Display for InvalidPlan {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&diagnostic::render(&self.files, &self.diagnostics))
    }
}

impl std::error::Error for InvalidPlan {}

/// Reads the plan of the file `main` with all that it includes, and checks it; with `settings`, also against these.
///
/// # Errors
///
/// All errors that one run finds. Names are resolved only where every line could be read, and the plan is checked for
/// contradictions only where every name is known.
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
