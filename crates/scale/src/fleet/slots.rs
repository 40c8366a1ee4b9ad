//! Assigns the dense engine indices (slots) that a decision module uses for the members of its subset.
//!
//! A slot is reused only when no attempt at its previous engine is in flight.

use garnetwall::api::{Endpoint, EngineId};
use garnetwall_subset::EngineKey;
use std::collections::HashMap;

/// An engine that occupies a slot.
pub struct Member {
    pub key: EngineKey,
    /// The engine's number in the simulation.
    pub engine: usize,
    /// Approximate number of gateways that hold the engine.
    pub holders: f64,
    /// Number of attempts in flight.
    pub open: u32,
    /// Whether the engine takes new attempts; `false` while a member that left finishes its attempts in flight.
    pub joined: bool,
    /// The endpoint that was last passed to the decision module; `None` until the first update.
    pub endpoint: Option<Endpoint>,
}

/// Members indexed by slot and by key.
#[derive(Default)]
pub struct Slots {
    members: Vec<Option<Member>>,
    by_key: HashMap<EngineKey, EngineId>,
    free: Vec<EngineId>,
}

/// The outcome of [`Slots::leave`].
pub struct LeaveOutcome {
    pub slot: EngineId,
    pub engine: usize,
    /// Whether no attempt was in flight, so that the slot is free again.
    pub freed: bool,
    pub endpoint: Option<Endpoint>,
}

/// The outcome of [`Slots::attempt_ended`].
pub struct AttemptEndOutcome {
    pub key: EngineKey,
    /// Whether this was the last attempt in flight at a member that left, so that the slot is free again.
    pub freed: bool,
}

impl Slots {
    pub fn get(&self, slot: EngineId) -> Option<&Member> {
        self.members.get(slot)?.as_ref()
    }

    pub fn get_mut(&mut self, slot: EngineId) -> Option<&mut Member> {
        self.members.get_mut(slot)?.as_mut()
    }

    /// Returns the slot and the member of an engine that takes new attempts.
    pub fn joined(&mut self, key: EngineKey) -> Option<(EngineId, &mut Member)> {
        let slot = *self.by_key.get(&key)?;
        let member = self
            .members
            .get_mut(slot)?
            .as_mut()
            .filter(|member| member.joined)?;
        Some((slot, member))
    }

    /// Returns the engine in the lowest used slot.
    pub fn first_engine(&self) -> Option<usize> {
        self.members
            .iter()
            .flatten()
            .next()
            .map(|member| member.engine)
    }

    /// Adds an engine in a free or new slot. An engine that left but still has attempts in flight keeps its slot.
    pub fn join(&mut self, key: EngineKey, engine: usize, holders: f64) {
        if let Some(member) = self
            .by_key
            .get(&key)
            .and_then(|slot| self.members[*slot].as_mut())
        {
            member.joined = true;
            member.holders = holders;
            return;
        }
        let slot = self.free.pop().unwrap_or_else(|| {
            self.members.push(None);
            self.members.len() - 1
        });
        self.members[slot] = Some(Member {
            key,
            engine,
            holders,
            open: 0,
            joined: true,
            endpoint: None,
        });
        self.by_key.insert(key, slot);
    }

    /// Sets the number of holders of an engine that takes new attempts.
    pub fn update(&mut self, key: EngineKey, holders: f64) {
        if let Some((_, member)) = self.joined(key) {
            member.holders = holders;
        }
    }

    /// Stops new attempts at an engine, and frees its slot if no attempt is in flight. Returns `None` if the engine has
    /// not joined.
    pub fn leave(&mut self, key: EngineKey) -> Option<LeaveOutcome> {
        let (slot, member) = self.joined(key)?;
        member.joined = false;
        let (engine, freed, endpoint) = (member.engine, member.open == 0, member.endpoint);
        if freed {
            self.free_slot(slot);
        }
        Some(LeaveOutcome {
            slot,
            engine,
            freed,
            endpoint,
        })
    }

    /// Counts an attempt at a slot as ended, and frees the slot if its member has left and this was the last attempt.
    /// Returns `None` if the slot is unused.
    pub fn attempt_ended(&mut self, slot: EngineId) -> Option<AttemptEndOutcome> {
        let member = self.get_mut(slot)?;
        member.open -= 1;
        let (key, freed) = (member.key, member.open == 0 && !member.joined);
        if freed {
            self.free_slot(slot);
        }
        Some(AttemptEndOutcome { key, freed })
    }

    fn free_slot(&mut self, slot: EngineId) {
        if let Some(member) = self.members[slot].take() {
            self.by_key.remove(&member.key);
        }
        self.free.push(slot);
    }
}

#[cfg(test)]
mod tests;
