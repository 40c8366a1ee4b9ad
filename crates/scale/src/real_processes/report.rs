//! Prints a run's figures and judgements, and writes the figures as JSON lines and CSV.

use super::figure::Figure;
use super::judge::Judgement;
use crate::results::{Results, ResultsError};
use std::path::Path;

/// Writes the figures to `file` as JSON lines, and beside it as CSV.
pub fn write(figures: &[Figure], file: &Path) -> Result<(), ResultsError> {
    let mut results = Results::create(Some(file))?;
    for figure in figures {
        results.add(figure)?;
    }
    Ok(())
}

/// Prints one figure per line.
pub fn print_figures(figures: &[Figure]) {
    for Figure {
        subject,
        position,
        name,
        value,
    } in figures
    {
        println!("{subject:<20} {position:>8} {name:<62} {value:>18.7}");
    }
}

/// Prints one judgement per line and the number of passed and failed ones on the last line. Returns whether all passed.
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
