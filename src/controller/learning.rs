//! Work, memory and slowdown of a service group, as answers tell them; they set estimates and grants.

use super::LEAST;
use crate::api::{AttemptOutcome, EngineId, Query};
use crate::state::AdmissionController;

const LEARN: f64 = 0.02; // weight of one answer in learned averages; the last fifty or so count
const SLOWEST: f64 = 20.0; // times its bare work one answer counts at most; one that stood still tells little
const GRANT_COVERS: f64 = 0.85; // share of batches that grants cover; a spill costs more than spare memory
const GRANT_STEP: f64 = 0.05; // part by which one answer moves it; some twenty settle it

impl AdmissionController {
    pub(super) fn learn(&mut self, b: &Query, o: &AttemptOutcome, slowdown: f64) {
        let l = &mut self.learned[b.class];
        l.answers += 1;
        let weight = LEARN.max(1.0 / f64::from(l.answers));
        let work = o
            .work
            .unwrap_or(o.latency * self.s.classes[b.class].threads)
            .max(LEAST);
        l.work.learn(weight, work, b.estimated_work);
        if let Some(told) = o.memory {
            l.memory.learn(weight, told, b.estimated_memory);
            let covered = b
                .estimated_memory
                .is_none_or(|estimate| told <= estimate * l.grant);
            l.grant *= 1.0 + GRANT_STEP * (GRANT_COVERS - if covered { 1.0 } else { 0.0 });
        }
        l.slowdown += weight * (slowdown.clamp(1.0, SLOWEST) - l.slowdown);
    }

    /// Work of a batch in seconds on one thread: its estimate corrected by what answers told, or the usual.
    pub(super) fn work(&self, b: &Query) -> f64 {
        self.learned[b.class].work.guess(b.estimated_work)
    }

    /// Memory that a batch is likely to need; 0 where nothing tells.
    pub(super) fn need(&self, b: &Query) -> f64 {
        self.learned[b.class].memory.guess(b.estimated_memory)
    }

    pub(super) fn grant(&self, b: &Query, engine: EngineId) -> Option<f64> {
        let estimate = b.estimated_memory.filter(|_| self.s.memory_grants)?;
        let most = self.engines[engine]
            .memory
            .map_or(f64::INFINITY, |m| m * self.s.max_grant_fraction);
        Some((estimate * self.learned[b.class].grant).min(most))
    }
}
