//! The plan language: pools, routes, limits and rules of service groups, as operators write them.
//!
//! [`compile`] reads a plan with all that it includes and gives the [`Plan`] or every fault of it. [`mod@format`] prints
//! a file in its one form, [`diff`] tells what two plans do otherwise. No module here does I/O; files come by a
//! [`source::Loader`]. docs/plan-language.md has the grammar and the table of blocks.

pub mod address;
mod build;
pub mod cells;
mod check;
pub mod diff;
pub mod explain;
pub mod fault;
pub mod files;
pub mod format;
pub mod model;
pub mod quantity;
pub mod region;
pub mod schema;
pub mod source;
mod syntax;

pub use build::{Settings, SettingsClass};
pub use fault::Fault;
use files::Files;
pub use model::Plan;
use source::{Loader, Source};

/// A plan with the files it was read from.
#[derive(Debug)]
pub struct Compiled {
    pub plan: Plan,
    pub files: Files,
}

/// The faults of a plan with the files they are in.
#[derive(Debug)]
pub struct Faulty {
    pub faults: Vec<Fault>,
    pub files: Files,
}

impl std::fmt::Display for Faulty {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&fault::render(&self.files, &self.faults))
    }
}

impl std::error::Error for Faulty {}

/// Reads a plan with all that it includes. Where the platform's settings are at hand it is checked against them.
///
/// # Errors
///
/// All faults that one reading finds; names are looked into only where every line could be read, and what the plan
/// would do only where every name is known.
pub fn compile(
    loader: &dyn Loader,
    main: &str,
    settings: Option<&Settings>,
) -> Result<Compiled, Faulty> {
    let Source {
        files,
        items,
        mut faults,
    } = source::read(loader, main);
    let blocks = check::check(&items, &mut faults);
    let plan = build::build(&blocks, settings, &mut faults);
    match faults.is_empty() {
        true => Ok(Compiled { plan, files }),
        false => Err(Faulty { faults, files }),
    }
}
