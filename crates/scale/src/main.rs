//! `garnetwall-scale`: what the program costs at a size that no machine holds.

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

/// Scale runs of garnetwall. Experiments are TOML files; docs/scale.md describes them.
#[derive(Parser)]
#[command(name = "garnetwall-scale", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures what one role costs as one quantity grows, and fits a slope.
    Slopes(RunArguments),
    /// Measures one point of a slope, read and written as JSON. `slopes` runs it; not for use by hand.
    #[command(hide = true)]
    SlopePoint,
    /// Runs thousands of hollow gateways in simulated time, and judges them.
    Fleet(RunArguments),
    /// Runs real gateways on loopback, and compares them with what hollow ones predict.
    Beside(real_processes::RealProcessesArguments),
    /// Compares ways to choose subsets: spread over engines, moves on a change.
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
