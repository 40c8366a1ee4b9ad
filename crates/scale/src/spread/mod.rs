//! Spread: ways to choose subsets compared.

use crate::{Run, Verdict};

/// Runs one experiment.
pub fn run(run: &Run) -> Verdict {
    Err(format!("{}: the comparison is not here yet", run.experiment.display()).into())
}
