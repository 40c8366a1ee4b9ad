//! A hollow engine: attempts share its cores; a cold one is slow, and crashes when it is overloaded.

use super::cold_engine::{self, ColdWindow, ColdWork};
use super::experiment::Cold;
use super::identifiers::AttemptKey;
use super::time::SimTime;
use std::collections::BTreeSet;

/// While it warms up its speed is computed again at this interval.
const WARMUP_STEP_SECONDS: f64 = 0.25;
/// Progress is compared in units of a nanosecond on one core.
const PROGRESS_UNITS_PER_CORE_SECOND: f64 = 1e9;
/// Attempts that lack less than this many units are done; a tenth of a microsecond's rounding.
const COMPLETION_TOLERANCE_UNITS: u64 = 2_000;

/// Whether an engine's process runs and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    Up,
    /// It takes attempts and answers none.
    Silent,
    Down,
    /// It has been replaced and is not started again.
    Retired,
}

/// An engine's place and hardware.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub zone: usize,
    pub rack: usize,
    pub kind: usize,
    pub cores: f64,
}

/// Whether an engine that received an attempt still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    Runs,
    /// The attempt overloaded it: its process ends, with all attempts.
    Crashed,
}

/// An attempt that runs; those that are done first come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunningAttempt {
    /// The progress at which it is done, in [`PROGRESS_UNITS_PER_CORE_SECOND`].
    done_at: u64,
    key: AttemptKey,
}

/// A hollow engine.
pub struct Engine {
    pub site: Site,
    pub state: EngineState,
    /// When its process started; `None` for one that was warm when the simulation began.
    pub started: Option<SimTime>,
    running: BTreeSet<RunningAttempt>,
    /// Seconds on one core that each attempt present all the time would have had.
    progress: f64,
    updated: SimTime,
    /// When the next event of this engine is due.
    pub due: Option<SimTime>,
    window: ColdWindow,
}

impl Engine {
    pub fn new(site: Site, started: Option<SimTime>) -> Engine {
        Engine {
            site,
            state: EngineState::Up,
            started,
            running: BTreeSet::new(),
            progress: 0.0,
            updated: SimTime::START,
            due: None,
            window: ColdWindow::default(),
        }
    }

    pub fn reachable(&self) -> bool {
        matches!(self.state, EngineState::Up | EngineState::Silent)
    }

    fn cold_age(&self, cold: &Cold, now: SimTime) -> Option<f64> {
        self.started
            .map(|started| now.since(started))
            .filter(|age| *age < cold.warm_after)
    }

    pub fn effective_cores(&self, cold: &Cold, now: SimTime) -> f64 {
        let age = self.cold_age(cold, now).unwrap_or(cold.warm_after);
        cold_engine::effective_cores(cold, self.site.cores, age)
    }

    /// Share of its usable cores that attempts keep busy.
    pub fn utilisation(&self, cold: &Cold, now: SimTime) -> f64 {
        (self.running.len() as f64 / self.effective_cores(cold, now)).min(1.0)
    }

    /// Seconds on one core that each attempt gets in a second.
    fn speed(&self, cold: &Cold, now: SimTime) -> f64 {
        if self.state != EngineState::Up || self.running.is_empty() {
            return 0.0;
        }
        (self.effective_cores(cold, now) / self.running.len() as f64).min(1.0)
    }

    /// Brings the progress up to now.
    fn advance(&mut self, cold: &Cold, now: SimTime) {
        self.progress += now.since(self.updated) * self.speed(cold, self.updated);
        self.updated = now;
    }

    /// Takes an attempt; returns the progress at which it is done, by which it can be withdrawn.
    pub fn receive(
        &mut self,
        cold: &Cold,
        mean_work: f64,
        now: SimTime,
        key: AttemptKey,
        work: f64,
    ) -> (u64, Received) {
        self.advance(cold, now);
        let done_at = ((self.progress + work) * PROGRESS_UNITS_PER_CORE_SECOND) as u64;
        self.running.insert(RunningAttempt { done_at, key });
        if self.cold_age(cold, now).is_none() {
            return (done_at, Received::Runs);
        }
        let sum = self.window.add(
            cold,
            mean_work,
            ColdWork {
                received_at: now,
                work,
                notified: true,
            },
        );
        let limit =
            cold_engine::limit_queries(cold_engine::budget(cold, self.site.cores, mean_work));
        let received = if sum.all > limit {
            Received::Crashed
        } else {
            Received::Runs
        };
        (done_at, received)
    }

    /// Takes an attempt back; whether it still ran.
    pub fn withdraw(&mut self, cold: &Cold, now: SimTime, done_at: u64, key: AttemptKey) -> bool {
        self.advance(cold, now);
        self.running.remove(&RunningAttempt { done_at, key })
    }

    /// The attempts that are done by now.
    pub fn finished(&mut self, cold: &Cold, now: SimTime) -> Vec<AttemptKey> {
        self.advance(cold, now);
        let done =
            (self.progress * PROGRESS_UNITS_PER_CORE_SECOND) as u64 + COMPLETION_TOLERANCE_UNITS;
        let mut finished = Vec::new();
        while self
            .running
            .first()
            .is_some_and(|attempt| attempt.done_at <= done)
        {
            finished.extend(self.running.pop_first().map(|attempt| attempt.key));
        }
        finished
    }

    /// When its next event is due: the end of an attempt, or sooner while it warms up.
    pub fn next_due(&self, cold: &Cold, now: SimTime) -> Option<SimTime> {
        let speed = self.speed(cold, now);
        let first = self.running.first().filter(|_| speed > 0.0)?;
        let left = (first.done_at as f64 / PROGRESS_UNITS_PER_CORE_SECOND - self.progress).max(0.0)
            / speed;
        let limit = if self.cold_age(cold, now).is_some() {
            WARMUP_STEP_SECONDS
        } else {
            f64::INFINITY
        };
        Some(now.after(left.min(limit)))
    }

    /// Ends the process, with all that ran on it.
    pub fn stop(&mut self, cold: &Cold, now: SimTime, state: EngineState) -> Vec<AttemptKey> {
        self.advance(cold, now);
        self.state = state;
        std::mem::take(&mut self.running)
            .into_iter()
            .map(|attempt| attempt.key)
            .collect()
    }

    /// Starts a new process, which is cold.
    pub fn start(&mut self, now: SimTime) {
        self.state = EngineState::Up;
        self.started = Some(now);
        self.updated = now;
        self.window.clear();
    }

    /// Stops or resumes answering; attempts make no progress while it is silent.
    pub fn silence(&mut self, cold: &Cold, now: SimTime, silent: bool) {
        self.advance(cold, now);
        self.state = match (self.state, silent) {
            (EngineState::Up, true) => EngineState::Silent,
            (EngineState::Silent, false) => EngineState::Up,
            (state, _) => state,
        };
    }
}

#[cfg(test)]
mod tests;
