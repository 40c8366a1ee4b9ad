//! Checks of the rules against what really ran where.

use super::engines::Execution;
use super::figures::{
    CORES_PER_ENGINE, DEADLINE_TOLERANCE, IDEMPOTENCY_WINDOW, KEY_PAUSE, NON_IDEMPOTENT,
    RETRY_BUDGET, SLOW_START,
};
use super::Simulation;
use garnetwall::api::{EngineId, QueryId};

/// A rule that the simulation checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    Answer,
    Idempotency,
    Draining,
    SlowStart,
    Order,
    Placement,
    RetryBudget,
}

impl Simulation {
    /// Records a violation of a rule, with the current time.
    pub(super) fn record_violation(&mut self, rule: Rule, description: String) {
        self.violations
            .push((rule, format!("at {} ms: {description}", self.now)));
    }

    /// Checks the rules on sending when the gateway decides to send an attempt to an engine.
    pub(super) fn check_send(&mut self, id: QueryId, engine: EngineId) {
        let (now, record, process) = (self.now, &self.queries[id as usize], self.processes[engine]);
        let (class, first) = (record.class, record.attempts.is_empty());
        if record.answered.is_some() || record.client_left {
            self.record_violation(
                Rule::Answer,
                format!("query {id} is sent after its answer or its client's disconnect"),
            );
        }
        if now >= process.draining_listed_at + 2000 || now >= process.removal_listed_at + 2000 {
            self.record_violation(
                Rule::Draining,
                format!("query {id} is sent to engine {engine}, which is listed as draining"),
            );
        }
        if class == 0 && self.zone(engine) != 0 {
            self.record_violation(
                Rule::Placement,
                format!(
                    "query {id} is bound to zone 0 and is sent to zone {}",
                    self.zone(engine)
                ),
            );
        }
        if !first {
            self.retries.push(now);
            let since = now.saturating_sub((RETRY_BUDGET.window * 1000.0) as u64);
            let retries = self.retries.iter().filter(|t| **t >= since).count() as f64;
            let admitted = self.queries.len() as f64;
            if retries > RETRY_BUDGET.floor + RETRY_BUDGET.per_query * admitted {
                self.record_violation(
                    Rule::RetryBudget,
                    format!("{retries} retries in the window exceed the budget"),
                );
            }
        }
        // Each query counts with the first work estimate, 0.5 s, with half as much again as tolerance.
        let warm = process.started_at + (SLOW_START.duration * 1000.0) as u64;
        if process.started_at > 0 && now < warm {
            let since = now.saturating_sub((SLOW_START.window * 1000.0) as u64);
            let sent = self.queries.iter().flat_map(|record| &record.attempts);
            let sent = sent.filter(|(at, e)| *at >= since && *e == engine).count() as f64 + 1.0;
            let fraction = SLOW_START.initial_fraction
                + (1.0 - SLOW_START.initial_fraction)
                    * (now.saturating_sub(process.started_at)) as f64
                    / (warm - process.started_at) as f64;
            if sent * 0.5
                > SLOW_START.overload_multiple * fraction * CORES_PER_ENGINE * SLOW_START.window
            {
                self.record_violation(
                    Rule::SlowStart,
                    format!("{sent} queries in a window exceed the slow start of engine {engine}"),
                );
            }
        }
    }

    /// Checks the rules on answers, idempotency and order when a complete start arrives at a process.
    pub(super) fn check_start(&mut self, id: QueryId, process: usize) {
        let record = &self.queries[id as usize];
        let ended = record
            .answered
            .map(|(at, _)| at)
            .filter(|at| *at < self.now);
        if let Some(at) = ended {
            self.record_violation(
                Rule::Answer,
                format!("query {id} was forwarded after its answer at {at} ms"),
            );
        }
        let record = &self.queries[id as usize];
        let (class, key, position) = (record.class, record.key, record.position);
        let zone = self.zone(process);
        let own_runs: Vec<&Execution> = self
            .executions
            .iter()
            .filter(|run| run.query == id)
            .collect();
        let overlaps = own_runs.iter().any(|run| run.ended_at.is_none());
        let again = match (class, own_runs.first()) {
            (_, None) | (0, _) => false,
            (NON_IDEMPOTENT, _) => true,
            (_, Some(run)) => {
                self.now
                    > run.started_at + (IDEMPOTENCY_WINDOW * 1000.0) as u64 + DEADLINE_TOLERANCE
                    || self.zone(run.process) != zone
            }
        };
        if overlaps || again {
            self.record_violation(
                Rule::Idempotency,
                format!("query {id} is started again; the previous attempt still runs: {overlaps}"),
            );
        }
        if class == 0 || key.is_none() {
            return;
        }
        let earlier = self
            .queries
            .iter()
            .enumerate()
            .filter(|(_, record)| record.key == key && record.position < position);
        let mut fault = None;
        for (other, record) in earlier {
            if record.answered.is_none() && !record.client_left {
                fault = Some(format!(
                    "query {id} overtakes query {other}, which has not ended"
                ));
            }
            for run in self
                .executions
                .iter()
                .filter(|run| run.query as usize == other)
            {
                let cancelled = !run.succeeded;
                match run.ended_at {
                    None => fault = Some(format!("query {id} overlaps query {other} of its key")),
                    Some(to) if cancelled && self.now + DEADLINE_TOLERANCE < to + KEY_PAUSE => {
                        fault = Some(format!(
                            "query {id} starts within the key pause after query {other}"
                        ));
                    }
                    Some(_) => {}
                }
            }
        }
        if let Some(fault) = fault {
            self.record_violation(Rule::Order, fault);
        }
    }
}
