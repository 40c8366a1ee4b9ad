//! Fleet: thousands of hollow gateways before hollow engines, in simulated time, in one process.
//!
//! A gateway has the real decision module and the real subset, and neither sockets nor bodies. One seeded queue of
//! events drives all: the same seed gives the same run. The judge is fed with what clients, engines and the change log see.

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

/// Runs one experiment.
pub fn run(arguments: &RunArguments) -> Verdict {
    let experiment = Experiment::read(&arguments.experiment)?;
    let seed = arguments.seed.unwrap_or(experiment.seed);
    let began = Instant::now();
    let outcome = Simulation::new(experiment.clone(), seed).run()?;
    let wall = began.elapsed();
    eprintln!(
        "{} events in {:.1} s, {} MB at most",
        outcome.events,
        wall.as_secs_f64(),
        report::peak_memory_kb().unwrap_or(0) / 1024
    );
    if let Some(path) = &arguments.results {
        report::write(path, &experiment, seed, &outcome, wall)?;
    }
    Ok(report::print(&experiment, seed, &outcome))
}
