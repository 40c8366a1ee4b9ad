//! Beside: real gateways on loopback, between a change log, engines, clients and watchers that are stand-ins, and a judge that
//! reads only what these saw.

mod change_log;
mod clients;
mod engines;
mod experiment;
mod facts;
mod fit;
mod gateways;
mod hollow;
mod http_client;
mod judge;
mod measure;
mod prediction;
mod process;
mod report;
mod roster;
mod script;
mod sweeps;
mod watchers;

use crate::{Run, Verdict};
use change_log::{address_for_watchers, ChangeLog, LogSlips};
use clients::Clients;
use engines::Engines;
use experiment::{Experiment, Slip};
use facts::{Facts, Recorder};
use gateways::{GatewayError, Gateways};
use judge::Judgement;
use measure::{figures_of, gateway_figures, sample, Peak};
use report::Figure;
use roster::Roster;
use script::Stage;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, timeout, Instant};
use watchers::Watchers;

/// Threads of the stand-ins; the change log has its own.
const WORKERS: usize = 4;
/// Gateways that start at the same time, as a mass start has them.
const START_WITHIN: Duration = Duration::from_secs(120);
/// What a run may take beyond the time in which queries are sent.
const BEYOND_QUERIES: Duration = Duration::from_secs(240);
/// Watchers that are not there by then are left out, and fail their bound.
const WATCHERS_WITHIN: Duration = Duration::from_secs(30);
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// After the last event, so that watchers see it.
const LAST_LOOK: Duration = Duration::from_secs(1);

/// Why a run came to no verdict.
#[derive(Debug, Error)]
enum BesideError {
    #[error("stopped by a signal; all processes have ended")]
    Stopped,
    #[error("not over within {0:?}; all processes have ended; give it fewer gateways or a quieter machine")]
    TooLong(Duration),
    #[error("gateways did not serve within {START_WITHIN:?}; give the run fewer of them")]
    StartTooLong,
}

/// The command's own arguments.
#[derive(clap::Args)]
pub struct BesideRun {
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
pub fn run(arguments: &BesideRun) -> Verdict {
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
        .worker_threads(WORKERS)
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

/// A folder for configurations and logs of gateways, which goes with the run unless a gateway failed.
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
    let within = Duration::from_secs_f64(experiment.seconds) + BEYOND_QUERIES * (1 + sweeps as u32);
    let started = Started::default();
    let found = tokio::select! {
        found = play(&experiment, &binary, &folder, &started) => found,
        _ = interrupted.recv() => Err(BesideError::Stopped.into()),
        _ = terminated.recv() => Err(BesideError::Stopped.into()),
        () = sleep(within) => Err(BesideError::TooLong(within).into()),
    };
    let gateways = std::mem::take(&mut *started.lock().unwrap_or_else(PoisonError::into_inner));
    for gateways in gateways {
        gateways.stop().await;
    }
    found
}

async fn play(experiment: &Experiment, binary: &Path, folder: &Path, started: &Started) -> Found {
    let mut figures = Vec::new();
    let mut judgements = Vec::new();
    if experiment.seconds > 0.0 {
        let found = play_run(experiment, binary, folder, started).await?;
        figures.extend(found.figures);
        judgements.extend(found.judgements);
    }
    let swept = sweeps::run(experiment, binary, folder, started).await?;
    judgements.extend(sweeps::judge(&swept));
    figures.extend(fit::slopes(&swept));
    figures.extend(swept);
    Ok(Findings {
        figures,
        judgements,
    })
}

async fn play_run(
    experiment: &Experiment,
    binary: &Path,
    folder: &Path,
    started: &Started,
) -> Found {
    let recorder = Recorder::new(Facts {
        gateways: experiment.gateways,
        watchers: experiment.watchers,
        engines: experiment.engines,
        ..Facts::default()
    });
    let slips = |slip| experiment.slip == Some(slip);
    let (count, gateways) = (experiment.engines, experiment.gateways);
    let engines = Engines::start(
        count,
        gateways,
        recorder.clone(),
        slips(Slip::UnevenEngines),
    )
    .await?;
    let log_slips = LogSlips {
        withhold_drains_from: slips(Slip::DrainWithheld).then_some(0),
        slow: slips(Slip::SlowLog),
    };
    let roster = Roster::new(count, experiment.zones);
    let log = ChangeLog::start(roster, engines.ports.clone(), recorder.clone(), log_slips)?;
    let kills = slips(Slip::KilledDrain);
    let gateways = Arc::new(Gateways::new(
        experiment,
        binary.into(),
        folder,
        recorder.clone(),
        kills,
    ));
    started
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(gateways.clone());
    let watchers = Watchers::start(
        experiment.watchers,
        address_for_watchers(log.port),
        log.last(),
        &recorder,
    )
    .await;
    let stage = Arc::new(Stage::new(log, engines, gateways.clone(), experiment.seed));
    let played = play_stage(experiment, &stage, &watchers, &recorder).await;
    gateways.stop().await;
    let mut figures = played?;
    let facts = recorder.facts();
    figures.extend(figures_of(&facts));
    Ok(Findings {
        figures,
        judgements: judge::judge(&facts, &experiment.expect),
    })
}

/// Starts the gateways, plays clients and events, and measures the gateways before they end.
async fn play_stage(
    experiment: &Experiment,
    stage: &Arc<Stage>,
    watchers: &Watchers,
    recorder: &Recorder,
) -> Result<Vec<Figure>, Box<dyn std::error::Error>> {
    let started = timeout(START_WITHIN, start_all(stage)).await;
    started.map_err(|_| BesideError::StartTooLong)??;
    let until = Instant::now() + WATCHERS_WITHIN;
    while watchers.connected() < experiment.watchers && Instant::now() < until {
        sleep(LOOK_EVERY).await;
    }
    for gateway in 0..experiment.gateways {
        stage.gateways.mark_usage(gateway).await;
    }
    let measured_from = recorder.now();
    let ports = stage.engines.ports.clone();
    let clients = Clients::new(experiment, stage.gateways.clone(), ports, recorder.clone());
    let playing = async {
        let (played, ()) = tokio::join!(
            script::play(stage.clone(), experiment.events.clone()),
            clients.run()
        );
        played
    };
    let mut peaks = vec![Peak::default(); experiment.gateways];
    tokio::select! {
        played = playing => played?,
        () = sample(stage, &mut peaks) => {}
    }
    sleep(LAST_LOOK).await;
    let mut figures = gateway_figures(stage, &peaks, recorder.now() - measured_from).await;
    let log_seconds = stage.log.processor_seconds();
    figures.push(Figure::new(
        "run",
        0.0,
        "log_processor_seconds",
        log_seconds,
    ));
    figures.push(Figure::new(
        "run",
        0.0,
        "watchers_connected",
        watchers.connected() as f64,
    ));
    figures.extend(prediction::figures(experiment, &figures, recorder)?);
    Ok(figures)
}

/// Starts all gateways at once.
async fn start_all(stage: &Arc<Stage>) -> Result<(), GatewayError> {
    let mut starting = tokio::task::JoinSet::new();
    for gateway in 0..stage.gateways.count() {
        let stage = stage.clone();
        starting.spawn(async move { stage.gateways.start(gateway, &stage.log).await });
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
