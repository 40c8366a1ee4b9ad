//! Implements the hollow gateway: the real decision module and the real subset selection, without sockets and bodies.

mod attempts;
mod endpoints;
mod fault_injection;
mod process;
mod queries;

use super::clients::Clients;
use super::environment::Environment;
use super::event::Event;
use super::identifiers::AttemptKey;
use super::injected_fault::InjectedFault;
use super::judge::QueryName;
use super::time::SimTime;
use garnetwall::api::{AttemptEnd, NextAction, QueryId};
use garnetwall_subset::SubsetError;
use process::Process;

/// Maximum number of decisions at one moment. A gateway that reaches it is taken to be in an endless loop.
const MAX_DECISIONS_PER_MOMENT: usize = 1_000_000;

/// A hollow gateway, whose process can end and start again during a run.
pub struct Gateway {
    pub number: u32,
    pub zone: usize,
    /// Number of processes started so far. Events carry it, so that those of an earlier process are ignored.
    pub incarnation: u32,
    pub running: bool,
    /// Whether the gateway is cut off from the change log.
    pub disconnected_from_log: bool,
    pub clients: Clients,
    next_query: QueryId,
    process: Option<Process>,
}

impl Gateway {
    pub fn new(number: usize, zone: usize, clients: Clients) -> Gateway {
        Gateway {
            number: number as u32,
            zone,
            incarnation: 0,
            running: false,
            disconnected_from_log: false,
            clients,
            next_query: 0,
            process: None,
        }
    }

    /// Starts a process, which reads the change log up to its latest entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the experiment's subset settings cannot be used.
    pub fn start(
        &mut self,
        now: SimTime,
        seed: u64,
        environment: &mut Environment,
    ) -> Result<(), SubsetError> {
        let process = Process::start(now, self.number, self.zone, seed, environment)?;
        let read_up_to = process.read_up_to;
        let initial_changes = process.list.as_changes();
        self.process = Some(process);
        self.incarnation += 1;
        self.running = true;
        environment
            .judge
            .gateway_started(now, self.number, read_up_to);
        self.change_members(now, &initial_changes, environment);
        if environment.injects(InjectedFault::AllConnected) {
            for engine in 0..environment.engines.len() {
                environment.judge.connected(now, self.number, engine);
            }
        }
        self.schedule_arrival(now, environment);
        self.run_decisions(now, environment);
        Ok(())
    }

    /// Ends the process, and withdraws its attempts in flight from their engines.
    pub fn end(&mut self, now: SimTime, environment: &mut Environment) {
        let Some(process) = self.process.take() else {
            return;
        };
        self.running = false;
        for (id, query) in &process.queries {
            let Some(open) = query.open else { continue };
            let key = self.attempt_key(*id, open.number);
            if let Some(done_at) = open.done_at {
                environment.withdraw(now, key, open.engine, done_at);
            }
        }
        environment.judge.gateway_ended(now, self.number);
    }

    /// Consumes the wake-up scheduled for `now`; returns `false` if it was superseded by an earlier one.
    pub fn wake_due(&mut self, now: SimTime) -> bool {
        let Some(process) = &mut self.process else {
            return false;
        };
        if process.wake_at != Some(now) {
            return false;
        }
        process.wake_at = None;
        true
    }

    /// Ends attempts that timed out, applies due membership changes, and carries out the decision module's actions
    /// until it waits; then schedules the next wake-up.
    pub fn run_decisions(&mut self, now: SimTime, environment: &mut Environment) {
        self.expire_attempts(now, environment);
        if self.membership_due(now) {
            self.apply_membership(now, environment);
        }
        for _ in 0..MAX_DECISIONS_PER_MOMENT {
            let Some(process) = &mut self.process else {
                return;
            };
            match process.controller.next_action(now.seconds()) {
                NextAction::Wait(seconds) => {
                    self.schedule_wake(now, seconds, environment);
                    return;
                }
                NextAction::Subscribe => {}
                NextAction::HealthCheck(slot) => process.check_health(now, slot, environment),
                NextAction::Cancel { query: id, attempt } => {
                    self.end_attempt(now, id, attempt, AttemptEnd::Cancelled, environment)
                }
                NextAction::Place(id) => self.place(now, id, environment),
            }
        }
        tracing::error!(
            gateway = self.number,
            "the decision module requested {MAX_DECISIONS_PER_MOMENT} actions at one moment; stopped handling them"
        );
    }

    fn membership_due(&self, now: SimTime) -> bool {
        let wake = self
            .process
            .as_ref()
            .and_then(|process| process.membership.wake());
        wake.is_some_and(|at| SimTime::from_seconds(at) <= now)
    }

    /// Schedules a wake-up for the earliest of: the module's wait of `seconds`, the first response timeout, and the
    /// subset's next action.
    fn schedule_wake(&mut self, now: SimTime, seconds: f64, environment: &mut Environment) {
        let Some(process) = &mut self.process else {
            return;
        };
        let mut next = now.after(seconds);
        if let Some((deadline, _)) = process.deadlines.first() {
            next = next.min(*deadline);
        }
        if let Some(at) = process.membership.wake() {
            next = next.min(SimTime::from_seconds(at));
        }
        let next = next.max(now.after(0.0));
        if process.wake_at.is_some_and(|at| next >= at) {
            return;
        }
        process.wake_at = Some(next);
        let wake = Event::Wake {
            gateway: self.number,
            incarnation: self.incarnation,
        };
        environment.queue.push(next, wake);
    }

    fn query_name(&self, query: QueryId) -> QueryName {
        QueryName {
            gateway: self.number,
            query,
        }
    }

    fn attempt_key(&self, query: QueryId, attempt: u32) -> AttemptKey {
        AttemptKey {
            gateway: self.number,
            incarnation: self.incarnation,
            query,
            attempt,
        }
    }
}
