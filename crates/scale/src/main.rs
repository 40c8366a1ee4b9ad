//! `garnetwall-scale` measures and simulates garnetwall at deployment sizes that do not fit on one machine.
//!
//! The exit status is 0 if all judged figures passed, 1 if one failed, and 2 if the run could not be carried out.

mod experiment;
mod fleet;
mod least_squares;
mod process;
mod real_processes;
mod results;
mod run;
mod slopes;
mod statistics;
mod subset_comparison;

use clap::{Parser, Subcommand};
use run::RunArguments;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Measures and simulates garnetwall at scale. Experiments are TOML files; docs/scale.md describes them.
#[derive(Parser)]
#[command(name = "garnetwall-scale", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures the cost of one role as one quantity grows, and fits a line through the measurements.
    Slopes(RunArguments),
    /// Measures one point of a slope, reading and writing JSON. Run by `slopes`; not for use by hand.
    #[command(hide = true)]
    SlopePoint,
    /// Simulates thousands of hollow gateways, and judges their behaviour.
    Fleet(RunArguments),
    /// Runs real gateways on loopback, and compares them with the prediction from hollow gateways.
    Beside(real_processes::RealProcessesArguments),
    /// Compares strategies of subset selection by their spread over the engines and the moves after a change.
    Spread(RunArguments),
}

fn main() -> ExitCode {
    let filter =
        EnvFilter::try_from_env("GARNETWALL_LOG").unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let verdict = match Arguments::parse().command {
        Command::Slopes(arguments) => slopes::run(&arguments),
        Command::SlopePoint => slopes::measure_point(),
        Command::Fleet(arguments) => fleet::run(&arguments),
        Command::Beside(arguments) => real_processes::run(&arguments),
        Command::Spread(arguments) => subset_comparison::run(&arguments),
    };
    match verdict {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("garnetwall-scale: {error}");
            ExitCode::from(2)
        }
    }
}
