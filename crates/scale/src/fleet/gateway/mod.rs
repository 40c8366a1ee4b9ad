//! A hollow gateway: the real decision module and the real subset, with neither sockets nor bodies.

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

/// Decisions at one moment after which a gateway counts as caught in an endless loop.
const MAX_DECISIONS_PER_MOMENT: usize = 1_000_000;

/// One gateway; its process may end and be started again.
pub struct Gateway {
    pub number: u32,
    pub zone: usize,
    /// Counts its processes, so that events of an earlier one are ignored.
    pub incarnation: u32,
    pub running: bool,
    /// Whether the change log does not reach it.
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
    /// The experiment's subset settings cannot be used.
    pub fn start(
        &mut self,
        now: SimTime,
        seed: u64,
        environment: &mut Environment,
    ) -> Result<(), SubsetError> {
        let process = Process::start(now, self.number, self.zone, seed, environment)?;
        let read = process.read;
        let initial_changes = process.list.as_changes();
        self.process = Some(process);
        self.incarnation += 1;
        self.running = true;
        environment.judge.gateway_started(now, self.number, read);
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

    /// Ends the process and withdraws its open attempts.
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

    /// Whether the wake-up at this time is still wanted.
    pub fn wakes(&mut self, now: SimTime) -> bool {
        let Some(process) = &mut self.process else {
            return false;
        };
        if process.wake_at != Some(now) {
            return false;
        }
        process.wake_at = None;
        true
    }

    /// Carries out the module's decisions until it has nothing more to do now.
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
            "the module asked for {MAX_DECISIONS_PER_MOMENT} decisions at once"
        );
    }

    fn membership_due(&self, now: SimTime) -> bool {
        let wake = self
            .process
            .as_ref()
            .and_then(|process| process.membership.wake());
        wake.is_some_and(|at| SimTime::from_seconds(at) <= now)
    }

    /// Schedules a wake-up for whatever is due first: the module, a deadline or the subset.
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
