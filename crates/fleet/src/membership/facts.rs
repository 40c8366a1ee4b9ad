//! Facts that peers publish about themselves, merged so that order, repetition and loss do not matter.

use super::peer::Peer;
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Kinds of facts that a peer may publish about itself.
pub const FACT_KINDS: u8 = 8;
/// The kind of fact by which a peer announces that it leaves on purpose.
pub(super) const LEAVING_FACT_KIND: u8 = 0;

/// A fact that a peer publishes about itself. Only the latest of a kind counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fact {
    /// The peer.
    pub publisher: Peer,
    /// Under [`FACT_KINDS`]; 0 is the membership's own.
    pub kind: u8,
    /// Grows with each fact of the publisher.
    pub version: u64,
    /// The content, by kind.
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

/// Facts of the same key replace each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FactKey {
    address: SocketAddrV4,
    kind: u8,
}

/// Orders the facts of one key: a later incarnation goes before any version of an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FactRecency {
    incarnation: u64,
    version: u64,
}

/// By this foca knows which facts that it still passes on are replaced by a later one.
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

/// Why a fact is not stored.
#[derive(Debug, thiserror::Error)]
pub(super) enum FactError {
    #[error("a fact that can't be read: {0}; compare the gateways' builds")]
    Malformed(#[from] postcard::Error),
    #[error("a fact of kind {0}, which this gateway does not know; compare the gateways' builds")]
    UnknownKind(u8),
    #[error("a fact of {0}, which is not among the peers: bring the peers of all configurations to one list")]
    UnknownPeer(SocketAddrV4),
}

/// The latest fact of each peer and kind; the number of peers bounds it.
#[derive(Debug)]
struct FactStore {
    peer_addresses: BTreeSet<SocketAddrV4>,
    latest: BTreeMap<FactKey, Fact>,
}

impl FactStore {
    /// Stores an encoded fact; returns its key where it is to be passed on, as it was not known.
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

/// The stored facts, shared with foca, which gives no access to the handler that it owns.
#[derive(Clone)]
pub(super) struct SharedFactStore(Arc<Mutex<FactStore>>);

impl SharedFactStore {
    /// An empty store for facts of the gateways at these addresses.
    pub(super) fn new(peer_addresses: BTreeSet<SocketAddrV4>) -> SharedFactStore {
        SharedFactStore(Arc::new(Mutex::new(FactStore {
            peer_addresses,
            latest: BTreeMap::new(),
        })))
    }

    /// The latest fact of a kind that this incarnation published.
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
