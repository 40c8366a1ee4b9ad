//! The subcommand `beside`: real gateways on loopback, between stand-ins for change log, engines, clients and watchers, and a
//! judge that reads only what these observed.

mod change_log;
mod clients;
mod endpoint_list;
mod engines;
mod experiment;
mod gateways;
mod hollow_gateway;
mod http_client;
mod judge;
mod least_squares;
mod measure;
mod measured;
mod observations;
mod prediction;
mod process;
mod report;
mod script;
mod sweeps;
mod uneven_engines;
mod watchers;

use crate::run::{Run, Verdict};
use change_log::{address_for_watchers, ChangeLog, LogFaults};
use clients::Clients;
use endpoint_list::EndpointList;
use engines::Engines;
use experiment::{Experiment, InjectedFault};
use gateways::{GatewayError, Gateways};
use judge::Judgement;
use measure::{figures_of, gateway_figures, sample, Peak};
use observations::{Observations, Recorder};
use report::Figure;
use script::TestBed;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, timeout};
use watchers::Watchers;

/// Threads of the stand-ins; the change log has its own.
const WORKER_THREADS: usize = 4;
/// For the start of all gateways at the same time.
const START_TIMEOUT: Duration = Duration::from_secs(120);
/// Added to the time in which queries are sent, for each part of a run.
const RUN_ALLOWANCE: Duration = Duration::from_secs(240);
/// Watchers that are not connected by then are left out, and fail their bound.
const WATCHERS_TIMEOUT: Duration = Duration::from_secs(30);
/// After the last event, so that watchers receive it.
const FINAL_DELIVERY_DELAY: Duration = Duration::from_secs(1);

/// Why a run has no verdict.
#[derive(Debug, Error)]
enum RealProcessesError {
    #[error("stopped by a signal; all processes have ended")]
    Stopped,
    #[error("not over within {0:?}; all processes have ended; give it fewer gateways or a quieter machine")]
    TooLong(Duration),
    #[error("gateways did not serve within {START_TIMEOUT:?}; give the run fewer of them")]
    StartTooLong,
}

/// The command's own arguments.
#[derive(clap::Args)]
pub struct RealProcessesRun {
    #[command(flatten)]
    run: Run,
    /// The gateway's program; by default that of the experiment, or the one beside this program.
    #[arg(long)]
    gateway_binary: Option<PathBuf>,
}

/// What a run found.
struct Findings {
    figures: Vec<Figure>,
    judgements: Vec<Judgement>,
}

