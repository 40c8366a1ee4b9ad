//! The list of engines, under the indices that the module knows them by.

use super::event::{EngineLine, Event};
use super::selection::{Candidate, Selected, Selection, Status};
use super::start_times::StartTimes;
use crate::system::clock::{span, Clock};
use garnetwall::api::{Endpoint, EndpointState, EngineId};
use garnetwall_subset::SizeReason;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify};

/// Where an attempt goes; it stays there though the list changes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub engine: EngineId,
    pub address: SocketAddr,
}

/// A line of the list under the module's index, with what only a plan asks for.
#[derive(Clone, Debug)]
pub struct EngineUpdate {
    pub listed: Endpoint,
    pub id: String,
    pub address: SocketAddr,
}

/// What an event changes for the module.
#[derive(Debug)]
pub struct ListChange {
    pub updates: Vec<EngineUpdate>,
    /// Engines that are not named have gone.
    pub whole: bool,
}

/// The list of engines, shared by all that read it: the whole list, or the gateway's subset of it.
pub struct EngineList {
    state: Mutex<State>,
    clock: Clock,
    /// Whether a list was told.
    known: watch::Sender<bool>,
    /// The subset may want to be polled earlier, or have other candidates.
    subset_changed: Notify,
}

struct State {
    list: List,
    /// None where the gateway works with the whole list.
    selection: Option<Selection>,
    /// The subset as it was logged last.
    told: Option<Status>,
}

