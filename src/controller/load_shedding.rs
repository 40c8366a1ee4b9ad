//! Waiting batches for which there is no time or no room are given up, least utility for the work first.

use super::outlier_ejection::fit;
use super::{LEAST, YIELD};
use crate::api::{Query, QueryId};
use crate::state::{AdmissionController, InHand, KeyLine, Stage};

const SLACK_USE: f64 = 0.4; // part of the time to a goal that work ahead may take; both are guesses
const MOST: f64 = 0.9; // part of goal and limit a service needs at most; no group may shut itself out
const UNSURE: f64 = 1.5; // times the usual service, for goals; divided by it, for limits; most are short
const ROOMY: f64 = 0.5; // part of our room from which waiting is a price; the rest is for bursts
const LATE_SLACK: f64 = 0.2; // seconds left to a batch past its goal; better work goes first

impl AdmissionController {
    /// Utility for the work, and how long the batch can still wait for it.
    pub(super) fn prospect(&self, now: f64, h: &InHand) -> (f64, f64) {
        let c = &self.s.classes[h.b.class];
        let (alone, service) = (self.work(&h.b) / c.threads, self.service(&h.b));
        let (goal, unsure) = (
            c.latency_objective + c.latency_objective_stretch * alone,
            unsure(&h.b),
        );
        let in_goal = h.taken + goal - (unsure * service).min(goal * MOST) - now;
        let (earns, slack) = if in_goal >= 0.0 {
            (1.0, in_goal)
        } else {
            (c.late_value_share, LATE_SLACK)
        };
        let wait = slack.min(h.limit - service / unsure - now) * SLACK_USE;
        (
            c.priority_weight * earns / (alone * c.threads).max(LEAST),
            wait,
        )
    }

    /// How long a batch is likely to be out.
    pub(super) fn service(&self, b: &Query) -> f64 {
        let (c, l) = (&self.s.classes[b.class], &self.learned[b.class]);
        // A first guess, from a limit that may be hours, shuts out no batch: only answers make a better one.
        let most = if l.answers == 0 {
            c.deadline.min(b.remaining_time)
        } else {
            c.deadline
        };
        (self.work(b) / c.threads * l.slowdown).min(most * MOST)
    }

    /// No answer that earns anything can come in time, or the rules now forbid the dispatch it waits for.
    pub(super) fn hopeless(&self, now: f64, h: &InHand) -> bool {
        let (density, wait) = self.prospect(now, h);
        density <= 0.0 || wait < 0.0 || (h.dispatches > 0 && !self.may_go_again(now, h))
    }

    /// Batches of a key for which those ahead leave no time. Guards against a hot key, which no engine helps.
    pub(super) fn behind(&self, now: f64, line: &KeyLine, late: &mut Vec<QueryId>) {
        let mut ends = now;
        for id in &line.line {
            let h = &self.batches[id];
            let end = ends + self.service(&h.b) / unsure(&h.b);
            match h.stage {
                Stage::Held if end > h.limit => late.push(*id),
                Stage::Held | Stage::Queued => ends = end,
                _ => {}
            }
        }
    }

    /// Gives up what cannot be answered in time behind the better work that waits too. Guards against any
    /// lack of capacity: jumps, floods, lost engines. Harm: estimates far too high shed what would fit.
    pub(super) fn shed(&mut self, now: f64) {
        let mut late = Vec::new();
        self.keys
            .values()
            .for_each(|line| self.behind(now, line, &mut late));
        late.into_iter().for_each(|id| self.give_up(id));
        let ready = self.ready.iter().map(|e| &self.engines[*e]);
        let cores: f64 = ready
            .filter(|e| fit(e, now))
            .map(|e| self.able_cores(now, e))
            .sum();
        let rate = (cores * YIELD / self.capacity.holders(self.s.gateways)).max(LEAST);
        let queued = self.batches.values().filter(|h| h.stage == Stage::Queued);
        let mut waiting: Vec<_> = queued
            .map(|h| (self.prospect(now, h), self.work(&h.b), h.b))
            .collect();
        waiting.sort_by(|a, b| b.0 .0.total_cmp(&a.0 .0));
        let (mut ahead, mut tight, mut room) =
            (0.0, f64::INFINITY, self.spare_room() + waiting.len() as f64);
        for ((density, wait), work, b) in waiting {
            room -= 1.0;
            if density <= 0.0 || wait < 0.0 || room < 0.0 || ahead / rate > wait.min(tight) {
                self.give_up(b.id);
            } else {
                ahead += work;
                tight = tight.min(self.s.classes[b.class].latency_objective * SLACK_USE);
            }
        }
    }

    /// Batches that may still come before waiting is a price; room is what the gateway's connections allow.
    pub(super) fn spare_room(&self) -> f64 {
        self.s.capacity.map_or(f64::INFINITY, |room| {
            room * ROOMY - self.batches.len() as f64
        })
    }
}

pub(super) fn unsure(b: &Query) -> f64 {
    b.estimated_work.map_or(UNSURE, |_| 1.0)
}
