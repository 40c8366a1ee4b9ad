//! Runs the workload of an experiment: clients send queries while the events happen. Then judges the observations.

use super::change_log::address_for_watchers;
use super::clients::Clients;
use super::experiment::Experiment;
use super::figure::Figure;
use super::findings::{Findings, RunResult};
use super::gateways::GatewayError;
use super::judge;
use super::observations::{Observations, Recorder};
use super::prediction;
use super::process_figures::{gateway_figures, sample, Peak};
use super::run_statistics::run_figures;
use super::script;
use super::test_bed::{StartedGateways, TestBed};
use super::watchers::Watchers;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{sleep, timeout};

/// Time for all gateways to start concurrently.
const START_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for the watchers to connect. The run then starts without the missing ones, which fails their bound.
const WATCHERS_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the last event, so that watchers receive it.
const FINAL_DELIVERY_DELAY: Duration = Duration::from_secs(1);

/// The gateways took too long to start.
#[derive(Debug, Error)]
#[error("gateways did not serve within {START_TIMEOUT:?}; run fewer gateways")]
struct StartTooLong;

/// Runs clients and events on a test bed and judges the observations.
///
/// # Errors
/// The test bed can't be built, or a gateway fails.
pub async fn run(
    experiment: &Experiment,
    binary: &Path,
    folder: &Path,
    started: &StartedGateways,
) -> RunResult {
    let recorder = Recorder::new(Observations {
        gateways: experiment.gateways,
        watchers: experiment.watchers,
        engines: experiment.engines,
        ..Observations::default()
    });
    let test_bed = TestBed::build(experiment, binary, folder, &recorder).await?;
    started.register(&test_bed.gateways);
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
    figures.extend(run_figures(&observations));
    Ok(Findings {
        figures,
        judgements: judge::judge(&observations, &experiment.expect),
    })
}

/// Starts the gateways, runs clients and events, and measures the gateways before they are stopped.
async fn run_test_bed(
    experiment: &Experiment,
    test_bed: &Arc<TestBed>,
    watchers: &Watchers,
    recorder: &Recorder,
) -> Result<Vec<Figure>, Box<dyn std::error::Error>> {
    let started = timeout(START_TIMEOUT, test_bed.start_gateways()).await;
    started.map_err(|_| StartTooLong)??;
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

/// Runs clients and events to their end. Returns the peak usage of each gateway during that time.
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
            script::run(test_bed.clone(), experiment.events.clone(), experiment.seed),
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
