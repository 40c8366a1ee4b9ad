//! Reads change log entries, carries out the subset's actions, and updates the decision module's endpoints.

use super::fault_injection::join_skipped;
use super::process::{OpenAttempt, Process};
use super::Gateway;
use crate::fleet::environment::Environment;
use crate::fleet::injected_fault::InjectedFault;
use crate::fleet::module_settings::module_settings;
use crate::fleet::time::SimTime;
use garnetwall::api::{AttemptEnd, Endpoint, EndpointState, ListScope};
use garnetwall_subset::{Action, Change, EngineKey};
use std::rc::Rc;

/// Maximum number of polls of the subset per call of [`Gateway::apply_membership`]. The subset is polled repeatedly,
/// since the outcome of a connection can cause further actions.
const MAX_MEMBERSHIP_POLLS: usize = 64;

impl Gateway {
    /// Reads the change log entries after the last one read, up to number `sequence`, and applies them to the subset
    /// and the decision module. Does nothing if the entry has already been read.
    pub fn deliver(&mut self, now: SimTime, sequence: usize, environment: &mut Environment) {
        if self.has_fault(InjectedFault::Deaf, environment) {
            return;
        }
        let Some(process) = &mut self.process else {
            return;
        };
        if process.read_up_to >= sequence {
            return;
        }
        let previous_configuration_version = environment
            .log
            .entry(process.read_up_to)
            .configuration_version;
        let mut changes: Vec<Change> = Vec::new();
        let mut restarted: Vec<EngineKey> = Vec::new();
        for number in process.read_up_to + 1..=sequence {
            let entry = environment.log.entry(number);
            changes.extend(entry.changes.iter().cloned());
            restarted.extend(entry.restarted.iter().copied());
        }
        let latest = environment.log.entry(sequence);
        process.read_up_to = sequence;
        process.list = Rc::clone(&latest.list);
        if latest.configuration_version != previous_configuration_version {
            let settings = module_settings(&environment.experiment);
            process.controller.update_classes(&settings.classes);
        }
        environment.judge.delivered(now, self.number, sequence);
        self.change_members(now, &changes, environment);
        self.update_restarted(&restarted);
        if !self.has_fault(InjectedFault::NeverInForce, environment) {
            environment.judge.in_force(now, self.number, sequence);
        }
        self.run_decisions(now, environment);
    }

    pub(super) fn change_members(
        &mut self,
        now: SimTime,
        changes: &[Change],
        environment: &mut Environment,
    ) {
        let Some(process) = &mut self.process else {
            return;
        };
        process
            .membership
            .changed(now.seconds(), &process.list.catalog, changes);
        self.apply_membership(now, environment);
    }

    /// Polls the subset and carries out its actions, until a poll returns no action or the maximum number of polls is
    /// reached.
    pub(super) fn apply_membership(&mut self, now: SimTime, environment: &mut Environment) {
        let Some(process) = &mut self.process else {
            return;
        };
        for _ in 0..MAX_MEMBERSHIP_POLLS {
            let actions = process
                .membership
                .poll(now.seconds(), &process.list.catalog);
            if actions.is_empty() {
                return;
            }
            let mut endpoints = Vec::new();
            for action in actions {
                endpoints.extend(process.apply(now, action, self.number, environment));
            }
            process.update_endpoints(&endpoints);
        }
    }

    /// Passes the new start times of restarted members to the decision module.
    fn update_restarted(&mut self, restarted: &[EngineKey]) {
        let Some(process) = &mut self.process else {
            return;
        };
        let endpoints: Vec<Endpoint> = restarted
            .iter()
            .filter_map(|key| process.endpoint_of(*key))
            .collect();
        process.update_endpoints(&endpoints);
    }
}

impl Process {
    fn update_endpoints(&mut self, endpoints: &[Endpoint]) {
        if !endpoints.is_empty() {
            self.controller
                .update_endpoints(endpoints, ListScope::Delta);
        }
    }

