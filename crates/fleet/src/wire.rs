//! Encodes and decodes the datagrams between gateways. A datagram consists of the format version, the fleet id, the
//! message and, if the fleet has a key, a keyed hash.
//!
//! Decoding fails for datagrams of other fleets or versions, and for forged or malformed ones. Callers must drop these
//! and count them by [`DropReason`], and must not reply to them.

use crate::lease_message::{LeaseReply, LeaseRequest, MAX_CLAIMS_PER_MESSAGE};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The version of the datagram format, sent as the first byte of each datagram.
pub const FORMAT_VERSION: u8 = 1;
/// The longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
const VERSION_BYTES: usize = 1;
const FLEET_ID_BYTES: usize = 8;
const HEAD_BYTES: usize = VERSION_BYTES + FLEET_ID_BYTES;
const HASH_BYTES: usize = 16;
const KEY_BYTES: usize = 32;
/// The bytes that postcard writes before a SWIM message: one for the kind of the message, two for its length.
const SWIM_PREFIX_BYTES: usize = 1 + 2;
/// The longest SWIM message, in bytes: the room in a datagram next to the header, the hash and postcard's prefix.
pub const MAX_SWIM_BYTES: usize = MAX_DATAGRAM_BYTES - HEAD_BYTES - HASH_BYTES - SWIM_PREFIX_BYTES;
/// The context string of the key derivation, which keeps the datagram key apart from other uses of the same key file.
const KEY_CONTEXT: &str = "garnetwall fleet datagrams v1";

/// A message between gateways of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// A lease request, from a holder to an issuer.
    Request(LeaseRequest),
    /// A reply to a lease request, from an issuer to a holder.
    Reply(LeaseReply),
    /// A message of the membership protocol, as encoded by [`Membership`](crate::membership::Membership).
    Swim(Vec<u8>),
}

impl Message {
    /// Returns the number of claims and releases, or of the decisions on them, in the message.
    fn claims_and_releases(&self) -> usize {
        match self {
            Message::Request(request) => request.claims.len() + request.releases.len(),
            Message::Reply(reply) => reply.verdicts.len() + reply.released.len(),
            Message::Swim(_) => 0,
        }
    }
}

/// An encoded message and the address to which the caller must send it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Datagram {
    /// The address of the receiving gateway.
    pub to: SocketAddrV4,
    /// The encoded datagram, at most [`MAX_DATAGRAM_BYTES`] long.
    pub bytes: Vec<u8>,
}

/// The reason why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DropReason {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`]. The value is its length in bytes.
    #[error(
        "datagram of {0} bytes exceeds the longest allowed, {max} bytes: find out what else sends to the gateways' addresses",
        max = MAX_DATAGRAM_BYTES
    )]
    TooLong(usize),
    /// The datagram is too short to hold a header, a message and the hash. The value is its length in bytes.
    #[error("datagram of {0} bytes is too short for a message of a gateway: find out what else sends to the gateways' addresses")]
    TooShort(usize),
    /// The datagram has another format version than [`FORMAT_VERSION`]. The value is its version.
    #[error(
        "datagram has format version {0}, this gateway uses {own}: bring all gateways of the fleet to one version",
        own = FORMAT_VERSION
    )]
    OtherVersion(u8),
    /// The fleet id of the datagram is that of another fleet.
    #[error("datagram belongs to another fleet: give each fleet a name and peers of its own")]
    OtherFleet,
    /// The keyed hash does not match: the sender has another key or none, or the datagram was altered or forged.
    #[error(
        "datagram has a wrong keyed hash: compare the gateways' key files, and check who sends it"
    )]
    WrongHash,
    /// The message cannot be decoded.
    #[error("datagram has a valid header, but its message cannot be decoded: compare the gateways' builds")]
    Malformed,
}

/// Encodes and decodes the datagrams of one fleet.
#[derive(Clone)]
pub struct DatagramCodec {
    fleet_id: [u8; FLEET_ID_BYTES],
    key: Option<[u8; KEY_BYTES]>,
}