/// Runs one experiment.
pub fn run(arguments: &RealProcessesRun) -> Verdict {
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
    let mut folder = Scratch::new()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let findings = runtime.block_on(bounded(experiment, binary, folder.path.clone()));
    // Its message names a log in there.
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

/// A folder for configurations and logs of gateways, deleted after the run unless a gateway failed.
struct Scratch {
    path: PathBuf,
    keep: bool,
}

impl Scratch {
    fn new() -> std::io::Result<Scratch> {
        let path = std::env::temp_dir().join(format!("garnetwall-beside-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Scratch { path, keep: false })
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

type Found = Result<Findings, Box<dyn std::error::Error>>;

/// Gateways that a run has started, which end with it however it ends.
pub type Started = Mutex<Vec<Arc<Gateways>>>;

/// The run, unless it is stopped or takes too long.
async fn bounded(experiment: Experiment, binary: PathBuf, folder: PathBuf) -> Found {
    let mut interrupted = signal(SignalKind::interrupt())?;
    let mut terminated = signal(SignalKind::terminate())?;
    let sweeps = experiment.sweeps.client_connections.len() + experiment.sweeps.log_watchers.len();
    let within = Duration::from_secs_f64(experiment.seconds) + RUN_ALLOWANCE * (1 + sweeps as u32);
    let started = Started::default();
    let found = tokio::select! {
        found = run_all(&experiment, &binary, &folder, &started) => found,
        _ = interrupted.recv() => Err(RealProcessesError::Stopped.into()),
        _ = terminated.recv() => Err(RealProcessesError::Stopped.into()),
        () = sleep(within) => Err(RealProcessesError::TooLong(within).into()),
    };
    let gateways = std::mem::take(&mut *started.lock().unwrap_or_else(PoisonError::into_inner));
    for gateways in gateways {
        gateways.stop().await;
    }
    found
}

async fn run_all(
    experiment: &Experiment,
    binary: &Path,
    folder: &Path,
    started: &Started,
) -> Found {
    let mut figures = Vec::new();
    let mut judgements = Vec::new();
    if experiment.seconds > 0.0 {
        let found = run_main(experiment, binary, folder, started).await?;
        figures.extend(found.figures);
        judgements.extend(found.judgements);
    }
    let swept = sweeps::run(experiment, binary, folder, started).await?;
    judgements.extend(sweeps::judge(&swept));
    figures.extend(least_squares::slopes(&swept));
    figures.extend(swept);
    Ok(Findings {
        figures,
        judgements,
    })
}

async fn run_main(
    experiment: &Experiment,
    binary: &Path,
    folder: &Path,
    started: &Started,
) -> Found {
    let recorder = Recorder::new(Observations {
        gateways: experiment.gateways,
        watchers: experiment.watchers,
        engines: experiment.engines,
        ..Observations::default()
    });
    let test_bed = build_test_bed(experiment, binary, folder, &recorder).await?;
    register(started, &test_bed.gateways);
    let watchers = Watchers::start(
        experiment.watchers,
        address_for_watchers(test_bed.log.port),
        test_bed.log.last(),
        &recorder,
    )
    .await;
    let test_bed = Arc::new(test_bed);
    let played = run_test_bed(experiment, &test_bed, &watchers, &recorder).await;
    test_bed.gateways.stop().await;
    let mut figures = played?;
    let observations = recorder.observations();
    figures.extend(figures_of(&observations));
    Ok(Findings {
        figures,
        judgements: judge::judge(&observations, &experiment.expect),
    })
}

/// Starts the stand-ins; the gateways are not started yet.
async fn build_test_bed(
    experiment: &Experiment,
    binary: &Path,
    folder: &Path,
    recorder: &Recorder,
) -> std::io::Result<TestBed> {
    let injects = |fault| experiment.injected_fault == Some(fault);
    let engines = Engines::start(
        experiment.engines,
        experiment.gateways,
        recorder.clone(),
        injects(InjectedFault::UnevenEngines),
    )
    .await?;
    let log_faults = LogFaults {
        withhold_drains_from: injects(InjectedFault::DrainWithheld).then_some(0),
        slow: injects(InjectedFault::SlowLog),
    };
    let log = ChangeLog::start(
        EndpointList::new(experiment.engines, experiment.zones),
        engines.ports.clone(),
        recorder.clone(),
        log_faults,
    )?;
    let gateways = Arc::new(Gateways::new(
        experiment,
        binary.into(),
        folder,
        recorder.clone(),
        injects(InjectedFault::KilledDrain),
    ));
    Ok(TestBed::new(log, engines, gateways, experiment.seed))
}

/// Has the run end these gateways however it ends.
fn register(started: &Started, gateways: &Arc<Gateways>) {
    started
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(gateways.clone());
}

/// Starts the gateways, runs clients and events, and measures the gateways before they end.
async fn run_test_bed(
    experiment: &Experiment,
    test_bed: &Arc<TestBed>,
    watchers: &Watchers,
    recorder: &Recorder,
) -> Result<Vec<Figure>, Box<dyn std::error::Error>> {
    let started = timeout(START_TIMEOUT, start_all(test_bed)).await;
    started.map_err(|_| RealProcessesError::StartTooLong)??;
    watchers
        .wait_connected(experiment.watchers, WATCHERS_TIMEOUT)
        .await;
    for gateway in 0..experiment.gateways {
        test_bed.gateways.reset_processor_time(gateway).await;
    }
    let measured_from = recorder.now();
    let peaks = run_clients_and_events(experiment, test_bed, recorder).await?;
    sleep(FINAL_DELIVERY_DELAY).await;
    let mut figures = gateway_figures(test_bed, &peaks, recorder.now() - measured_from).await;
    let run = |name: &str, value: f64| Figure::new("run", 0.0, name, value);
    figures.push(run(
        "log_processor_seconds",
        test_bed.log.processor_seconds(),
    ));
    figures.push(run("watchers_connected", watchers.connected() as f64));
    figures.extend(prediction::figures(experiment, &figures, recorder)?);
    Ok(figures)
}

/// Runs clients and events to their end; returns what the gateways used at most meanwhile.
async fn run_clients_and_events(
    experiment: &Experiment,
    test_bed: &Arc<TestBed>,
    recorder: &Recorder,
) -> Result<Vec<Peak>, GatewayError> {
    let clients = Clients::new(
        experiment,
        test_bed.gateways.clone(),
        test_bed.engines.ports.clone(),
        recorder.clone(),
    );
    let running = async {
        let (played, ()) = tokio::join!(
            script::run(test_bed.clone(), experiment.events.clone()),
            clients.run()
        );
        played
    };
    let mut peaks = vec![Peak::default(); experiment.gateways];
    tokio::select! {
        played = running => played?,
        () = sample(test_bed, &mut peaks) => {}
    }
    Ok(peaks)
}

/// Starts all gateways at once.
async fn start_all(test_bed: &Arc<TestBed>) -> Result<(), GatewayError> {
    let mut starting = tokio::task::JoinSet::new();
    for gateway in 0..test_bed.gateways.count() {
        let test_bed = test_bed.clone();
        starting.spawn(async move { test_bed.gateways.start(gateway, &test_bed.log).await });
    }
    while let Some(started) = starting.join_next().await {
        if let Ok(Err(fault)) = started {
            return Err(fault);
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
