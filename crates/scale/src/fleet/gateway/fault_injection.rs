//! Implements faults that an experiment injects into gateways, to test that the judge detects them.

use super::process::OpenQuery;
use super::Gateway;
use crate::fleet::clients::Query;
use crate::fleet::environment::Environment;
use crate::fleet::injected_fault::InjectedFault;
use crate::fleet::judge::{QueryName, SeenAttempt};
use crate::fleet::time::SimTime;

/// Faults limited to some gateways affect those whose number is a multiple of this.
pub(super) const FAULTY_GATEWAY_INTERVAL: u32 = 10;
/// Faults limited to some queries affect those whose number is a multiple of this.
pub(super) const FAULTY_QUERY_INTERVAL: u32 = 100;
/// How long after a query's deadline the fault `AnswerLate` gives the answer.
pub(super) const FAULTY_LATENESS_SECONDS: f64 = 1.0;

impl Gateway {
    /// Returns whether the experiment injects `fault` and this gateway is one of the affected ones.
    pub(super) fn has_fault(&self, fault: InjectedFault, environment: &Environment) -> bool {
        environment.injects(fault) && self.number.is_multiple_of(FAULTY_GATEWAY_INTERVAL)
    }

    /// Sends an attempt of a query that already has its final answer. The gateway does not track this attempt.
    pub(super) fn send_after_answer(
        &mut self,
        now: SimTime,
        name: QueryName,
        query: &OpenQuery,
        environment: &mut Environment,
    ) {
        let Some(engine) = self
            .process
            .as_ref()
            .and_then(|process| process.slots.first_engine())
        else {
            return;
        };
        let key = self.attempt_key(name.query, query.attempts);
        let Query { class, work, .. } = query.query;
        let attempt = SeenAttempt {
            name,
            class,
            key: None,
            engine,
            work,
        };
        environment.send(now, key, attempt);
    }
}

/// Returns whether an injected fault prevents gateways from connecting to and joining this engine.
pub(super) fn join_skipped(now: SimTime, engine: usize, environment: &Environment) -> bool {
    let settled = now.seconds() >= environment.experiment.settle;
    let half_joined = environment.injects(InjectedFault::HalfJoined) && engine % 2 == 1;
    let not_refilled = environment.injects(InjectedFault::NoRefill) && settled;
    half_joined || not_refilled
}