impl std::fmt::Debug for DatagramCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        // The key itself must not appear in logs.
        f.debug_struct("DatagramCodec")
            .field("keyed", &self.key.is_some())
            .finish_non_exhaustive()
    }
}

impl DatagramCodec {
    /// Returns a codec for the fleet with this name. `key_file` is the content of the fleet's key file, or `None` if no
    /// key is configured; datagrams then carry no hash.
    pub fn new(fleet_name: &str, key_file: Option<&[u8]>) -> DatagramCodec {
        let name_hash = blake3::hash(fleet_name.as_bytes());
        let mut fleet_id = [0; FLEET_ID_BYTES];
        fleet_id.copy_from_slice(&name_hash.as_bytes()[..FLEET_ID_BYTES]);
        DatagramCodec {
            fleet_id,
            key: key_file.map(|bytes| blake3::derive_key(KEY_CONTEXT, bytes)),
        }
    }

    /// Returns the datagram for a message, or `None` if the message carries more than [`MAX_CLAIMS_PER_MESSAGE`] claims
    /// and releases, or if the datagram would be longer than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        if message.claims_and_releases() > MAX_CLAIMS_PER_MESSAGE {
            return None;
        }
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend_from_slice(&self.fleet_id);
        bytes.extend(postcard::to_allocvec(message).ok()?);
        if let Some(hash) = self.keyed_hash(&bytes) {
            bytes.extend(hash);
        }
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes a received datagram. Checks its length, version and fleet, then its hash if the fleet has a key.
    ///
    /// # Errors
    ///
    /// The reason why the datagram is to be dropped.
    pub fn decode(&self, datagram: &[u8]) -> Result<Message, DropReason> {
        let hash_bytes = if self.key.is_some() { HASH_BYTES } else { 0 };
        self.check_head(datagram, hash_bytes)?;
        let (hashed, hash) = datagram.split_at(datagram.len() - hash_bytes);
        if !self.is_authentic(hashed, hash) {
            return Err(DropReason::WrongHash);
        }
        match postcard::take_from_bytes(&hashed[HEAD_BYTES..]) {
            Ok((message, [])) => Ok(message),
            Ok(_) | Err(_) => Err(DropReason::Malformed),
        }
    }

    /// Checks the length, the format version and the fleet id of a datagram. `hash_bytes` is the length of the hash,
    /// which is 0 for a fleet without a key.
    fn check_head(&self, datagram: &[u8], hash_bytes: usize) -> Result<(), DropReason> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::TooLong(datagram.len()));
        }
        if datagram.len() <= HEAD_BYTES + hash_bytes {
            return Err(DropReason::TooShort(datagram.len()));
        }
        let (version, fleet_id) = (datagram[0], &datagram[VERSION_BYTES..HEAD_BYTES]);
        if version != FORMAT_VERSION {
            return Err(DropReason::OtherVersion(version));
        }
        if fleet_id != self.fleet_id {
            return Err(DropReason::OtherFleet);
        }
        Ok(())
    }

    /// Returns true if `hash` is the keyed hash of `hashed`, or if the fleet has no key.
    fn is_authentic(&self, hashed: &[u8], hash: &[u8]) -> bool {
        let Some(expected) = self.keyed_hash(hashed) else {
            return true;
        };
        // The comparison takes constant time, like that of blake3's own hash type, so that a sender cannot guess the
        // hash byte by byte from the time that it takes.
        let difference = expected
            .iter()
            .zip(hash)
            .fold(0, |all, (expected, given)| all | (expected ^ given));
        difference == 0
    }

    /// Returns the keyed hash, truncated to [`HASH_BYTES`], or `None` if the fleet has no key.
    fn keyed_hash(&self, bytes: &[u8]) -> Option<[u8; HASH_BYTES]> {
        let whole = blake3::keyed_hash(&self.key?, bytes);
        let mut truncated = [0; HASH_BYTES];
        truncated.copy_from_slice(&whole.as_bytes()[..HASH_BYTES]);
        Some(truncated)
    }
}
