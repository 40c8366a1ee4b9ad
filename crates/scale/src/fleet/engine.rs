//! Simulates an engine: its attempts share its cores, and a cold engine is slower and crashes when overloaded.

use super::cold_engine::{self, ColdWindow, ColdWork};
use super::experiment::SlowStartSettings;
use super::identifiers::AttemptKey;
use super::time::SimTime;
use std::collections::BTreeSet;

/// Interval at which the speed of an engine is recomputed while it warms up.
const WARMUP_STEP_SECONDS: f64 = 0.25;
/// Progress is compared in whole units of a nanosecond on one core.
const PROGRESS_UNITS_PER_CORE_SECOND: f64 = 1e9;
/// An attempt that lacks at most this many units of progress (2 µs on one core) is done. The tolerance covers rounding
/// errors of about a tenth of a microsecond.
const COMPLETION_TOLERANCE_UNITS: u64 = 2_000;

/// Whether an engine's process runs and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    Up,
    /// The engine accepts attempts but makes no progress and does not answer.
    Silent,
    Down,
    /// The engine was replaced and will not start again.
    Retired,
}

/// The location and hardware of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub zone: usize,
    /// Number of the rack, counted over all zones.
    pub rack: usize,
    pub kind: usize,
    pub cores: f64,
}

/// Whether an engine is still running after it received an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    Running,
    /// The attempt overloaded the cold engine; the caller has to end its process and all its attempts.
    Crashed,
}

/// A running attempt, ordered by when it is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunningAttempt {
    /// The engine's progress at which the attempt is done, in units of 1 / [`PROGRESS_UNITS_PER_CORE_SECOND`] seconds.
    done_at: u64,
    key: AttemptKey,
}

/// A simulated engine.
pub struct Engine {
    pub site: Site,
    pub state: EngineState,
    /// When the process started; `None` for an engine that was warm when the simulation began.
    pub started: Option<SimTime>,
    running: BTreeSet<RunningAttempt>,
    /// Core seconds that an attempt running since the creation of the engine would have received.
    progress: f64,
    /// When `progress` was last updated.
    updated: SimTime,
    /// When the engine's next scheduled event is due.
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

    /// Returns whether connections to the engine succeed.
    pub fn reachable(&self) -> bool {
        matches!(self.state, EngineState::Up | EngineState::Silent)
    }

    /// Returns the seconds since the start of a cold engine; `None` if the engine is warm.
    fn cold_age(&self, cold: &SlowStartSettings, now: SimTime) -> Option<f64> {
        self.started
            .map(|started| now.since(started))
            .filter(|age| *age < cold.warm_after)
    }

    /// Returns the number of cores that the engine can use now, which is reduced while it is cold.
    pub fn effective_cores(&self, cold: &SlowStartSettings, now: SimTime) -> f64 {
        let age = self.cold_age(cold, now).unwrap_or(cold.warm_after);
        cold_engine::effective_cores(cold, self.site.cores, age)
    }

    /// Returns the share (0 to 1) of the usable cores that are busy. Each attempt uses at most one core.
    pub fn utilisation(&self, cold: &SlowStartSettings, now: SimTime) -> f64 {
        (self.running.len() as f64 / self.effective_cores(cold, now)).min(1.0)
    }

    /// Returns the core seconds that each attempt receives per second, at most 1; 0 unless the engine is up and has
    /// attempts.
    fn speed(&self, cold: &SlowStartSettings, now: SimTime) -> f64 {
        if self.state != EngineState::Up || self.running.is_empty() {
            return 0.0;
        }
        (self.effective_cores(cold, now) / self.running.len() as f64).min(1.0)
    }

    /// Updates the progress to the time `now`.
    fn advance(&mut self, cold: &SlowStartSettings, now: SimTime) {
        self.progress += now.since(self.updated) * self.speed(cold, self.updated);
        self.updated = now;
    }

    /// Starts an attempt of `work` core seconds. Returns the progress at which the attempt is done, which
    /// [`Engine::withdraw`] needs, and whether the engine survives.
    pub fn receive(
        &mut self,
        cold: &SlowStartSettings,
        mean_work: f64,
        now: SimTime,
        key: AttemptKey,
        work: f64,
    ) -> (u64, ReceiveOutcome) {
        self.advance(cold, now);
        let done_at = ((self.progress + work) * PROGRESS_UNITS_PER_CORE_SECOND) as u64;
        self.running.insert(RunningAttempt { done_at, key });
        if self.cold_age(cold, now).is_none() {
            return (done_at, ReceiveOutcome::Running);
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
            ReceiveOutcome::Crashed
        } else {
            ReceiveOutcome::Running
        };
        (done_at, received)
    }

    /// Removes an attempt; returns whether it was still running.
    pub fn withdraw(
        &mut self,
        cold: &SlowStartSettings,
        now: SimTime,
        done_at: u64,
        key: AttemptKey,
    ) -> bool {
        self.advance(cold, now);
        self.running.remove(&RunningAttempt { done_at, key })
    }

    /// Removes and returns the attempts that are done.
    pub fn finished(&mut self, cold: &SlowStartSettings, now: SimTime) -> Vec<AttemptKey> {
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

    /// Returns when the next event is due: when the next attempt is done, but while the engine is cold at most
    /// [`WARMUP_STEP_SECONDS`] from now. Returns `None` if no attempt makes progress.
    pub fn next_due(&self, cold: &SlowStartSettings, now: SimTime) -> Option<SimTime> {
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

    /// Ends the process, sets `state`, and returns the attempts that were running.
    pub fn stop(
        &mut self,
        cold: &SlowStartSettings,
        now: SimTime,
        state: EngineState,
    ) -> Vec<AttemptKey> {
        self.advance(cold, now);
        self.state = state;
        std::mem::take(&mut self.running)
            .into_iter()
            .map(|attempt| attempt.key)
            .collect()
    }

    /// Starts a new, cold process.
    pub fn start(&mut self, now: SimTime) {
        self.state = EngineState::Up;
        self.started = Some(now);
        self.updated = now;
        self.window.clear();
    }

    /// Makes a running engine silent, or a silent one answer again. Attempts make no progress while it is silent.
    pub fn set_silent(&mut self, cold: &SlowStartSettings, now: SimTime, silent: bool) {
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
