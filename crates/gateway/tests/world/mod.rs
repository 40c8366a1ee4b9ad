//! The state of the simulation, and functions that derive the current situation from it.

mod day;
mod engines;
mod exchange;
mod figures;
mod gateway;
mod judge;
mod random;
mod start;

use engines::{Execution, Process, Slot};
use garnetwall::api::{Endpoint, EndpointState, EngineId};
use garnetwall::controller::AdmissionController;
use garnetwall_ledger::Ledger;
use gateway::{Attempt, QueryRecord};
use random::Rng;
use std::time::Duration;

pub use judge::Rule;

/// A bug that the simulated gateway has on purpose. The rules must find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// Some final answers are not sent.
    DropsAnswers,
    /// A refused connection counts as a proof that the attempt has ended.
    TrustsConnectionRefused,
    /// A process that does not know the attempt counts as a proof that the attempt has ended.
    TrustsAddresses,
    /// Engines listed as draining count as ready.
    IgnoresDraining,
    IgnoresSlowStart,
    /// The key pause is 0.
    PausesNoKeys,
    /// Queries that arrive in one step are admitted in reverse order.
    ReordersArrivals,
    /// The query class that is bound to a zone may run in any zone.
    IgnoresZones,
    IgnoresRetryBudget,
    /// The ledger is told that engines do not report progress.
    IgnoresProgress,
    /// A start whose connection is established after the answer is sent nevertheless.
    StartsAfterAnswer,
}

/// One gateway with its clients, its engines and its endpoint list. All times are in milliseconds of the simulated day.
pub struct Simulation {
    bug: InjectedBug,
    /// Whether engines report progress, which keeps an attempt running without polls.
    reports_progress: bool,
    rng: Rng,
    now: u64,
    /// Beginning and end of the pause of the gateway process; both are 0 where there is none.
    pause: (u64, u64),
    controller: AdmissionController,
    ledger: Ledger,
    processes: Vec<Process>,
    slots: Vec<Slot>,
    executions: Vec<Execution>,
    attempts: Vec<Attempt>,
    queries: Vec<QueryRecord>,
    /// When each retry was sent.
    retries: Vec<u64>,
    violations: Vec<(Rule, String)>,
}

/// Returns the controller's time in seconds for a time of the simulated day.
fn seconds(ms: u64) -> f64 {
    1000.0 + ms as f64 / 1000.0
}

impl Simulation {
    /// Returns the zone of an engine; the slots alternate between two zones.
    pub(super) fn zone(&self, engine: EngineId) -> u32 {
        (self.processes[engine].slot % 2) as u32
    }

    /// Returns a process's entry in the endpoint list as published at a time, or `None` before it is listed.
    pub(super) fn endpoint_at(&self, engine: EngineId, at: u64) -> Option<Endpoint> {
        let process = &self.processes[engine];
        let state = match at {
            _ if at < process.listed_at => return None,
            _ if at >= process.removal_listed_at => EndpointState::Removed,
            _ if at >= process.draining_listed_at && self.bug != InjectedBug::IgnoresDraining => {
                EndpointState::Draining
            }
            _ => EndpointState::Ready,
        };
        let started_at = (process.started_at > 0).then(|| seconds(process.started_at));
        Some(Endpoint {
            engine,
            zone: self.zone(engine),
            kind: 0,
            cell: process.slot as u32,
            started_at,
            state,
            gateways: None,
        })
    }

    /// Returns the process that accepts connections at a slot's address now, if there is one.
    pub(super) fn listening_process(&self, slot: usize) -> Option<usize> {
        let now = self.now;
        let is_listening = |process: &Process| {
            process.slot == slot
                && process.started_at <= now
                && now < process.refuses_from
                && now < process.killed_at
        };
        self.processes.iter().rposition(is_listening)
    }

    pub(super) fn is_partitioned(&self, slot: usize) -> bool {
        let (from, to) = self.slots[slot].partition;
        (from..to).contains(&self.now)
    }

    pub(super) fn is_paused(&self) -> bool {
        (self.pause.0..self.pause.1).contains(&self.now)
    }

    pub(super) fn ledger_now(&self) -> Duration {
        Duration::from_millis(self.now)
    }
}
