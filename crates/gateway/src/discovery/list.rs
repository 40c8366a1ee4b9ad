//! The list of engines, under the indices that the decision module knows them by.

mod engine_table;
mod subset_log;

use super::engine_health::{EngineHealth, Reachability, ReachabilityChange};
use super::event::Event;
use super::selection::{Candidate, Selection};
use crate::system::clock::{clamped_duration, Clock};
use engine_table::{EngineTable, StateCounts};
use garnetwall::api::{Endpoint, EndpointState, EngineId, ListScope};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use subset_log::SubsetLog;
use tokio::sync::{watch, Notify};

/// Where an attempt goes; it does not change with the list.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The module's index of the engine.
    pub engine: EngineId,
    /// Where the engine listened when the target was chosen.
    pub address: SocketAddr,
}

/// An engine of the list as the decision module knows it, with what only a plan needs.
#[derive(Clone, Debug)]
pub struct EngineUpdate {
    /// The engine for the decision module.
    pub endpoint: Endpoint,
    /// The engine's name in the change log.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What an event changes for the decision module.
#[derive(Debug)]
pub struct ListChange {
    /// Engines that are new or changed.
    pub updates: Vec<EngineUpdate>,
    /// Whether the updates are the full list.
    pub scope: ListScope,
}

/// The list of engines, shared by all that read it: the full list, or the gateway's subset of it.
pub struct EngineList {
    state: Mutex<ListState>,
    clock: Clock,
    /// Whether a list was received.
    is_known: watch::Sender<bool>,
    /// The subset may have to be polled earlier, or have other candidates.
    subset_changed: Notify,
}

struct ListState {
    table: EngineTable,
    /// `None` where the gateway works with the full list.
    selection: Option<Selection>,
    subset_log: SubsetLog,
}

impl EngineList {
    /// An empty list. `retention` is how long queries may know an engine after its removal.
    pub fn new(retention: Duration, clock: Clock, selection: Option<Selection>) -> Self {
        let state = ListState {
            table: EngineTable::new(retention),
            selection,
            subset_log: SubsetLog::default(),
        };
        EngineList {
            state: Mutex::new(state),
            clock,
            is_known: watch::Sender::new(false),
            subset_changed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an event, and returns what it changes for the decision module.
    pub fn apply(&self, event: Event) -> ListChange {
        let mut state = self.state();
        let has_list = event.scope == ListScope::Full || !event.entries.is_empty();
        let change = state.apply(event, self.clock.now());
        if has_list {
            self.is_known.send_replace(true);
        }
        self.subset_changed.notify_one();
        change
    }

    /// Applies the changes of the subset that are due.
    pub(super) fn poll_subset(&self) -> Vec<EngineUpdate> {
        self.state().poll_subset(self.clock.now())
    }

    /// Waits until the subset may have something to do that was not due before.
    pub(super) async fn subset_changed(&self) {
        self.subset_changed.notified().await;
    }

    /// How long until the subset is to be polled.
    pub(super) fn time_to_subset_poll(&self) -> Option<Duration> {
        let next_poll = self.state().selection.as_ref()?.next_poll_at()?;
        Some(clamped_duration(next_poll - self.clock.now()))
    }

    /// The next engine that is to be connected to.
    pub(super) fn next_candidate(&self) -> Option<Candidate> {
        let mut state = self.state();
        let selection = state.selection.as_mut()?;
        selection.next_candidate(self.clock.now())
    }

    /// Records whether a candidate could be reached; returns the engine's name where it is still in the list.
    pub(super) fn candidate_connect_ended(
        &self,
        candidate: Candidate,
        reachability: Reachability,
    ) -> Option<String> {
        let mut state = self.state();
        let selection = state.selection.as_mut()?;
        selection.connect_ended(self.clock.now(), candidate.engine, reachability);
        selection.name(candidate.engine).map(String::from)
    }

    /// Reports to the subset what the end of an attempt says of its engine.
    pub fn attempt_ended(&self, engine: EngineId, health: EngineHealth) {
        let mut state = self.state();
        let ListState {
            table,
            selection: Some(selection),
            ..
        } = &mut *state
        else {
            return;
        };
        let Some(name) = table.name(engine) else {
            return;
        };
        let next_poll = selection.next_poll_at();
        selection.attempt_ended(self.clock.now(), name, health);
        if selection.next_poll_at() != next_poll {
            self.subset_changed.notify_one();
        }
    }

    /// Waits until a list of engines is known.
    pub async fn wait_until_known(&self) {
        // It fails only without the sender, which this list owns.
        let _ = self.is_known.subscribe().wait_for(|known| *known).await;
    }

    /// Where attempts at an engine go.
    pub fn target(&self, engine: EngineId) -> Option<Target> {
        let address = self.state().table.address(engine)?;
        Some(Target { engine, address })
    }

    /// Whether the target's engine is listed as ready for attempts, at this address.
    pub fn accepts_attempts(&self, target: Target) -> bool {
        let table = &self.state().table;
        table.state(target.engine) == Some(EndpointState::Ready)
            && table.address(target.engine) == Some(target.address)
    }

    /// Records whether an engine could be reached at this address.
    pub fn record_reachability(
        &self,
        target: Target,
        reachability: Reachability,
    ) -> ReachabilityChange {
        let table = &mut self.state().table;
        if table.address(target.engine) != Some(target.address) {
            return ReachabilityChange::Unchanged;
        }
        table.record_reachability(target.engine, reachability)
    }
}

impl ListState {
    /// Applies an event at `now`, in seconds of this process's clock.
    fn apply(&mut self, event: Event, now: f64) -> ListChange {
        let Event {
            number,
            scope,
            entries,
        } = event;
        self.table.record_starts(now, &entries);
        let Some(selection) = &mut self.selection else {
            let updates = self.table.apply(entries, scope, Instant::now());
            let StateCounts { ready, draining } = self.table.counts();
            tracing::info!(event = number, ready, draining, "engine list updated");
            return ListChange { updates, scope };
        };
        let selected = selection.apply(now, entries, scope);
        let status = selection.status();
        let updates = self.table.apply_selected(selected);
        tracing::info!(
            event = number,
            listed = status.listed,
            updated = updates.len(),
            "engine list updated"
        );
        self.subset_log.log(status);
        ListChange {
            updates,
            scope: ListScope::Delta,
        }
    }

    fn poll_subset(&mut self, now: f64) -> Vec<EngineUpdate> {
        let Some(selection) = &mut self.selection else {
            return Vec::new();
        };
        let selected = selection.poll(now);
        let status = selection.status();
        let updates = self.table.apply_selected(selected);
        if !updates.is_empty() {
            self.subset_log.log(status);
        }
        updates
    }
}

#[cfg(test)]
mod tests;