impl EngineList {
    /// An empty list. `kept` is how long queries may know of an engine after it has gone.
    pub fn new(kept: Duration, clock: Clock, selection: Option<Selection>) -> Self {
        let state = Mutex::new(State {
            list: List::new(kept),
            selection,
            told: None,
        });
        EngineList {
            state,
            clock,
            known: watch::Sender::new(false),
            subset_changed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a change of the list and gives it under the module's indices.
    pub fn apply(&self, event: Event) -> ListChange {
        let mut state = self.state();
        // An event without a list tells none.
        let tells = event.whole || !event.lines.is_empty();
        let change = state.apply(event, self.clock.now());
        if tells {
            self.known.send_replace(true);
        }
        self.subset_changed.notify_one();
        change
    }

    /// What the subset changes by now.
    pub(super) fn poll_subset(&self) -> Vec<EngineUpdate> {
        self.state().poll_subset(self.clock.now())
    }

    /// Until the subset may have something to do that was not due before.
    pub(super) async fn subset_changed(&self) {
        self.subset_changed.notified().await;
    }

    /// How long until the subset wants to be polled.
    pub(super) fn subset_due(&self) -> Option<Duration> {
        let wake = self.state().selection.as_ref()?.wake()?;
        Some(span(wake - self.clock.now()))
    }

    /// The next engine that a connection is to be brought up to.
    pub(super) fn next_candidate(&self) -> Option<Candidate> {
        self.state()
            .selection
            .as_mut()?
            .next_candidate(self.clock.now())
    }

    /// Whether the connection to a candidate came up; the engine's id, where it is still in the list.
    pub(super) fn candidate_warmed(&self, candidate: Candidate, reached: bool) -> Option<String> {
        let mut state = self.state();
        let selection = state.selection.as_mut()?;
        selection.warmed(self.clock.now(), candidate.engine, reached);
        selection.id(candidate.engine).map(String::from)
    }

    /// Tells the subset how an attempt ended: whether its engine failed.
    pub fn attempted(&self, engine: EngineId, failed: bool) {
        let mut state = self.state();
        let State {
            list,
            selection: Some(selection),
            ..
        } = &mut *state
        else {
            return;
        };
        let Some(known) = list.known.get(engine) else {
            return;
        };
        let before = selection.wake();
        selection.attempted(self.clock.now(), &known.line.id, failed);
        if selection.wake() != before {
            self.subset_changed.notify_one();
        }
    }

    /// Until a list of engines is known.
    pub async fn known(&self) {
        // It fails only with the sender gone, which this list holds.
        let _ = self.known.subscribe().wait_for(|known| *known).await;
    }

    /// Where attempts at an engine go.
    pub fn target(&self, engine: EngineId) -> Option<Target> {
        self.state().list.known.get(engine).map(|known| Target {
            engine,
            address: known.line.address,
        })
    }

    /// Whether an engine is listed as one that takes new attempts, at this address.
    pub fn takes(&self, target: Target) -> bool {
        self.state().list.takes(target)
    }

    /// Notes whether an engine could be reached at this address; whether that was otherwise before.
    pub fn reached(&self, target: Target, reached: bool) -> bool {
        let known = &mut self.state().list.known;
        let known = known
            .get_mut(target.engine)
            .filter(|k| k.line.address == target.address);
        known.is_some_and(|known| std::mem::replace(&mut known.out_of_reach, !reached) == reached)
    }
}

impl State {
    fn apply(&mut self, event: Event, now: f64) -> ListChange {
        let Event {
            number,
            whole,
            lines,
        } = event;
        self.list
            .starts
            .hear(now, lines.iter().filter_map(|line| line.came_up));
        let Some(selection) = &mut self.selection else {
            let updates = self.list.apply(lines, whole, Instant::now());
            let Counts { ready, draining } = self.list.counts;
            tracing::info!(change = number, ready, draining, "engine list");
            return ListChange { updates, whole };
        };
        let selected = selection.apply(now, lines, whole);
        let status = selection.status();
        let updates = self.list.select(selected);
        let (Status { known, .. }, updated) = (status, updates.len());
        tracing::info!(change = number, known, updated, "engine list");
        self.tell_status(status);
        ListChange {
            updates,
            whole: false,
        }
    }

    fn poll_subset(&mut self, now: f64) -> Vec<EngineUpdate> {
        let Some(selection) = &mut self.selection else {
            return Vec::new();
        };
        let selected = selection.poll(now);
        let status = selection.status();
        let updates = self.list.select(selected);
        if !updates.is_empty() {
            self.tell_status(status);
        }
        updates
    }

    /// Logs the subset, with a warning where it begins to differ from what the settings ask for.
    fn tell_status(&mut self, status: Status) {
        let Status {
            members,
            size,
            reason,
            widened_by,
            failing,
            unreached,
            unserved_classes,
            ..
        } = status;
        tracing::info!(
            members,
            size,
            ?reason,
            widened_by,
            failing,
            unreached,
            "engine subset"
        );
        let before = self.told.replace(status);
        if reason == SizeReason::MinHolders && before.is_none_or(|before| before.reason != reason) {
            tracing::warn!(size, "subset.size is too small for so few gateways: raised");
        }
        if unserved_classes > before.map_or(0, |before| before.unserved_classes) {
            tracing::warn!(
                unserved_classes,
                "the list has no engine for a set of zones and kinds"
            );
        }
    }
}

struct List {
    ids: HashMap<String, EngineId>,
    /// By the module's index.
    known: Vec<Known>,
    counts: Counts,
    /// How many changes were applied.
    changes: u64,
    starts: StartTimes,
    /// An index is another engine's once its own has been gone for this long: no query knows of it then.
    kept: Duration,
    /// Engines that have gone and whose indices are still kept, by when they went.
    gone: BTreeSet<(Instant, EngineId)>,
    /// Indices that were kept for long enough.
    free: BTreeSet<EngineId>,
}

struct Known {
    line: EngineLine,
    /// When it started, on this process's clock.
    started: Option<f64>,
    gone: Option<Instant>,
    /// Its last call came to nothing.
    out_of_reach: bool,
    /// The change that named it last.
    named_by: u64,
}

/// Engines in the list by their conditions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    ready: usize,
    draining: usize,
}

impl Counts {
    fn add(&mut self, condition: EndpointState) {
        match condition {
            EndpointState::Ready => self.ready += 1,
            EndpointState::Draining => self.draining += 1,
            EndpointState::Removed => {}
        }
    }

    fn remove(&mut self, condition: EndpointState) {
        match condition {
            EndpointState::Ready => self.ready -= 1,
            EndpointState::Draining => self.draining -= 1,
            EndpointState::Removed => {}
        }
    }
}

impl List {
    fn new(kept: Duration) -> Self {
        List {
            ids: HashMap::new(),
            known: Vec::new(),
            counts: Counts::default(),
            changes: 0,
            starts: StartTimes::new(),
            kept,
            gone: BTreeSet::new(),
            free: BTreeSet::new(),
        }
    }

