//! The rules, judged by what really ran where.

use super::engines::Execution;
use super::figures::{
    CORES, IDEMPOTENCY_WINDOW, KEY_REST, NON_IDEMPOTENT, RETRY_BUDGET, SLACK, SLOW_START,
};
use super::World;
use garnetwall::api::{EngineId, QueryId};

/// A rule broken in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    Answer,
    Effect,
    Drain,
    Cold,
    Order,
    Placement,
    Budget,
}

impl World {
    pub(super) fn breaks(&mut self, rule: Rule, what: String) {
        self.broken
            .push((rule, format!("at {} ms: {what}", self.now)));
    }

    /// As the gateway decides to send.
    pub(super) fn judge_send(&mut self, id: QueryId, engine: EngineId) {
        let (now, h, p) = (self.now, &self.queries[id as usize], self.processes[engine]);
        let (group, first) = (h.group, h.dispatches.is_empty());
        if h.answered.is_some() || h.left {
            self.breaks(Rule::Answer, format!("batch {id} is sent after its end"));
        }
        if now >= p.told + 2000 || now >= p.told_gone + 2000 {
            self.breaks(
                Rule::Drain,
                format!("batch {id} goes to engine {engine}, told draining"),
            );
        }
        if group == 0 && self.zone(engine) != 0 {
            self.breaks(
                Rule::Placement,
                format!("batch {id} goes to zone {}", self.zone(engine)),
            );
        }
        if !first {
            self.retries.push(now);
            let since = now.saturating_sub((RETRY_BUDGET.window * 1000.0) as u64);
            let made = self.retries.iter().filter(|t| **t >= since).count() as f64;
            let taken = self.queries.len() as f64;
            if made > RETRY_BUDGET.floor + RETRY_BUDGET.per_query * taken {
                self.breaks(Rule::Budget, format!("{made} further dispatches"));
            }
        }
        // Work of the first guess a batch; half as much again for chance.
        let warm = p.up + (SLOW_START.duration * 1000.0) as u64;
        if p.up > 0 && now < warm {
            let since = now.saturating_sub((SLOW_START.window * 1000.0) as u64);
            let sent = self.queries.iter().flat_map(|b| &b.dispatches);
            let sent = sent.filter(|(at, e)| *at >= since && *e == engine).count() as f64 + 1.0;
            let able = SLOW_START.initial_fraction
                + (1.0 - SLOW_START.initial_fraction) * (now.saturating_sub(p.up)) as f64
                    / (warm - p.up) as f64;
            if sent * 0.5 > SLOW_START.overload_multiple * able * CORES * SLOW_START.window {
                self.breaks(
                    Rule::Cold,
                    format!("{sent} batches in a window to engine {engine}"),
                );
            }
        }
    }

    /// As a start comes whole to a process, which runs it from now on.
    pub(super) fn judge_start(&mut self, id: QueryId, process: usize) {
        let h = &self.queries[id as usize];
        let ended = h.answered.map(|(at, _)| at).filter(|at| *at < self.now);
        if let Some(at) = ended {
            self.breaks(
                Rule::Answer,
                format!("batch {id} was sent on after its answer at {at} ms"),
            );
        }
        let h = &self.queries[id as usize];
        let (group, key, place) = (h.group, h.key, h.place);
        let zone = self.zone(process);
        let mine: Vec<&Execution> = self.executions.iter().filter(|r| r.batch == id).collect();
        let runs = mine.iter().any(|r| r.to.is_none());
        let again = match (group, mine.first()) {
            (_, None) | (0, _) => false,
            (NON_IDEMPOTENT, _) => true,
            (_, Some(r)) => {
                self.now > r.from + (IDEMPOTENCY_WINDOW * 1000.0) as u64 + SLACK
                    || self.zone(r.process) != zone
            }
        };
        if runs || again {
            self.breaks(
                Rule::Effect,
                format!("batch {id} runs again; the one before runs still: {runs}"),
            );
        }
        if group == 0 || key.is_none() {
            return;
        }
        let earlier = self
            .queries
            .iter()
            .enumerate()
            .filter(|(_, b)| b.key == key && b.place < place);
        let mut what = None;
        for (other, b) in earlier {
            if b.answered.is_none() && !b.left {
                what = Some(format!(
                    "batch {id} passes batch {other}, which is not over"
                ));
            }
            for r in self.executions.iter().filter(|r| r.batch as usize == other) {
                let cancelled = !r.good;
                match r.to {
                    None => what = Some(format!("batch {id} runs beside batch {other} of its key")),
                    Some(to) if cancelled && self.now + SLACK < to + KEY_REST => {
                        what = Some(format!(
                            "batch {id} starts before its key has rested from {other}"
                        ));
                    }
                    Some(_) => {}
                }
            }
        }
        if let Some(what) = what {
            self.breaks(Rule::Order, what);
        }
    }
}
