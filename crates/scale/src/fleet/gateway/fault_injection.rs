//! Faults that an experiment injects into a gateway, so that the judge has something to find.

use super::process::OpenQuery;
use super::Gateway;
use crate::fleet::clients::Query;
use crate::fleet::environment::Environment;
use crate::fleet::injected_fault::InjectedFault;
use crate::fleet::judge::{QueryName, SeenAttempt};
use crate::fleet::time::SimTime;

/// One in so many gateways is faulty, where a fault affects some of them.
pub(super) const FAULTY_GATEWAY_INTERVAL: u32 = 10;
/// One in so many queries is affected, where a fault affects some of them.
pub(super) const FAULTY_QUERY_INTERVAL: u32 = 100;
/// Time past the deadline at which a late answer is given.
pub(super) const FAULTY_LATENESS_SECONDS: f64 = 1.0;

impl Gateway {
    /// Whether this gateway is one of those that the experiment's fault affects.
    pub(super) fn has_fault(&self, fault: InjectedFault, environment: &Environment) -> bool {
        environment.injects(fault) && self.number.is_multiple_of(FAULTY_GATEWAY_INTERVAL)
    }

    /// Sends one more attempt after the final answer, which nobody waits for.
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

/// Whether an injected fault keeps the gateway from joining this engine.
pub(super) fn join_skipped(now: SimTime, engine: usize, environment: &Environment) -> bool {
    let settled = now.seconds() >= environment.experiment.settle;
    let half_joined = environment.injects(InjectedFault::HalfJoined) && engine % 2 == 1;
    let not_refilled = environment.injects(InjectedFault::NoRefill) && settled;
    half_joined || not_refilled
}
