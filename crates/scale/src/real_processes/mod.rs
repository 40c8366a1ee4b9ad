//! The subcommand `beside`: runs real gateways on loopback with a simulated change log, engines, clients and watchers,
//! and judges the run by the observations of these alone.

mod change_log;
mod clients;
mod endpoint_list;
mod engines;
mod experiment;
mod figure;
mod findings;
mod gateways;
mod hollow_gateway;
mod http_client;
mod judge;
mod observations;
mod prediction;
mod process;
mod process_figures;
mod report;
mod run_statistics;
mod scratch_folder;
mod script;
mod sweeps;
mod test_bed;
mod trends;
mod uneven_engines;
mod watchers;
mod workload;

use crate::run::{RunArguments, Verdict};
use experiment::Experiment;
use findings::{Findings, RunResult};
use gateways::GatewayError;
use scratch_folder::ScratchFolder;
use std::path::{Path, PathBuf};
use std::time::Duration;
use test_bed::StartedGateways;
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

/// Threads for the simulated engines, clients and watchers; the change log has its own thread.
const WORKER_THREADS: usize = 4;
/// Time allowed for the run and for each step of a sweep, beyond the time in which queries are sent.
const RUN_ALLOWANCE: Duration = Duration::from_secs(240);
/// A run that ended without a verdict.
#[derive(Debug, Error)]
enum RealProcessesError {
    #[error("run stopped by a signal; all gateway processes have ended")]
    Stopped,
    #[error("run did not finish within {0:?}; all gateway processes have ended; use fewer gateways or a less busy machine")]
    TooLong(Duration),
}

/// Arguments of the subcommand.
#[derive(clap::Args)]
pub struct RealProcessesArguments {
    #[command(flatten)]
    run: RunArguments,
    /// The gateway's program; by default that of the experiment, or the one beside this program.
    #[arg(long)]
    gateway_binary: Option<PathBuf>,
}

/// Runs one experiment, prints its figures and judgements, and writes the figures to the results file if one is named.
/// Returns whether all judgements passed.
pub fn run(arguments: &RealProcessesArguments) -> Verdict {
    let mut experiment = Experiment::read(&arguments.run.experiment)?;
    experiment.seed = arguments.run.seed.unwrap_or(experiment.seed);
    let binary = match arguments
        .gateway_binary
        .clone()
        .or_else(|| experiment.gateway_binary.clone())
    {
        Some(binary) => binary,
        None => std::env::current_exe()?.with_file_name("garnetwall"),
    };
    let mut folder = ScratchFolder::new()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let findings = runtime.block_on(run_until_stopped(experiment, binary, folder.path.clone()));
    // The messages of a gateway error name log files in the folder.
    folder.keep = findings
        .as_ref()
        .is_err_and(|error| error.is::<GatewayError>());
    let findings = findings?;
    report::print_figures(&findings.figures);
    if let Some(file) = &arguments.run.results {
        report::write(&findings.figures, file)?;
    }
    Ok(report::print_judgements(&findings.judgements))
}

/// Runs the experiment until it ends, a signal stops it, or it takes too long. All gateway processes have ended when
/// this returns.
async fn run_until_stopped(experiment: Experiment, binary: PathBuf, folder: PathBuf) -> RunResult {
    let mut interrupted = signal(SignalKind::interrupt())?;
    let mut terminated = signal(SignalKind::terminate())?;
    let sweeps = experiment.sweeps.client_connections.len() + experiment.sweeps.log_watchers.len();
    let within = Duration::from_secs_f64(experiment.seconds) + RUN_ALLOWANCE * (1 + sweeps as u32);
    let started = StartedGateways::default();
    let found = tokio::select! {
        found = run_all(&experiment, &binary, &folder, &started) => found,
        _ = interrupted.recv() => Err(RealProcessesError::Stopped.into()),
        _ = terminated.recv() => Err(RealProcessesError::Stopped.into()),
        () = sleep(within) => Err(RealProcessesError::TooLong(within).into()),
    };
    started.stop().await;
    found
}

/// Runs the workload, unless the experiment's `seconds` are 0, and then the sweeps.
async fn run_all(
    experiment: &Experiment,
    binary: &Path,
    folder: &Path,
    started: &StartedGateways,
) -> RunResult {
    let mut findings = Findings::default();
    if experiment.seconds > 0.0 {
        findings = workload::run(experiment, binary, folder, started).await?;
    }
    let swept = sweeps::run(experiment, binary, folder, started).await?;
    findings.judgements.extend(sweeps::judge(&swept));
    findings.figures.extend(trends::figures(&swept));
    findings.figures.extend(swept);
    Ok(findings)
}

#[cfg(test)]
mod tests;
