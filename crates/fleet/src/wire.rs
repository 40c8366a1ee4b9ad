//! Encodes messages as datagrams: version, fleet, message, and a keyed hash where there is a key.
//!
//! Callers drop datagrams of other fleets or versions and forged or malformed ones, count them by cause, and never reply.

use crate::lease_message::{LeaseReply, LeaseRequest, MAX_CLAIMS_PER_MESSAGE};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The version of the format.
pub const FORMAT_VERSION: u8 = 1;
/// The longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
const VERSION_BYTES: usize = 1;
const FLEET_ID_BYTES: usize = 8;
const HEAD_BYTES: usize = VERSION_BYTES + FLEET_ID_BYTES;
const HASH_BYTES: usize = 16;
const KEY_BYTES: usize = 32;
/// The kind of a message, and the length of a SWIM message, by postcard.
const SWIM_PREFIX_BYTES: usize = 1 + 2;
/// The longest SWIM message, in bytes: what a datagram with a hash has left for it.
pub const MAX_SWIM_BYTES: usize = MAX_DATAGRAM_BYTES - HEAD_BYTES - HASH_BYTES - SWIM_PREFIX_BYTES;
/// Separates the key of datagrams from other uses of the same key file.
const KEY_CONTEXT: &str = "garnetwall fleet datagrams v1";

/// A message between gateways of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// From a lease holder.
    Request(LeaseRequest),
    /// From an issuer.
    Reply(LeaseReply),
    /// Of the membership, in its own encoding.
    Swim(Vec<u8>),
}

impl Message {
    /// How many claims and releases it carries.
    fn claims_and_releases(&self) -> usize {
        match self {
            Message::Request(request) => request.claims.len() + request.releases.len(),
            Message::Reply(reply) => reply.verdicts.len() + reply.released.len(),
            Message::Swim(_) => 0,
        }
    }
}

/// An encoded message and where it is to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Datagram {
    /// The address of the gateway that it goes to.
    pub to: SocketAddrV4,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DropReason {
    /// It is longer than [`MAX_DATAGRAM_BYTES`]; its length in bytes.
    #[error(
        "datagram of {0} bytes: the longest here is {max}; look for who else sends to the peers' addresses",
        max = MAX_DATAGRAM_BYTES
    )]
    TooLong(usize),
    /// It is too short; its length in bytes.
    #[error("datagram of {0} bytes is too short to be one of a gateway; look for who else sends to the peers' addresses")]
    TooShort(usize),
    /// It has this other version.
    #[error(
        "datagram of version {0}, this gateway speaks {own}: bring all gateways of the fleet to one version",
        own = FORMAT_VERSION
    )]
    OtherVersion(u8),
    /// It is of another fleet.
    #[error("datagram of another fleet: give each fleet a name and peers of its own")]
    OtherFleet,
    /// Its keyed hash is wrong.
    #[error("datagram whose keyed hash is wrong: compare the fleet's key files, and suspect who sends it")]
    WrongHash,
    /// Its message cannot be decoded.
    #[error("datagram that can't be read though its head is right; compare the gateways' builds")]
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
        // The key stays out of logs.
        f.debug_struct("DatagramCodec")
            .field("keyed", &self.key.is_some())
            .finish_non_exhaustive()
    }
}

impl DatagramCodec {
    /// A codec for a fleet by its name, with the bytes of its key file where one is named.
    pub fn new(fleet_name: &str, key_file: Option<&[u8]>) -> DatagramCodec {
        let name_hash = blake3::hash(fleet_name.as_bytes());
        let mut fleet_id = [0; FLEET_ID_BYTES];
        fleet_id.copy_from_slice(&name_hash.as_bytes()[..FLEET_ID_BYTES]);
        DatagramCodec {
            fleet_id,
            key: key_file.map(|bytes| blake3::derive_key(KEY_CONTEXT, bytes)),
        }
    }

    /// A message as a datagram; `None` where it carries more than [`MAX_CLAIMS_PER_MESSAGE`] claims and releases, or is longer
    /// than [`MAX_DATAGRAM_BYTES`].
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

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Why it is to be dropped.
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

    /// Checks the length, the version and the fleet.
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

    /// Whether the hash is that of the bytes under the fleet's key; true where there is no key.
    fn is_authentic(&self, hashed: &[u8], hash: &[u8]) -> bool {
        let Some(expected) = self.keyed_hash(hashed) else {
            return true;
        };
        // Compared in constant time, as blake3's hashes are: the hash must not be guessed byte by byte.
        let difference = expected
            .iter()
            .zip(hash)
            .fold(0, |all, (expected, given)| all | (expected ^ given));
        difference == 0
    }

    /// The truncated keyed hash; `None` where there is no key.
    fn keyed_hash(&self, bytes: &[u8]) -> Option<[u8; HASH_BYTES]> {
        let whole = blake3::keyed_hash(&self.key?, bytes);
        let mut truncated = [0; HASH_BYTES];
        truncated.copy_from_slice(&whole.as_bytes()[..HASH_BYTES]);
        Some(truncated)
    }
}
