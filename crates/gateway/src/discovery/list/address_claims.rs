//! Decides which engine an address belongs to.
//!
//! A new engine may have the address of one that is gone, and the change log may list the new one before it tells that
//! the old one is removed. An attempt at the old one would then reach the new one, which may be of another zone, cell or
//! kind, and knows nothing of what the old one ran. So an address belongs to the engine that claimed it last, and any
//! other engine with this address counts as removed.

use crate::discovery::event::EngineEntry;
use garnetwall::api::{EndpointState, ListScope};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Order of the claims to an address: by the change that brought them, then by the start of the engine. An engine without
/// a start time was there before the others.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct ClaimOrder {
    change: u64,
    started_at_unix: Option<f64>,
}

/// The last entry of a listed engine, with the order of its claim to the entry's address.
struct Claim {
    entry: EngineEntry,
    order: ClaimOrder,
}

impl Claim {
    /// Whether a later entry repeats this claim: it has the same address and start. Its state may differ.
    fn is_repeated_by(&self, entry: &EngineEntry) -> bool {
        self.entry.address == entry.address && self.entry.started_at_unix == entry.started_at_unix
    }
}

/// The claims of all listed engines to their addresses.
#[derive(Default)]
pub(super) struct AddressClaims {
    /// Claims by engine name.
    claims: HashMap<String, Claim>,
    /// Names of the owners of addresses.
    owners: HashMap<SocketAddr, String>,
    /// Number of changes so far.
    changes: u64,
}

impl AddressClaims {
    /// Returns the entries of a change with their effective states: an engine whose address belongs to another one is
    /// removed. Engines that lose their address by this change get an entry, before that of the new owner.
    pub(super) fn resolve(
        &mut self,
        entries: Vec<EngineEntry>,
        scope: ListScope,
    ) -> Vec<EngineEntry> {
        self.changes += 1;
        if scope == ListScope::Full {
            self.retain_listed(&entries);
        }
        let mut resolved = Vec::with_capacity(entries.len());
        for entry in entries {
            resolved.extend(self.resolve_entry(entry));
        }
        resolved
    }

    /// Drops the claims of engines that a full list does not contain.
    fn retain_listed(&mut self, entries: &[EngineEntry]) {
        let listed: HashSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        self.claims.retain(|name, _| listed.contains(name.as_str()));
        self.owners
            .retain(|_, owner| listed.contains(owner.as_str()));
    }

    /// Returns the entry with its effective state, after that of the engine that loses its address to it, if any.
    fn resolve_entry(&mut self, entry: EngineEntry) -> Vec<EngineEntry> {
        if entry.state == EndpointState::Removed {
            self.release(&entry.name);
            return vec![entry];
        }
        let order = self.claim_order(&entry);
        let owner = self.other_owner(&entry);
        if owner.is_some_and(|owner| owner.order > order) {
            return vec![self.record_without_address(entry, order)];
        }
        let superseded = owner.map(|owner| removed(&owner.entry));
        if let Some(superseded) = &superseded {
            tracing::info!(
                engine = superseded.name,
                address = %superseded.address,
                successor = entry.name,
                "address of an engine belongs to another one; the engine counts as removed"
            );
        }
        self.record_with_address(entry.clone(), order);
        superseded.into_iter().chain([entry]).collect()
    }

    /// The order of the claim that an entry makes or repeats.
    fn claim_order(&self, entry: &EngineEntry) -> ClaimOrder {
        let known = self.claims.get(&entry.name);
        match known.filter(|claim| claim.is_repeated_by(entry)) {
            Some(claim) => claim.order,
            None => ClaimOrder {
                change: self.changes,
                started_at_unix: entry.started_at_unix,
            },
        }
    }

    /// The claim of the owner of the entry's address, if that is another engine.
    fn other_owner(&self, entry: &EngineEntry) -> Option<&Claim> {
        let owner = self.owners.get(&entry.address)?;
        self.claims
            .get(owner)
            .filter(|claim| claim.entry.name != entry.name)
    }

    fn record_without_address(&mut self, entry: EngineEntry, order: ClaimOrder) -> EngineEntry {
        self.release(&entry.name);
        let effective = removed(&entry);
        self.claims
            .insert(entry.name.clone(), Claim { entry, order });
        effective
    }

    fn record_with_address(&mut self, entry: EngineEntry, order: ClaimOrder) {
        self.release(&entry.name);
        self.owners.insert(entry.address, entry.name.clone());
        self.claims
            .insert(entry.name.clone(), Claim { entry, order });
    }

    /// Drops an engine's claim, and its address if it owns one.
    fn release(&mut self, name: &str) {
        let Some(claim) = self.claims.remove(name) else {
            return;
        };
        let address = claim.entry.address;
        if self.owners.get(&address).is_some_and(|owner| owner == name) {
            self.owners.remove(&address);
        }
    }
}

fn removed(entry: &EngineEntry) -> EngineEntry {
    EngineEntry {
        state: EndpointState::Removed,
        ..entry.clone()
    }
}

#[cfg(test)]
mod tests;
