//! One gateway's world: what is there, and what can be looked up in it.

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

/// What the gateway does wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slip {
    None,
    LosesAnswers,
    TrustsRefusals,
    TrustsAddresses,
    OverlooksDrains,
    OverlooksColdness,
    RestsNoKeys,
    MixesArrivals,
    OverlooksZones,
    OverlooksBudget,
    OverlooksNotes,
    StartsLate,
}

pub struct World {
    slip: Slip,
    /// Engines tell notes, each of which keeps its attempt running.
    notes: bool,
    rng: Rng,
    now: u64,
    starved: (u64, u64),
    control: AdmissionController,
    ledger: Ledger,
    processes: Vec<Process>,
    slots: Vec<Slot>,
    executions: Vec<Execution>,
    attempts: Vec<Attempt>,
    queries: Vec<QueryRecord>,
    retries: Vec<u64>,
    broken: Vec<(Rule, String)>,
}

fn seconds(ms: u64) -> f64 {
    1000.0 + ms as f64 / 1000.0
}

impl World {
    pub(super) fn zone(&self, engine: EngineId) -> u32 {
        (self.processes[engine].slot % 2) as u32
    }

    /// What the list says of a process at a time.
    pub(super) fn line(&self, engine: EngineId, at: u64) -> Option<Endpoint> {
        let p = &self.processes[engine];
        let condition = match at {
            _ if at < p.told_up => return None,
            _ if at >= p.told_gone => EndpointState::Removed,
            _ if at >= p.told && self.slip != Slip::OverlooksDrains => EndpointState::Draining,
            _ => EndpointState::Ready,
        };
        let came_up = (p.up > 0).then(|| seconds(p.up));
        Some(Endpoint {
            engine,
            zone: self.zone(engine),
            kind: 0,
            cell: p.slot as u32,
            started_at: came_up,
            state: condition,
            gateways: None,
        })
    }

    pub(super) fn listens(&self, slot: usize) -> Option<usize> {
        let t = self.now;
        let there = |p: &Process| p.slot == slot && p.up <= t && t < p.drains && t < p.dies;
        self.processes.iter().rposition(there)
    }

    pub(super) fn is_cut(&self, slot: usize) -> bool {
        let (from, to) = self.slots[slot].cut;
        (from..to).contains(&self.now)
    }

    pub(super) fn is_starved(&self) -> bool {
        (self.starved.0..self.starved.1).contains(&self.now)
    }

    pub(super) fn ledger_now(&self) -> Duration {
        Duration::from_millis(self.now)
    }
}
