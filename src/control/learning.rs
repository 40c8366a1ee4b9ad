//! Work, memory and slowdown of a service group, as answers tell them; they set estimates and grants.

use super::LEAST;
use crate::api::{Batch, EngineId, Outcome};
use crate::state::Control;

const LEARN: f64 = 0.02; // weight of one answer in learned averages; the last fifty or so count
const SLOWEST: f64 = 20.0; // times its bare work one answer counts at most; one that stood still tells little
const GRANT_COVERS: f64 = 0.85; // share of batches that grants cover; a spill costs more than spare memory
const GRANT_STEP: f64 = 0.05; // part by which one answer moves it; some twenty settle it

impl Control {
    pub(super) fn learn(&mut self, b: &Batch, o: &Outcome, slowdown: f64) {
        let l = &mut self.learned[b.group];
        l.answers += 1;
        let weight = LEARN.max(1.0 / f64::from(l.answers));
        let work = o
            .work
            .unwrap_or(o.latency * self.s.groups[b.group].threads)
            .max(LEAST);
        l.work.learn(weight, work, b.cost);
        if let Some(told) = o.memory {
            l.memory.learn(weight, told, b.memory);
            let covered = b.memory.is_none_or(|estimate| told <= estimate * l.grant);
            l.grant *= 1.0 + GRANT_STEP * (GRANT_COVERS - if covered { 1.0 } else { 0.0 });
        }
        l.slowdown += weight * (slowdown.clamp(1.0, SLOWEST) - l.slowdown);
    }

    /// Work of a batch in seconds on one thread: its estimate corrected by what answers told, or the usual.
    pub(super) fn work(&self, b: &Batch) -> f64 {
        self.learned[b.group].work.guess(b.cost)
    }

    /// Memory that a batch is likely to need; 0 where nothing tells.
    pub(super) fn need(&self, b: &Batch) -> f64 {
        self.learned[b.group].memory.guess(b.memory)
    }

    pub(super) fn grant(&self, b: &Batch, engine: EngineId) -> Option<f64> {
        let estimate = b.memory.filter(|_| self.s.grants)?;
        let most = self.engines[engine]
            .memory
            .map_or(f64::INFINITY, |m| m * self.s.largest_grant);
        Some((estimate * self.learned[b.group].grant).min(most))
    }
}
