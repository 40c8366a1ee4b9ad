//! Maintains the engine list of this gateway: the engines that it may use, by the decision module's indices.
//!
//! Without an engine subset the list holds all engines of the change log, otherwise the members of the subset.
//! Scheduling and the engine connections read the list while [`super::driver`] applies updates to it.

mod address_claims;
mod engine_table;
mod subset_log;

use super::engine_health::{EngineHealth, Reachability, ReachabilityChange};
use super::event::Event;
use super::selection::{Candidate, SubsetSelection};
use crate::system::clock::{clamped_duration, Clock};
use address_claims::AddressClaims;
use engine_table::{EngineTable, StateCounts};
use garnetwall::api::{Endpoint, EndpointState, EngineId, ListScope};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use subset_log::SubsetLog;
use tokio::sync::{watch, Notify};

/// The destination of an attempt or of a health check. Later changes of the list do not affect it.
#[derive(Clone, Copy, Debug)]
pub struct EngineTarget {
    /// The decision module's index of the engine.
    pub engine: EngineId,
    /// The address at which the engine listened when the target was created.
    pub address: SocketAddr,
}

/// The new state of an engine: the endpoint for the decision module, and the name and address, by which plans select
/// engines.
#[derive(Clone, Debug)]
pub struct EngineUpdate {
    /// The engine as passed to the decision module.
    pub endpoint: Endpoint,
    /// The engine's name in the change log.
    pub name: String,
    /// The address at which the engine listens.
    pub address: SocketAddr,
}

/// A change of the engine list for the decision module, caused by an event or by a poll of the engine subset.
#[derive(Debug)]
pub struct ListChange {
    /// The new, changed and removed engines. Engines that a full list leaves out have no update.
    pub updates: Vec<EngineUpdate>,
    /// Whether `updates` is the full list, so that all other engines are removed. Always a delta with an engine subset.
    pub scope: ListScope,
}

/// The engine list, shared by all its readers: the full list of the change log, or the gateway's subset of it.
pub struct EngineList {
    state: Mutex<ListState>,
    clock: Clock,
    /// Whether a full list, or at least one entry, was received.
    is_known: watch::Sender<bool>,
    /// Notified when the subset may have to be polled earlier than before, or may have new candidates.
    subset_changed: Notify,
}

struct ListState {
    /// Which engine each address belongs to.
    claims: AddressClaims,
    table: EngineTable,
    /// `None` if no engine subset is configured, and the gateway uses the full list.
    selection: Option<SubsetSelection>,
    subset_log: SubsetLog,
}

impl EngineList {
    /// Creates an empty list. `retention` is the longest time for which queries may refer to an engine after its
    /// removal. `selection` chooses the engine subset; `None` means the full list.
    pub fn new(retention: Duration, clock: Clock, selection: Option<SubsetSelection>) -> Self {
        let state = ListState {
            claims: AddressClaims::default(),
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

    /// Applies an event of the change log and returns the resulting change for the decision module.
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

    /// Applies the changes of the engine subset that are due, and returns the updates. Empty without a subset.
    pub(super) fn poll_subset(&self) -> Vec<EngineUpdate> {
        self.state().poll_subset(self.clock.now())
    }

    /// Waits until the subset may have to be polled earlier than before, or may have new candidates.
    pub(super) async fn subset_changed(&self) {
        self.subset_changed.notified().await;
    }

    /// The time until the subset has to be polled next; `None` without a subset or if no poll is due.
    pub(super) fn time_to_subset_poll(&self) -> Option<Duration> {
        let next_poll = self.state().selection.as_ref()?.next_poll_at()?;
        Some(clamped_duration(next_poll - self.clock.now()))
    }

    /// Takes the next engine to which a connection is to be opened; `None` if there is none or no subset.
    pub(super) fn next_candidate(&self) -> Option<Candidate> {
        let mut state = self.state();
        let selection = state.selection.as_mut()?;
        selection.next_candidate(self.clock.now())
    }

    /// Records whether a candidate could be reached. Returns the engine's name if it is still in the change log's list.
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

    /// Reports the health of an engine, as seen at the end of an attempt, to the subset. Without a subset, or for an
    /// unknown engine, nothing happens.
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

    /// Waits until a full list, or at least one entry, has been received.
    pub async fn wait_until_known(&self) {
        // Fails only when the sender is dropped, but this list owns it.
        let _ = self.is_known.subscribe().wait_for(|known| *known).await;
    }

    /// Returns the target of attempts at an engine; `None` if no engine has this index.
    pub fn target(&self, engine: EngineId) -> Option<EngineTarget> {
        let address = self.state().table.address(engine)?;
        Some(EngineTarget { engine, address })
    }

    /// Whether the target's engine is ready for attempts and still has the target's address.
    pub fn accepts_attempts(&self, target: EngineTarget) -> bool {
        let table = &self.state().table;
        table.state(target.engine) == Some(EndpointState::Ready)
            && table.address(target.engine) == Some(target.address)
    }

    /// Records whether the target's engine could be reached, if it still has the target's address.
    pub fn record_reachability(
        &self,
        target: EngineTarget,
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
    /// Applies an event at `now`, in seconds of the process clock.
    fn apply(&mut self, event: Event, now: f64) -> ListChange {
        let Event {
            number,
            scope,
            entries,
        } = event;
        let entries = self.claims.resolve(entries, scope);
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
