//! Engines whose dispatches fail, beyond what all do, rest and come back one batch at a time.

use super::load_shedding::unsure;
use super::{FAIL_LIFE, LEAST, OVERDUE, REDRAW};
use crate::api::{AttemptEnd, AttemptOutcome, EngineId, Idempotency, Query, QueryId};
use crate::state::{AdmissionController, Engine, Sent, Stage};

const SLOW: f64 = 2.0; // latency over bare work at the mark; threads share cores and wait for disks
const FAIL_WEIGHT: f64 = 0.3; // of a failed dispatch in a failing share; a good one's is half of it
const FAILING: f64 = 0.75; // failing share from which an engine rests; one that fails in part still serves
const APART: f64 = 2.0; // times the pool's mean that it must be; where all fail alike resting loses more
const REST: f64 = 2.0; // seconds that an engine rests; about the shortest trouble
const QUIET: f64 = 2.5; // notes missed after which a dispatch is lost; one may be late, two hardly

impl AdmissionController {
    pub(super) fn judge(&mut self, now: f64, b: &Query, sent: Sent, o: &AttemptOutcome) {
        let threads = self.s.classes[b.class].threads;
        // What was out while we stood still says nothing: its answer may have waited for us.
        let took = if sent.at < self.woke { 0.0 } else { o.latency };
        let slowdown = took * threads / o.work.unwrap_or(self.work(b)).max(LEAST);
        if matches!(o.end, AttemptEnd::Succeeded | AttemptEnd::TimedOut) {
            self.ran = (self.ran.0 + o.latency * threads, self.ran.1 + o.latency);
            if !sent.overdue && o.end == AttemptEnd::Succeeded {
                self.feel(now, sent.engine, (slowdown / SLOW).min(OVERDUE));
            }
        }
        let e = &mut self.engines[sent.engine];
        e.heard = true;
        match o.end {
            AttemptEnd::Succeeded => {
                (e.last_good, e.failing) = (now, e.failing * (1.0 - FAIL_WEIGHT / 2.0));
                self.learn(b, o, slowdown);
            }
            AttemptEnd::Rejected => {
                e.rests_until = e.rests_until.max(now + REDRAW.1);
                self.feel(now, sent.engine, OVERDUE);
            }
            AttemptEnd::TimedOut | AttemptEnd::Cancelled if e.last_good >= sent.at => {}
            AttemptEnd::NotNeeded | AttemptEnd::NotSent => {}
            _ => self.failed(now, sent.engine),
        }
    }

    /// Guards against engines that fail quickly, are dead or silent. Where all fail alike none rests.
    pub(super) fn failed(&mut self, now: f64, engine: EngineId) {
        let sum: f64 = self
            .ready
            .iter()
            .map(|e| failing(&self.engines[*e], now))
            .sum();
        let mean = sum / self.ready.len().max(1) as f64;
        let e = &mut self.engines[engine];
        let before = failing(e, now);
        (e.failing, e.failed_at) = (before + (1.0 - before) * FAIL_WEIGHT, now);
        if e.failing > FAILING && e.failing > APART * mean && e.rests_until <= now {
            e.rests_until = now + REST;
        }
    }

    /// Guards against dispatches that are lost: to a process that has restarted, or, where notes tell of
    /// dispatches, to an engine that hangs, is cut off or drops some of what it takes. They are taken back.
    pub(super) fn watch(&mut self, now: f64) {
        let quiet = if self.s.progress_interval > 0.0 {
            QUIET * self.s.progress_interval
        } else {
            f64::INFINITY
        };
        let out: Vec<_> = self
            .batches
            .values()
            .filter_map(|h| h.out.map(|s| (h.b, s)))
            .collect();
        for (b, s) in out {
            let due = OVERDUE * SLOW * unsure(&b).powi(4) * self.work(&b)
                / self.s.classes[b.class].threads;
            if !s.overdue && now - s.at.max(self.woke) > due {
                self.feel(now, s.engine, OVERDUE);
                self.batches
                    .entry(b.id)
                    .and_modify(|h| h.out = Some(Sent { overdue: true, ..s }));
            }
            let came_up = self.engines[s.engine].line.and_then(|l| l.started_at);
            if now - s.heard.max(self.woke) > quiet || came_up.is_some_and(|up| up > s.at) {
                self.recall(now, b.id);
            }
        }
    }

    /// Takes back a dispatch that stands still where the batch may run again elsewhere.
    pub(super) fn recall(&mut self, now: f64, id: QueryId) {
        let h = &self.batches[&id];
        let repeatable = self.s.classes[h.b.class].idempotency == Idempotency::Idempotent;
        if repeatable
            && h.stage == Stage::Out
            && self.s.cancellation_allowed
            && self.may_go_again(now, h)
        {
            self.cancels.push_back((id, h.dispatches - 1));
        }
    }
}

/// An engine's failing share. It fades, so that one few answers come from is not kept off for good.
pub(super) fn failing(e: &Engine, now: f64) -> f64 {
    if e.failing == 0.0 {
        return 0.0;
    }
    e.failing * (-(now - e.failed_at).max(0.0) / FAIL_LIFE).exp()
}

/// Not resting; one that has just rested takes one batch at a time until it does well.
pub(super) fn fit(e: &Engine, now: f64) -> bool {
    e.rests_until <= now && (failing(e, now) <= FAILING || e.batches == 0)
}
