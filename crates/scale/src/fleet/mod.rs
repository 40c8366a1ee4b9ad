//! Simulates thousands of hollow gateways and hollow engines in one process, and judges the gateways.
//!
//! A hollow gateway runs the real decision module and the real subset selection, without sockets and bodies. A single
//! seeded event queue drives the simulation, so the same seed gives the same run. The judge receives only events that
//! clients, engines and the change log observe, and when gateways have put log entries in force.

mod change_log;
mod clients;
mod cold_engine;
mod engine;
mod environment;
mod event;
mod event_queue;
mod experiment;
mod gateway;
mod identifiers;
mod injected_fault;
mod judge;
mod membership;
mod module_settings;
mod report;
mod script;
mod simulation;
mod slots;
mod time;

use crate::run::{RunArguments, Verdict};
use experiment::Experiment;
use simulation::Simulation;
use std::time::Instant;

/// Runs the experiment, prints its findings and, if requested, writes them to the results file.
///
/// # Errors
///
/// Returns an error if the experiment cannot be read or has unusable subset settings, or if the results cannot be
/// written.
pub fn run(arguments: &RunArguments) -> Verdict {
    let experiment = Experiment::read(&arguments.experiment)?;
    let seed = arguments.seed.unwrap_or(experiment.seed);
    let began = Instant::now();
    let outcome = Simulation::new(experiment.clone(), seed).run()?;
    let wall = began.elapsed();
    eprintln!(
        "scheduled {} events in {:.1} s; peak memory {} MB",
        outcome.events,
        wall.as_secs_f64(),
        report::peak_memory_kb().unwrap_or(0) / 1024
    );
    if let Some(path) = &arguments.results {
        report::write(path, &experiment, seed, &outcome, wall)?;
    }
    Ok(report::print(&experiment, seed, &outcome))
}
