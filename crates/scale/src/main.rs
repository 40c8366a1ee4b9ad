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
use run::Run;
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
    Slopes(Run),
    /// Measures one point of a slope, read and written as JSON. `slopes` runs it; not for use by hand.
    #[command(hide = true)]
    SlopePoint,
    /// Runs thousands of simulated gateways in simulated time, and judges them.
    Fleet(Run),
    /// Runs real gateways on loopback, and compares them with what simulated ones predict.
    Beside(real_processes::RealProcessesRun),
    /// Compares ways to choose subsets: spread over engines, moves on a change.
    Spread(Run),
}

fn main() -> ExitCode {
    let filter =
        EnvFilter::try_from_env("GARNETWALL_LOG").unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let verdict = match Arguments::parse().command {
        Command::Slopes(run) => slopes::run(&run),
        Command::SlopePoint => slopes::measure_point(),
        Command::Fleet(run) => fleet::run(&run),
        Command::Beside(run) => real_processes::run(&run),
        Command::Spread(run) => subset_comparison::run(&run),
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