    /// Whether its engine is listed as one that takes new attempts, at this address.
    fn takes(&self, target: Target) -> bool {
        let line = self.known.get(target.engine).map(|known| &known.line);
        line.is_some_and(|l| l.condition == EndpointState::Ready && l.address == target.address)
    }

    /// Takes in lines of the subset.
    fn select(&mut self, selected: Vec<Selected>) -> Vec<EngineUpdate> {
        let now = Instant::now();
        let take = |Selected { line, holders }| self.take(line, Some(holders), now);
        selected.into_iter().filter_map(take).collect()
    }

    /// Takes in lines; engines that a whole list does not name have gone.
    fn apply(&mut self, lines: Vec<EngineLine>, whole: bool, now: Instant) -> Vec<EngineUpdate> {
        self.changes += 1;
        let updates = lines
            .into_iter()
            .filter_map(|line| self.take(line, None, now))
            .collect();
        if whole {
            let unnamed = |known: &Known| known.named_by != self.changes;
            let unnamed: Vec<EngineId> = (0..self.known.len())
                .filter(|n| unnamed(&self.known[*n]))
                .collect();
            unnamed
                .into_iter()
                .for_each(|engine| self.turn(engine, EndpointState::Removed, now));
        }
        updates
    }

    /// Takes in a line; one of an engine that was never known and has gone says nothing.
    fn take(
        &mut self,
        line: EngineLine,
        holders: Option<f64>,
        now: Instant,
    ) -> Option<EngineUpdate> {
        let engine = match self.ids.get(&line.id) {
            Some(engine) => *engine,
            None if line.condition == EndpointState::Removed => return None,
            None => self.index(&line, now),
        };
        let started = self.started(engine, &line);
        let listed = Endpoint {
            engine,
            zone: line.zone,
            kind: line.kind,
            cell: line.cell,
            started_at: started,
            state: line.condition,
            gateways: holders,
        };
        self.turn(engine, line.condition, now);
        let update = EngineUpdate {
            listed,
            id: line.id.clone(),
            address: line.address,
        };
        let known = self.known.get_mut(engine)?;
        (known.line, known.started, known.named_by) = (line, started, self.changes);
        Some(update)
    }

    /// When an engine started by this line of it; a start that was told before stays what it was held to be.
    fn started(&self, engine: EngineId, line: &EngineLine) -> Option<f64> {
        let before = self
            .known
            .get(engine)
            .filter(|known| known.line.came_up == line.came_up);
        before
            .and_then(|known| known.started)
            .or_else(|| line.came_up.map(|told| self.starts.latest(told)))
    }

    /// An index for a new engine: the lowest of those long gone, or the next.
    fn index(&mut self, line: &EngineLine, now: Instant) -> EngineId {
        while let Some((_, engine)) = self
            .gone
            .first()
            .copied()
            .filter(|(at, _)| now - *at > self.kept)
        {
            self.gone.pop_first();
            self.free.insert(engine);
        }
        let engine = self.free.pop_first().unwrap_or(self.known.len());
        let line = EngineLine {
            condition: EndpointState::Removed,
            ..line.clone()
        };
        self.ids.insert(line.id.clone(), engine);
        let new = Known {
            line,
            started: None,
            gone: None,
            out_of_reach: false,
            named_by: 0,
        };
        match self.known.get_mut(engine) {
            Some(old) => drop(self.ids.remove(&std::mem::replace(old, new).line.id)),
            None => self.known.push(new),
        }
        engine
    }

    /// Gives an engine another condition; one that has gone before went then.
    fn turn(&mut self, engine: EngineId, condition: EndpointState, now: Instant) {
        let Some(known) = self.known.get_mut(engine) else {
            return;
        };
        self.counts.remove(known.line.condition);
        self.counts.add(condition);
        known.line.condition = condition;
        let went = known.gone;
        known.gone = (condition == EndpointState::Removed).then(|| went.unwrap_or(now));
        if went == known.gone {
            return;
        }
        if let Some(at) = went {
            self.gone.remove(&(at, engine));
            self.free.remove(&engine);
        }
        if let Some(at) = known.gone {
            self.gone.insert((at, engine));
        }
    }
}

#[cfg(test)]
mod tests;
