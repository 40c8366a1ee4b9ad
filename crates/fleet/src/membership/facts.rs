//! Facts that peers publish about themselves. Only the latest fact of each peer and kind is kept, so that reordering,
//! duplication and loss of messages do not matter.

use super::peer::Peer;
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The number of kinds of facts. Valid kinds are those below this number.
pub const FACT_KINDS: u8 = 8;
/// The kind of fact by which a peer announces that it leaves on purpose.
pub(super) const LEAVING_FACT_KIND: u8 = 0;

/// A fact that a peer publishes about itself. A later fact replaces the earlier one of the same kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fact {
    /// The incarnation of the peer that published the fact.
    pub publisher: Peer,
    /// The kind, below [`FACT_KINDS`]. Kind 0 is reserved for the membership itself: the peer leaves.
    pub kind: u8,
    /// Increases with each fact that the peer publishes, of any kind.
    pub version: u64,
    /// The content. Its meaning depends on the kind.
    pub value: u64,
}

impl Fact {
    fn key(&self) -> FactKey {
        FactKey {
            address: self.publisher.address(),
            kind: self.kind,
        }
    }

    fn recency(&self) -> FactRecency {
        FactRecency {
            incarnation: self.publisher.incarnation,
            version: self.version,
        }
    }
}

/// The key of a fact. A later fact replaces the earlier one with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FactKey {
    address: SocketAddrV4,
    kind: u8,
}

/// The order of the facts with one key: a later incarnation is more recent than every version of an earlier
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FactRecency {
    incarnation: u64,
    version: u64,
}

/// The key by which foca finds the facts in its queue of broadcasts that a later fact replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BroadcastKey {
    key: FactKey,
    recency: FactRecency,
}

impl Invalidates for BroadcastKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.key == other.key && self.recency > other.recency
    }
}

/// The reason why a received fact is not stored.
#[derive(Debug, thiserror::Error)]
pub(super) enum FactError {
    #[error("cannot decode a fact: {0}; compare the gateways' builds")]
    Malformed(#[from] postcard::Error),
    #[error("fact has unknown kind {0}; compare the gateways' builds")]
    UnknownKind(u8),
    #[error("fact names peer {0}, which is not configured: configure the same list of peers on all gateways")]
    UnknownPeer(SocketAddrV4),
}

/// The latest fact of each peer and kind. Its size is bounded by the number of configured peers times [`FACT_KINDS`].
#[derive(Debug)]
struct FactStore {
    peer_addresses: BTreeSet<SocketAddrV4>,
    latest: BTreeMap<FactKey, Fact>,
}

impl FactStore {
    /// Decodes a fact and stores it if it is more recent than the stored one. Returns the key under which it is to be
    /// forwarded to other peers, or `None` if it is not new.
    fn accept(&mut self, bytes: &[u8]) -> Result<Option<BroadcastKey>, FactError> {
        let fact: Fact = postcard::from_bytes(bytes)?;
        if fact.kind >= FACT_KINDS {
            return Err(FactError::UnknownKind(fact.kind));
        }
        let key = fact.key();
        if !self.peer_addresses.contains(&key.address) {
            return Err(FactError::UnknownPeer(key.address));
        }
        let recency = fact.recency();
        let stored = self.latest.get(&key);
        if stored.is_some_and(|stored| stored.recency() >= recency) {
            return Ok(None);
        }
        self.latest.insert(key, fact);
        Ok(Some(BroadcastKey { key, recency }))
    }
}

/// A fact store that the membership shares with foca: foca owns its broadcast handler and gives no access to it.
#[derive(Clone)]
pub(super) struct SharedFactStore(Arc<Mutex<FactStore>>);

impl SharedFactStore {
    /// Returns an empty store that accepts the facts of the gateways at these addresses.
    pub(super) fn new(peer_addresses: BTreeSet<SocketAddrV4>) -> SharedFactStore {
        SharedFactStore(Arc::new(Mutex::new(FactStore {
            peer_addresses,
            latest: BTreeMap::new(),
        })))
    }

    /// Returns the latest fact of a kind, if this incarnation of the peer published it.
    pub(super) fn latest(&self, publisher: &Peer, kind: u8) -> Option<Fact> {
        let key = FactKey {
            address: publisher.address(),
            kind,
        };
        let fact = self.lock().latest.get(&key).copied();
        fact.filter(|fact| fact.publisher == *publisher)
    }

    fn lock(&self) -> MutexGuard<'_, FactStore> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BroadcastHandler<Peer> for SharedFactStore {
    type Key = BroadcastKey;
    type Error = FactError;

    fn receive_item(
        &mut self,
        data: &[u8],
        _sender: Option<&Peer>,
    ) -> Result<Option<BroadcastKey>, FactError> {
        self.lock().accept(data)
    }
}
