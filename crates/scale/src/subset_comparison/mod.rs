//! The subcommand `spread`: compares strategies to choose subsets of engines.
//!
//! Each strategy is a [`strategy::Strategy`]. A strategy gets the list that a gateway would get, and returns the
//! engines that each gateway holds. The measures are the same for all strategies: the work of engines, the connections
//! of an engine, and the pairs of gateway and engine that a change moves. The comparison has no feedback: a gateway
//! splits its traffic over its subset in proportion to cores.

mod case;
mod chart;
mod compare;
mod experiment;
mod fault_injection;
mod figure;
mod injected_fault;
mod judge;
mod measure;
mod population;
mod report;
mod strategies;
mod strategy;
mod strategy_name;

use crate::results::Results;
use crate::run::{RunArguments, Verdict};
use experiment::Experiment;

/// Runs one experiment: prints the table, writes the results and charts, and judges the strategy in use.
pub fn run(arguments: &RunArguments) -> Verdict {
    let mut experiment = Experiment::read(&arguments.experiment)?;
    if let Some(seed) = arguments.seed {
        experiment.seed = seed;
    }
    // The results file is opened first, so that a file that can't be written is reported before the run.
    let mut results = Results::create(arguments.results.as_deref())?;
    let rows = compare::compare(&experiment);
    report::print_table(&rows);
    rows.iter().try_for_each(|row| results.add(&row.flat()))?;
    if let Some(path) = &arguments.results {
        chart::draw(&rows, path)?;
    }
    let checks = judge::judge(&rows);
    Ok(judge::print_verdict(&checks))
}
