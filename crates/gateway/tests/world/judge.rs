//! Checks the rules against what really ran where.

use super::engines::Execution;
use super::figures::{
    CORES, DEADLINE_TOLERANCE, IDEMPOTENCY_WINDOW, KEY_PAUSE, NON_IDEMPOTENT, RETRY_BUDGET,
    SLOW_START,
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
    pub(super) fn record_violation(&mut self, rule: Rule, what: String) {
        self.violations
            .push((rule, format!("at {} ms: {what}", self.now)));
    }

    /// Checks the gateway's decision to send an attempt.
    pub(super) fn judge_send(&mut self, id: QueryId, engine: EngineId) {
        let (now, h, p) = (self.now, &self.queries[id as usize], self.processes[engine]);
        let (class, first) = (h.class, h.attempts.is_empty());
        if h.answered.is_some() || h.client_left {
            self.record_violation(Rule::Answer, format!("query {id} is sent after its end"));
        }
        if now >= p.draining_listed_at + 2000 || now >= p.removal_listed_at + 2000 {
            self.record_violation(
                Rule::Draining,
                format!("query {id} goes to engine {engine}, listed as draining"),
            );
        }
        if class == 0 && self.zone(engine) != 0 {
            self.record_violation(
                Rule::Placement,
                format!("query {id} goes to zone {}", self.zone(engine)),
            );
        }
        if !first {
            self.retries.push(now);
            let since = now.saturating_sub((RETRY_BUDGET.window * 1000.0) as u64);
            let made = self.retries.iter().filter(|t| **t >= since).count() as f64;
            let taken = self.queries.len() as f64;
            if made > RETRY_BUDGET.floor + RETRY_BUDGET.per_query * taken {
                self.record_violation(Rule::RetryBudget, format!("{made} retries"));
            }
        }
        // Work of the first estimate for each query, with half as much again as tolerance.
        let warm = p.started_at + (SLOW_START.duration * 1000.0) as u64;
        if p.started_at > 0 && now < warm {
            let since = now.saturating_sub((SLOW_START.window * 1000.0) as u64);
            let sent = self.queries.iter().flat_map(|b| &b.attempts);
            let sent = sent.filter(|(at, e)| *at >= since && *e == engine).count() as f64 + 1.0;
            let able = SLOW_START.initial_fraction
                + (1.0 - SLOW_START.initial_fraction) * (now.saturating_sub(p.started_at)) as f64
                    / (warm - p.started_at) as f64;
            if sent * 0.5 > SLOW_START.overload_multiple * able * CORES * SLOW_START.window {
                self.record_violation(
                    Rule::SlowStart,
                    format!("{sent} queries in a window to engine {engine}"),
                );
            }
        }
    }

    /// Checks a start when the complete request arrives at a process.
    pub(super) fn judge_start(&mut self, id: QueryId, process: usize) {
        let h = &self.queries[id as usize];
        let ended = h.answered.map(|(at, _)| at).filter(|at| *at < self.now);
        if let Some(at) = ended {
            self.record_violation(
                Rule::Answer,
                format!("query {id} was forwarded after its answer at {at} ms"),
            );
        }
        let h = &self.queries[id as usize];
        let (class, key, position) = (h.class, h.key, h.position);
        let zone = self.zone(process);
        let mine: Vec<&Execution> = self.executions.iter().filter(|r| r.query == id).collect();
        let runs = mine.iter().any(|r| r.ended_at.is_none());
        let again = match (class, mine.first()) {
            (_, None) | (0, _) => false,
            (NON_IDEMPOTENT, _) => true,
            (_, Some(r)) => {
                self.now > r.started_at + (IDEMPOTENCY_WINDOW * 1000.0) as u64 + DEADLINE_TOLERANCE
                    || self.zone(r.process) != zone
            }
        };
        if runs || again {
            self.record_violation(
                Rule::Idempotency,
                format!("query {id} runs again; the previous attempt still runs: {runs}"),
            );
        }
        if class == 0 || key.is_none() {
            return;
        }
        let earlier = self
            .queries
            .iter()
            .enumerate()
            .filter(|(_, b)| b.key == key && b.position < position);
        let mut what = None;
        for (other, b) in earlier {
            if b.answered.is_none() && !b.client_left {
                what = Some(format!(
                    "query {id} passes query {other}, which has not ended"
                ));
            }
            for r in self.executions.iter().filter(|r| r.query as usize == other) {
                let cancelled = !r.succeeded;
                match r.ended_at {
                    None => what = Some(format!("query {id} runs beside query {other} of its key")),
                    Some(to) if cancelled && self.now + DEADLINE_TOLERANCE < to + KEY_PAUSE => {
                        what = Some(format!(
                            "query {id} starts before its key pause after {other}"
                        ));
                    }
                    Some(_) => {}
                }
            }
        }
        if let Some(what) = what {
            self.record_violation(Rule::Order, what);
        }
    }
}
