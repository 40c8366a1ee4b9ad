//! Facts that members publish about themselves, merged so that order, repetition and loss do not matter.

use super::peer::Peer;
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Kinds of facts that a member may publish about itself.
pub const MAX_FACT_KINDS: u8 = 8;
/// The kind of fact by which a member announces that it leaves on purpose.
pub(super) const LEAVING_FACT_KIND: u8 = 0;

/// A fact that a member publishes about itself. Only the highest version of a kind counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fact {
    /// The member.
    pub publisher: Peer,
    /// Under [`MAX_FACT_KINDS`]; 0 is the membership's own.
    pub kind: u8,
    /// Grows with each fact of the member.
    pub version: u64,
    /// The content, by kind.
    pub value: u64,
}

/// Facts by member and kind; one version of each.
#[derive(Debug, Default)]
pub(super) struct FactStore {
    pub(super) latest: BTreeMap<([u8; 4], u16, u8), Fact>,
    /// Only facts of these are stored.
    pub(super) peers: BTreeSet<([u8; 4], u16)>,
}

/// The key and the version of a published fact, which replaces older versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FactKey(([u8; 4], u16, u8), (u64, u64));

impl Invalidates for FactKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.0 == other.0 && self.1 > other.1
    }
}

#[derive(Debug, thiserror::Error)]
#[error("a fact that can't be read, or of who is no peer; compare the gateways' builds and peers")]
pub(super) struct FactError;

impl FactStore {
    /// Stores a fact; returns its key where it is to be passed on, as it was not known.
    fn accept(&mut self, data: &[u8]) -> Result<Option<FactKey>, FactError> {
        let fact: Fact = postcard::from_bytes(data).map_err(|_| FactError)?;
        if fact.kind >= MAX_FACT_KINDS {
            return Err(FactError);
        }
        if !self.peers.contains(&fact.publisher.address) {
            return Err(FactError);
        }
        let (ip, port) = fact.publisher.address;
        let at = (ip, port, fact.kind);
        let order = (fact.publisher.incarnation, fact.version);
        if self
            .latest
            .get(&at)
            .is_some_and(|old| (old.publisher.incarnation, old.version) >= order)
        {
            return Ok(None);
        }
        self.latest.insert(at, fact);
        Ok(Some(FactKey(at, order)))
    }
}

/// The facts, shared with foca, which gives no access to the handler that it owns.
#[derive(Clone, Default)]
pub(super) struct SharedFactStore(pub(super) Arc<Mutex<FactStore>>);

impl SharedFactStore {
    pub(super) fn lock(&self) -> MutexGuard<'_, FactStore> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BroadcastHandler<Peer> for SharedFactStore {
    type Key = FactKey;
    type Error = FactError;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&Peer>,
    ) -> Result<Option<FactKey>, FactError> {
        self.lock().accept(data)
    }
}
