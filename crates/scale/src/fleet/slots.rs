//! The dense indices under which a decision module knows the members of its subset. An index is used again only
//! when nothing of its last engine is open.

use garnetwall::api::{Endpoint, EngineId};
use garnetwall_subset::EngineKey;
use std::collections::HashMap;

/// An engine that has a slot.
pub struct Member {
    pub key: EngineKey,
    pub engine: usize,
    pub holders: f64,
    /// Attempts in flight.
    pub open: u32,
    /// Whether it takes new ones.
    pub joined: bool,
    /// The endpoint by which the module knows it.
    pub endpoint: Option<Endpoint>,
}

/// The members by slot and by key.
#[derive(Default)]
pub struct Slots {
    members: Vec<Option<Member>>,
    by_key: HashMap<EngineKey, EngineId>,
    free: Vec<EngineId>,
}

/// A member that takes nothing new any more.
pub struct Left {
    pub slot: EngineId,
    pub engine: usize,
    /// Nothing at it is in flight: its index may be used again.
    pub freed: bool,
    pub endpoint: Option<Endpoint>,
}

/// A member of which an attempt is over.
pub struct Settled {
    pub key: EngineKey,
    pub freed: bool,
}

impl Slots {
    pub fn get(&self, slot: EngineId) -> Option<&Member> {
        self.members.get(slot)?.as_ref()
    }

    pub fn get_mut(&mut self, slot: EngineId) -> Option<&mut Member> {
        self.members.get_mut(slot)?.as_mut()
    }

    /// A member that takes new attempts, with its index.
    pub fn joined(&mut self, key: EngineKey) -> Option<(EngineId, &mut Member)> {
        let slot = *self.by_key.get(&key)?;
        let member = self
            .members
            .get_mut(slot)?
            .as_mut()
            .filter(|member| member.joined)?;
        Some((slot, member))
    }

    pub fn first_engine(&self) -> Option<usize> {
        self.members
            .iter()
            .flatten()
            .next()
            .map(|member| member.engine)
    }

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

    pub fn update(&mut self, key: EngineKey, holders: f64) {
        if let Some((_, member)) = self.joined(key) {
            member.holders = holders;
        }
    }

    pub fn leave(&mut self, key: EngineKey) -> Option<Left> {
        let (slot, member) = self.joined(key)?;
        member.joined = false;
        let (engine, freed, endpoint) = (member.engine, member.open == 0, member.endpoint);
        if freed {
            self.free_slot(slot);
        }
        Some(Left {
            slot,
            engine,
            freed,
            endpoint,
        })
    }

    /// One attempt of this index is over.
    pub fn attempt_ended(&mut self, slot: EngineId) -> Option<Settled> {
        let member = self.get_mut(slot)?;
        member.open -= 1;
        let (key, freed) = (member.key, member.open == 0 && !member.joined);
        if freed {
            self.free_slot(slot);
        }
        Some(Settled { key, freed })
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
