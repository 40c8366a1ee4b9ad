//! What is known of an engine, and what this gateway has in flight there.

use super::HEALTH_DECAY_SECONDS;
use crate::api::{Endpoint, EndpointState, Query};

/// An engine that the endpoint list has named.
#[derive(Default)]
pub(crate) struct EngineState {
    pub(crate) endpoint: Option<Endpoint>,
    pub(crate) cores: f64,
    /// Megabytes; `None` where the settings do not say.
    pub(crate) memory: Option<f64>,
    /// Gateways that work with it, this one included.
    pub(crate) gateways: f64,
    /// An attempt or a health check there has ended, in whatever way, or a load report has come, since its start.
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

/// The load of an engine as observed last.
#[derive(Default)]
pub(crate) struct ObservedLoad {
    /// In units of the load limit.
    pub(super) load: f64,
    pub(super) observed_at: f64,
    pub(super) reported_at: f64,
    /// This gateway's threads in flight at the last report; those begun since are added to the load.
    pub(super) threads_at_report: f64,
}

/// What the ends of attempts have shown of an engine.
#[derive(Default)]
pub(crate) struct EngineHealth {
    /// The failure rate without its decay since `failed_at`, from 0 to 1.
    pub(super) undecayed_failure_rate: f64,
    /// When an attempt or a health check failed last, in seconds.
    pub(super) failed_at: f64,
    pub(crate) last_success_at: f64,
    /// Not used before, in seconds: it is ejected, or has just had no capacity.
    pub(super) avoided_until: f64,
}

impl EngineHealth {
    /// The failure rate now. It decays, so that an engine from which few answers come is not avoided for good.
    pub(crate) fn failure_rate(&self, now: f64) -> f64 {
        if self.undecayed_failure_rate == 0.0 {
            return 0.0;
        }
        let elapsed = (now - self.failed_at).max(0.0);
        self.undecayed_failure_rate * (-elapsed / HEALTH_DECAY_SECONDS).exp()
    }
}

/// When an engine had its health check.
#[derive(Default)]
pub(crate) struct HealthCheckState {
    /// No health check before, in seconds.
    pub(super) next_at: f64,
}

/// The part of an engine's slow-start budget that this gateway has used.
#[derive(Default)]
pub(crate) struct WorkBudget {
    /// When this gateway was notified of the start, in seconds.
    pub(super) known_since: f64,
    /// A query admitted before: the budget becomes due in quanta of its work.
    pub(super) sample_query: Option<Query>,
    /// Work sent or lapsed since, in seconds on one thread.
    pub(super) spent: f64,
    /// The work at which the present quantum begins.
    pub(super) quantum_from: f64,
}

impl WorkBudget {
    pub(crate) fn starting_at(now: f64, sample_query: Option<Query>) -> Self {
        WorkBudget {
            known_since: now,
            sample_query,
            ..WorkBudget::default()
        }
    }
}
