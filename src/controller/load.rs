//! What reports and answers tell of the load of engines and of whole kinds, and our slice of a kind.

use super::{FAIL_LIFE, LEAST, OVERDUE};
use crate::api::{EngineId, LoadReport, Query};
use crate::state::{AdmissionController, Candidate, Engine, Level};

const MARK: f64 = 1.5; // threads a core that an engine is filled to; the design's figure
const MEMORY_MARK: f64 = 0.7; // share of memory that stands for the mark; gateways are uneven, needs guesses
const UNEVEN: f64 = 1.2; // slices of memory a gateway may fill while nothing is pressed; gateways are uneven
const BUSY_AT_MARK: f64 = 0.9; // share of cores busy that stands for the mark; threads also read and write
const HEARD_LIFE: f64 = 2.0; // seconds in which what was heard of a kind fades; a jam comes that fast
const IDLE_GUESS: f64 = 0.5; // weight of the guess that a kind is idle; half a thing heard just now
const FLOODED: f64 = 2.0; // marks of our own threads that are pressure alone; cores idle while disks are full
const USED_UP: f64 = 0.95; // share of disks busy at the mark; reports are noisy
const WAITING_BUSY: f64 = 0.1; // batches a core waiting for memory at the mark; any line is a bad sign

impl AdmissionController {
    pub fn load_reported(&mut self, now: f64, engine: EngineId, report: LoadReport) {
        let Some(e) = self.engines.get_mut(engine) else {
            return;
        };
        (e.heard, e.threads_then) = (true, e.threads);
        let waiting = report
            .waiting_for_memory
            .map_or(0.0, |w| w / (WAITING_BUSY * e.cores));
        let disks = report.disk_utilisation.map_or(0.0, |share| share / USED_UP);
        let (thread_seconds, seconds) = self.ran;
        let threads = report
            .in_flight
            .map_or(0.0, |n| n * thread_seconds / seconds.max(LEAST));
        self.tells_cores = report.cpu_utilisation.is_some();
        let cores = report.cpu_utilisation.map_or(0.0, |u| u / BUSY_AT_MARK);
        let marks = cores
            .max(disks)
            .max(waiting.min(2.0))
            .max(threads / (e.cores * MARK));
        self.kinds
            .entry(e.kind())
            .or_default()
            .told
            .add(now, HEARD_LIFE, marks);
        let pool = self.pool(now, self.engines[engine].kind());
        let e = &mut self.engines[engine];
        let level = level(now, pool, e);
        (e.level, e.level_at, e.told_at) = (marks.max((marks + level) / 2.0), now, now);
    }

    /// Takes an answer's word on load; while a report is fresh it ranks the engine but does not close it.
    /// Guards against engines that look idle because all that they hold stands still.
    pub(super) fn feel(&mut self, now: f64, engine: EngineId, marks: f64) {
        let kind = self.engines[engine].kind();
        self.kinds
            .entry(kind)
            .or_default()
            .felt
            .add(now, HEARD_LIFE, marks);
        let pool = self.pool(now, kind);
        let e = &mut self.engines[engine];
        let level = level(now, pool, e);
        if marks > level {
            let since = (e.threads - e.threads_then) / (e.cores * MARK);
            let most = if now - e.told_at < HEARD_LIFE {
                level.max(1.0 - LEAST)
            } else {
                OVERDUE
            };
            (e.level, e.level_at) = (((level + marks) / 2.0).min(most) - since, now);
        }
    }

    /// Marks at which engines of a kind are held to run, by reports or by how slow answers are. Where no
    /// utilisation is told, what reports tell counts under pressure only.
    pub(super) fn pool(&self, now: f64, kind: usize) -> f64 {
        let Some(k) = self.kinds.get(&kind) else {
            return 0.0;
        };
        let mean = |l: &Level| l.mean(now, HEARD_LIFE, IDLE_GUESS);
        let (told, felt) = (mean(&k.told), mean(&k.felt));
        let told = if felt >= 1.0 || self.tells_cores {
            told
        } else {
            0.0
        };
        told.max(felt)
    }

    /// Our threads, under pressure, and memory in marks of our slice of a whole kind. Guards against many
    /// gateways that each start little, together too much: a slice of one engine is less than a batch.
    pub(super) fn shared(&self, now: f64, kind: usize, cores: f64, b: &Query) -> f64 {
        let (pool, need, threads) = (
            self.pool(now, kind),
            self.need(b),
            self.s.classes[b.class].threads,
        );
        let Some(k) = self.kinds.get(&kind) else {
            return 0.0;
        };
        let holders = k.ready.holders(self.s.gateways);
        let by_threads = (k.threads + threads) / (cores * MARK / holders).max(threads);
        let memory = k.ready.memory * cores / k.ready.cores.max(LEAST);
        let slice = (memory * MEMORY_MARK / holders).max(need).max(LEAST);
        let by_memory = if k.ready.memory > 0.0 {
            (k.memory_used + need) / slice
        } else {
            0.0
        };
        if pool < 1.0 {
            by_memory / UNEVEN
        } else {
            (pool + by_threads.max(by_memory)) / 2.0
        }
    }

    /// How full an engine is with this batch, in marks: by its reported utilisation or our threads against
    /// our slice, and by the memory of ours, which guards against spilling and paging.
    pub(super) fn marks(&self, b: &Query, need: f64, c: &Candidate, level: f64, pool: f64) -> f64 {
        let (e, threads) = (&self.engines[c.engine], self.s.classes[b.class].threads);
        let ours = (e.threads + threads) / (c.able_cores * MARK / e.holders).max(threads);
        let told = if !self.tells_cores && pool < 1.0 {
            0.0
        } else {
            level
        };
        let by_threads = if told < 1.0 && ours <= FLOODED {
            told
        } else {
            told.max(ours)
        };
        let room = |m: f64| (m * MEMORY_MARK / e.holders).max(need);
        let by_memory = e.memory.map_or(0.0, |m| (e.memory_used + need) / room(m));
        by_threads.max(by_memory)
    }
}

/// Marks at which an engine is held to run: as heard, fading to the mean of its kind.
pub(super) fn level(now: f64, pool: f64, e: &Engine) -> f64 {
    let since = (e.threads - e.threads_then) / (e.cores * MARK);
    pool + (e.level + since - pool) * (-(now - e.level_at).max(0.0) / FAIL_LIFE).exp()
}

/// Our threads a core in the mean over the engines that have told something.
pub(super) fn average_load(candidates: &[Candidate]) -> f64 {
    let loads = candidates.iter().filter_map(|c| c.load);
    let (count, sum) = loads.fold((0, 0.0), |(count, sum), load| (count + 1, sum + load));
    sum / f64::from(count.max(1))
}
