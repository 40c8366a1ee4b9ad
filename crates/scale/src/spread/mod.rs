//! Spread: ways to choose subsets of engines, compared from outside.
//!
//! Each way is a [`ways::Way`]. It sees what a gateway would be told, and answers with the engines that each gateway
//! holds. What follows from that is worked out here, the same for all ways: work over engines, connections an engine
//! holds, pairs that move on a change. Nothing here has feedback: a gateway splits its traffic over its subset by cores.

mod chart;
mod compare;
mod experiment;
mod judge;
mod measure;
mod population;
mod report;
mod slip;
mod ways;

use crate::results::Results;
use crate::{Run, Verdict};
use experiment::Experiment;

/// Runs one experiment: prints the table, writes the results, and judges the chosen way.
pub fn run(run: &Run) -> Verdict {
    let mut experiment = Experiment::read(&run.experiment)?;
    if let Some(seed) = run.seed {
        experiment.seed = seed;
    }
    // Opened first: a file that can't be written is told before the run, not after it.
    let mut results = Results::create(run.results.as_deref())?;
    let rows = compare::compare(&experiment);
    report::print_table(&rows);
    rows.iter().try_for_each(|row| results.add(&row.flat()))?;
    if let Some(path) = &run.results {
        chart::draw(&rows, path)?;
    }
    let checks = judge::judge(&rows);
    Ok(judge::print_verdict(&checks))
}
