//! Holds the state of an engine and the totals of this gateway's attempts in flight there.

use super::HEALTH_DECAY_SECONDS;
use crate::api::{Endpoint, EndpointState, Query};

/// State of an engine, by the endpoint list and by this gateway's observations.
#[derive(Default)]
pub(crate) struct EngineState {
    pub(crate) endpoint: Option<Endpoint>,
    pub(crate) cores: f64,
    /// Memory in megabytes; `None` if the settings do not give it for the engine's kind.
    pub(crate) memory: Option<f64>,
    /// Number of gateways that use the engine, including this one.
    pub(crate) gateways: f64,
    /// Whether an attempt or a health check has ended (with any result) or a load report has arrived since the engine's
    /// current process was first listed.
    pub(crate) contacted: bool,
    /// Random number from 0 (inclusive) to 1 (exclusive), drawn when a new process is listed at this index. Keeps
    /// gateways from acting at the same time.
    pub(crate) jitter: f64,
    pub(crate) in_flight: InFlightTotals,
    pub(crate) load: ObservedLoad,
    pub(crate) health: EngineHealth,
    pub(crate) health_check: HealthCheckState,
    pub(crate) work_budget: WorkBudget,
}

/// Totals over this gateway's attempts in flight at an engine.
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
    /// Creates the state of an engine for which no endpoint has been received yet.
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

    /// Resets everything learned about the previous process, since a new process has started at this index. Attempts in
    /// flight are kept.
    pub(crate) fn reset_for_new_process(&mut self) {
        *self = EngineState {
            endpoint: self.endpoint,
            in_flight: self.in_flight,
            ..EngineState::new(self.cores, self.memory)
        };
    }
}

/// Latest observed load of an engine.
#[derive(Default)]
pub(crate) struct ObservedLoad {
    /// Load in units of the load limit, without the threads started since the last report.
    pub(super) load: f64,
    pub(super) observed_at: f64,
    pub(super) reported_at: f64,
    /// This gateway's threads in flight at the time of the last report. Threads started since then are added to `load`.
    pub(super) threads_at_report: f64,
}

/// Health of an engine, from the ends of attempts and health checks.
#[derive(Default)]
pub(crate) struct EngineHealth {
    /// Failure rate from 0 to 1, without the decay since `failed_at`.
    pub(super) undecayed_failure_rate: f64,
    /// Time of the last failed attempt or health check, in seconds.
    pub(super) failed_at: f64,
    pub(crate) last_success_at: f64,
    /// Time before which the engine is not used, in seconds, because it is ejected or recently had no capacity.
    pub(super) avoided_until: f64,
}

impl EngineHealth {
    /// Returns the current failure rate, from 0 to 1. The rate decays, so that an engine with few answers is not
    /// avoided forever.
    pub(crate) fn failure_rate(&self, now: f64) -> f64 {
        if self.undecayed_failure_rate == 0.0 {
            return 0.0;
        }
        let elapsed = (now - self.failed_at).max(0.0);
        self.undecayed_failure_rate * (-elapsed / HEALTH_DECAY_SECONDS).exp()
    }
}

/// Schedule of an engine's health checks.
#[derive(Default)]
pub(crate) struct HealthCheckState {
    /// Earliest time of the next health check, in seconds.
    pub(super) next_at: f64,
}

/// This gateway's use of an engine's slow-start budget.
#[derive(Default)]
pub(crate) struct WorkBudget {
    /// Time at which this gateway was notified of the engine's start, in seconds.
    pub(super) notified_at: f64,
    /// Last query admitted before the notification; the budget becomes due in quanta of its expected work.
    pub(super) sample_query: Option<Query>,
    /// Work sent or expired since the notification, in seconds on one thread.
    pub(super) spent: f64,
    /// Amount of work from which the quanta are counted, in seconds on one thread.
    pub(super) quantum_start: f64,
}

impl WorkBudget {
    pub(crate) fn starting_at(now: f64, sample_query: Option<Query>) -> Self {
        WorkBudget {
            notified_at: now,
            sample_query,
            ..WorkBudget::default()
        }
    }
}
