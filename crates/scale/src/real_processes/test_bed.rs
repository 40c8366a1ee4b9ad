//! Test bed of a run: the simulated change log and engines, and the real gateways between them.

use super::change_log::{ChangeLog, LogFaults};
use super::endpoint_list::EndpointList;
use super::engines::Engines;
use super::experiment::{Experiment, InjectedFault};
use super::gateways::{GatewayError, Gateways};
use super::observations::Recorder;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::task::JoinSet;

/// Processes and servers that events act on.
pub struct TestBed {
    pub log: ChangeLog,
    pub engines: Arc<Engines>,
    pub gateways: Arc<Gateways>,
}

impl TestBed {
    /// Starts the simulated change log and engines. The gateways are not started yet.
    ///
    /// # Errors
    /// A listener can't be opened.
    pub async fn build(
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
        Ok(TestBed {
            log,
            engines,
            gateways,
        })
    }

    /// Starts all gateways concurrently.
    ///
    /// # Errors
    /// The error of the first gateway that fails to start.
    pub async fn start_gateways(self: &Arc<Self>) -> Result<(), GatewayError> {
        let mut starting = JoinSet::new();
        for gateway in 0..self.gateways.count() {
            let test_bed = self.clone();
            starting.spawn(async move { test_bed.gateways.start(gateway, &test_bed.log).await });
        }
        while let Some(started) = starting.join_next().await {
            if let Ok(Err(fault)) = started {
                return Err(fault);
            }
        }
        Ok(())
    }
}

/// Gateways that a run has started, kept so that they can be stopped even when the run is cancelled.
#[derive(Default)]
pub struct StartedGateways {
    gateways: Mutex<Vec<Arc<Gateways>>>,
}

impl StartedGateways {
    /// Adds gateways to those that [`StartedGateways::stop`] ends.
    pub fn register(&self, gateways: &Arc<Gateways>) {
        self.gateways
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(gateways.clone());
    }

    /// Ends all registered gateways and waits for their processes.
    pub async fn stop(&self) {
        let gateways =
            std::mem::take(&mut *self.gateways.lock().unwrap_or_else(PoisonError::into_inner));
        for gateways in gateways {
            gateways.stop().await;
        }
    }
}
