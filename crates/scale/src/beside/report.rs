//! What a run prints, and the figures that it writes as JSON lines and CSV.

use super::judge::Judgement;
use crate::results::{Results, ResultsError};
use serde::Serialize;
use std::path::Path;

/// One figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What it belongs to: `run`, `gateway`, or the quantity that was swept.
    pub of: String,
    /// The gateway's number, or the swept quantity's value.
    pub at: f64,
    pub name: String,
    pub value: f64,
}

impl Figure {
    pub fn new(of: &str, at: f64, name: &str, value: f64) -> Figure {
        Figure {
            of: of.into(),
            at,
            name: name.into(),
            value,
        }
    }
}

/// Writes figures to this file as JSON lines, and beside it as CSV.
pub fn write(figures: &[Figure], file: &Path) -> Result<(), ResultsError> {
    let mut results = Results::create(Some(file))?;
    for figure in figures {
        results.add(figure)?;
    }
    Ok(())
}

/// Prints figures, one a line.
pub fn print_figures(figures: &[Figure]) {
    for Figure {
        of,
        at,
        name,
        value,
    } in figures
    {
        println!("{of:<20} {at:>8} {name:<62} {value:>18.7}");
    }
}

/// Prints what was judged, with the count alone on the last line; whether all passed.
pub fn print_judgements(judgements: &[Judgement]) -> bool {
    for Judgement {
        what,
        passed,
        detail,
    } in judgements
    {
        println!("{} {what}: {detail}", if *passed { "pass" } else { "FAIL" });
    }
    let passed = judgements
        .iter()
        .filter(|judgement| judgement.passed)
        .count();
    println!("{passed} passed, {} failed", judgements.len() - passed);
    passed == judgements.len()
}
