//! Judges a run by rules, from the events that clients, engines and the change log observe.
//!
//! The only state of a gateway that the judge receives is the number of the log entry that it has put in force.

mod attempt;
mod changes;
mod cold_starts;
mod connections;
mod endpoint_history;
mod finding;
mod gateway_set;
mod order;
mod placement;
mod queries;
mod retries;
mod spread;

pub use attempt::{QueryName, SeenAttempt};
pub use finding::Finding;
pub use queries::FinalAnswer;

use super::change_log::EndpointUpdate;
use super::engine::Site;
use super::experiment::Experiment;
use super::time::SimTime;
use std::rc::Rc;

/// Passes each observed event to the rules that it concerns, and collects their findings.
pub struct Judge {
    endpoint_history: endpoint_history::EndpointHistory,
    queries: queries::Queries,
    order: order::Order,
    retries: retries::Retries,
    placement: placement::Placement,
    cold_starts: cold_starts::ColdStarts,
    spread: spread::Spread,
    connections: connections::Connections,
    changes: changes::Changes,
}

impl Judge {
    pub fn new(experiment: &Rc<Experiment>, mean_work: f64) -> Judge {
        let gateways = experiment.gateways.count;
        Judge {
            endpoint_history: endpoint_history::EndpointHistory::new(gateways),
            queries: queries::Queries::new(Rc::clone(experiment)),
            order: order::Order::default(),
            retries: retries::Retries::new(Rc::clone(experiment)),
            placement: placement::Placement::new(Rc::clone(experiment)),
            cold_starts: cold_starts::ColdStarts::new(Rc::clone(experiment), mean_work),
            spread: spread::Spread::new(Rc::clone(experiment)),
            connections: connections::Connections::new(Rc::clone(experiment)),
            changes: changes::Changes::new(Rc::clone(experiment)),
        }
    }

    // ---- events that clients observe ----

    pub fn query_arrived(&mut self, now: SimTime, name: QueryName, class: usize, key: Option<u64>) {
        self.queries.arrived(now, name, class);
        self.retries.query_arrived(now, name.gateway);
        if let Some(key) = key {
            self.order.query_arrived(key, name);
        }
    }

    pub fn answered(
        &mut self,
        now: SimTime,
        name: QueryName,
        key: Option<u64>,
        answer: FinalAnswer,
    ) {
        self.queries.answered(now, name, answer);
        if let Some(key) = key {
            self.order.answered(key, name);
        }
    }

    /// Records the end of a gateway's process, which breaks the connections of its clients.
    pub fn gateway_ended(&mut self, now: SimTime, gateway: u32) {
        self.queries.gateway_ended(gateway);
        self.order.gateway_ended(gateway);
        self.retries.gateway_ended(gateway);
        self.connections.gateway_ended(now, gateway);
        self.changes.gateway_ended(now, gateway);
    }

    /// Records the start of a gateway's process, which has read the change log up to the entry `sequence`.
    pub fn gateway_started(&mut self, now: SimTime, gateway: u32, sequence: usize) {
        self.endpoint_history.read_up_to(gateway, sequence);
        self.changes.gateway_started(now, gateway, sequence);
        self.connections.gateway_started(gateway);
    }

    // ---- events that engines observe ----

    pub fn engine_added(&mut self, site: Site) {
        self.spread.engine_added(site);
        self.cold_starts.engine_added(site);
        self.placement.engine_added(site);
        self.connections.engine_added();
    }

    pub fn engine_started(&mut self, now: SimTime, engine: usize) {
        self.cold_starts.started(now, engine);
        self.spread.disturbed(engine);
        self.connections.engine_started(now, engine);
    }

    pub fn engine_stopped(&mut self, engine: usize) {
        self.cold_starts.stopped(engine);
        self.spread.disturbed(engine);
        self.connections.engine_stopped(engine);
    }

    pub fn engine_crashed(&mut self) {
        self.cold_starts.crashed();
    }

    /// Excludes an engine from the spread of work, because the script drains or silences it.
    pub fn engine_disturbed(&mut self, engine: usize) {
        self.spread.disturbed(engine);
    }

    pub fn attempt_began(&mut self, now: SimTime, attempt: SeenAttempt) {
        let known = self
            .endpoint_history
            .known(attempt.name.gateway, attempt.engine);
        let earlier_attempts = self.queries.attempt_began(attempt.name);
        if earlier_attempts > 0 {
            self.retries.retried(now, attempt.name.gateway);
        }
        if let Some(key) = attempt.key {
            self.order.attempt_began(key, attempt.name);
        }
        self.placement.attempt_began(attempt, known);
        self.cold_starts.attempt_began(now, attempt, known);
        self.spread.attempt_began(now, attempt);
    }

    pub fn attempt_ended(&mut self, name: QueryName, key: Option<u64>) {
        if let Some(key) = key {
            self.order.attempt_ended(key, name);
        }
    }

    pub fn connected(&mut self, now: SimTime, gateway: u32, engine: usize) {
        self.connections.connected(now, gateway, engine);
    }

    pub fn disconnected(&mut self, gateway: u32, engine: usize) {
        self.connections.disconnected(gateway, engine);
    }

    /// Records the loss of a zone. The caller must have reported the end of its gateways and engines before.
    pub fn zone_lost(&mut self, now: SimTime) {
        self.connections.zone_lost(now);
    }

    // ---- events that the change log observes ----

    pub fn published(&mut self, now: SimTime, sequence: usize, updates: &[EndpointUpdate]) {
        self.endpoint_history.published(sequence, updates);
        self.changes.published(now, sequence);
        self.cold_starts.published(now, updates);
    }

    pub fn delivered(&mut self, now: SimTime, gateway: u32, sequence: usize) {
        self.endpoint_history.read_up_to(gateway, sequence);
        self.changes.delivered(now, gateway, sequence);
    }

    pub fn in_force(&mut self, now: SimTime, gateway: u32, sequence: usize) {
        self.changes.in_force(now, gateway, sequence);
    }

    pub fn log_disconnected(&mut self, gateway: u32) {
        self.changes.log_disconnected(gateway);
    }

    pub fn log_reconnected(&mut self, now: SimTime, gateway: u32) {
        self.changes.log_reconnected(now, gateway);
    }

    /// Returns the findings of all rules for a run that ends at `now`.
    pub fn findings(&mut self, now: SimTime) -> Vec<Finding> {
        let mut findings = self.queries.findings(now);
        findings.push(self.placement.announcement_finding());
        findings.extend(self.cold_starts.findings(now));
        findings.push(self.order.finding());
        findings.push(self.placement.class_finding());
        findings.push(self.retries.finding());
        findings.extend(self.spread.findings());
        findings.extend(self.connections.findings(now));
        findings.extend(self.changes.findings(now));
        findings
    }
}