    /// Builds and stores the endpoint that describes a member to the decision module. Returns `None` if the engine is
    /// not listed or has not joined.
    fn endpoint_of(&mut self, key: EngineKey) -> Option<Endpoint> {
        let facts = self.list.catalog.facts(key)?;
        let (slot, member) = self.slots.joined(key)?;
        let endpoint = Endpoint {
            engine: slot,
            zone: facts.zone,
            kind: facts.kind as usize,
            cell: facts.cell,
            started_at: self.list.started[member.engine].map(SimTime::seconds),
            state: EndpointState::Ready,
            gateways: Some(member.holders),
        };
        member.endpoint = Some(endpoint);
        Some(endpoint)
    }

    /// Carries out one action of the subset. Returns the endpoint to pass to the decision module, or `None` if there
    /// is nothing to pass on.
    fn apply(
        &mut self,
        now: SimTime,
        action: Action,
        gateway: u32,
        environment: &mut Environment,
    ) -> Option<Endpoint> {
        match action {
            Action::Connect(key) => {
                self.connect(now, key, gateway, environment);
                None
            }
            Action::Join {
                engine: key,
                holders,
            } => self.join(now, key, holders, gateway, environment),
            Action::Update {
                engine: key,
                holders,
            } => {
                self.slots.update(key, holders);
                self.endpoint_of(key)
            }
            Action::Leave(key) => self.leave(key, gateway, environment),
        }
    }

    /// Connects to an engine that has not joined yet, and reports the outcome to the subset.
    fn connect(
        &mut self,
        now: SimTime,
        key: EngineKey,
        gateway: u32,
        environment: &mut Environment,
    ) {
        let Some(engine) = self.list.engine(key) else {
            return;
        };
        let reached = environment.engines[engine].reachable();
        if reached && !join_skipped(now, engine, environment) {
            environment.judge.connected(now, gateway, engine);
        }
        self.membership.connect_ended(now.seconds(), key, reached);
    }

    fn join(
        &mut self,
        now: SimTime,
        key: EngineKey,
        holders: f64,
        gateway: u32,
        environment: &mut Environment,
    ) -> Option<Endpoint> {
        let engine = self.list.engine(key)?;
        if join_skipped(now, engine, environment) {
            return None;
        }
        if environment.engines[engine].reachable() {
            environment.judge.connected(now, gateway, engine);
        }
        self.slots.join(key, engine, holders);
        self.endpoint_of(key)
    }

    /// Removes a member if no attempts at it are in flight; otherwise marks it as draining.
    fn leave(
        &mut self,
        key: EngineKey,
        gateway: u32,
        environment: &mut Environment,
    ) -> Option<Endpoint> {
        if environment.injects(InjectedFault::SendToDraining) {
            tracing::debug!(
                engine = key.0,
                "injected fault: engine that left the subset is not removed"
            );
            return None;
        }
        let outcome = self.slots.leave(key)?;
        if outcome.freed {
            environment.judge.disconnected(gateway, outcome.engine);
            return Some(removed_endpoint(outcome.slot));
        }
        outcome.endpoint.map(|endpoint| Endpoint {
            state: EndpointState::Draining,
            ..endpoint
        })
    }

    /// Reports the end of an attempt to the subset, and removes the member if it has left and this was its last attempt
    /// in flight.
    pub(super) fn release(
        &mut self,
        now: SimTime,
        open: &OpenAttempt,
        end: AttemptEnd,
        gateway: u32,
        environment: &mut Environment,
    ) {
        let Some(outcome) = self.slots.attempt_ended(open.slot) else {
            return;
        };
        let failed = matches!(
            end,
            AttemptEnd::ConnectFailed | AttemptEnd::ConnectionLost | AttemptEnd::TimedOut
        );
        if failed || end == AttemptEnd::Succeeded {
            self.membership
                .attempt_ended(now.seconds(), outcome.key, failed);
        }
        if outcome.freed {
            self.update_endpoints(&[removed_endpoint(open.slot)]);
            environment.judge.disconnected(gateway, open.engine);
        }
    }
}

/// Returns the endpoint that marks a slot as unused. It has no start time, so that the decision module discards its
/// state for the slot's previous engine.
fn removed_endpoint(slot: usize) -> Endpoint {
    Endpoint {
        engine: slot,
        zone: 0,
        kind: 0,
        cell: 0,
        started_at: None,
        state: EndpointState::Removed,
        gateways: None,
    }
}
