//! What is known of an engine, and what this gateway has in flight there.

use super::health_checks::HealthCheckState;
use super::load::ObservedLoad;
use super::outlier_ejection::EngineHealth;
use super::slow_start::WorkBudget;
use crate::api::{Endpoint, EndpointState};

/// An engine that the endpoint list has named.
#[derive(Default)]
pub(crate) struct EngineState {
    pub(crate) endpoint: Option<Endpoint>,
    pub(crate) cores: f64,
    /// Megabytes; `None` where the settings do not say.
    pub(crate) memory: Option<f64>,
    /// Gateways that work with it, this one included.
    pub(crate) gateways: f64,
    /// Something was received from it since its start.
    pub(crate) contacted: bool,
    /// A random number from 0 to 1, drawn at its start, that keeps gateways out of step.
    pub(crate) jitter: f64,
    pub(crate) in_flight: InFlightTotals,
    pub(crate) load: ObservedLoad,
    pub(crate) health: EngineHealth,
    pub(crate) health_check: HealthCheckState,
    pub(crate) work_budget: WorkBudget,
}

/// This gateway's attempts in flight at an engine.
#[derive(Clone, Copy, Default)]
pub(crate) struct InFlightTotals {
    pub(crate) threads: f64,
    pub(crate) attempts: u32,
    /// Expected memory in megabytes.
    pub(crate) memory: f64,
}

impl InFlightTotals {
    pub(crate) fn add(&mut self, threads: f64, memory: f64) {
        self.threads += threads;
        self.attempts += 1;
        self.memory += memory;
    }

    pub(crate) fn remove(&mut self, threads: f64, memory: f64) {
        self.threads -= threads;
        self.attempts -= 1;
        self.memory -= memory;
    }
}

impl EngineState {
    /// An engine of which nothing has been received yet.
    pub(crate) fn new(cores: f64, memory: Option<f64>) -> Self {
        EngineState {
            cores,
            memory,
            ..EngineState::default()
        }
    }

    pub(crate) fn kind(&self) -> usize {
        self.endpoint.map_or(0, |endpoint| endpoint.kind)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint
            .is_some_and(|endpoint| endpoint.state == EndpointState::Ready)
    }

    /// Forgets what was learned of the process before: another one has started in its place. What is in flight
    /// there stays.
    pub(crate) fn reset_for_new_process(&mut self) {
        *self = EngineState {
            endpoint: self.endpoint,
            in_flight: self.in_flight,
            ..EngineState::new(self.cores, self.memory)
        };
    }
}
