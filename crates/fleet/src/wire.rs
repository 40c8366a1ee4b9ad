//! Encodes messages as datagrams: version, fleet, message, and a keyed hash where there is a key.
//!
//! Callers drop datagrams of other fleets or versions and forged or malformed ones, count them by cause, and never reply.

use crate::message::{LeaseReply, LeaseRequest, MAX_CLAIMS_PER_MESSAGE};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The version of the format.
pub const FORMAT_VERSION: u8 = 1;
/// The longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
const FLEET_ID_BYTES: usize = 8;
const HASH_BYTES: usize = 16;
/// The longest SWIM message, in bytes: a datagram without the head, the hash, and the message's kind and length.
pub const MAX_SWIM_BYTES: usize = MAX_DATAGRAM_BYTES - 1 - FLEET_ID_BYTES - HASH_BYTES - 3;

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
        "datagram of {0} bytes: the longest here is 256; look for who else sends to the peers' addresses"
    )]
    TooLong(usize),
    /// It is too short; its length in bytes.
    #[error("datagram of {0} bytes is too short to be one of a gateway; look for who else sends to the peers' addresses")]
    TooShort(usize),
    /// It has this other version.
    #[error(
        "datagram of version {0}, this gateway speaks 1: bring all gateways of the fleet to one version"
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

/// Writes and reads the datagrams of one fleet.
#[derive(Clone)]
pub struct DatagramCodec {
    fleet: [u8; FLEET_ID_BYTES],
    key: Option<[u8; 32]>,
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
    /// Of a fleet by its name, with the bytes of its key file where one is named.
    pub fn new(fleet: &str, key: Option<&[u8]>) -> DatagramCodec {
        let mut name = [0; FLEET_ID_BYTES];
        name.copy_from_slice(&blake3::hash(fleet.as_bytes()).as_bytes()[..FLEET_ID_BYTES]);
        let key = key.map(|key| blake3::derive_key("garnetwall fleet datagrams v1", key));
        DatagramCodec { fleet: name, key }
    }

    fn hash(&self, bytes: &[u8]) -> Option<[u8; HASH_BYTES]> {
        let hash = blake3::keyed_hash(&self.key?, bytes);
        let mut short = [0; HASH_BYTES];
        short.copy_from_slice(&hash.as_bytes()[..HASH_BYTES]);
        Some(short)
    }

    /// A message as a datagram; `None` where it carries more than [`MAX_CLAIMS_PER_MESSAGE`] claims and releases.
    pub fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        let claims = match message {
            Message::Request(request) => request.claims.len() + request.releases.len(),
            Message::Reply(reply) => reply.verdicts.len() + reply.released.len(),
            Message::Swim(_) => 0,
        };
        if claims > MAX_CLAIMS_PER_MESSAGE {
            return None;
        }
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend_from_slice(&self.fleet);
        bytes.extend(postcard::to_allocvec(message).ok()?);
        let hash = self.hash(&bytes);
        bytes.extend(hash.into_iter().flatten());
        Some(bytes).filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Why it is to be dropped.
    pub fn decode(&self, bytes: &[u8]) -> Result<Message, DropReason> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::TooLong(bytes.len()));
        }
        let hash = if self.key.is_some() { HASH_BYTES } else { 0 };
        if bytes.len() <= 1 + FLEET_ID_BYTES + hash {
            return Err(DropReason::TooShort(bytes.len()));
        }
        if bytes[0] != FORMAT_VERSION {
            return Err(DropReason::OtherVersion(bytes[0]));
        }
        if bytes[1..=FLEET_ID_BYTES] != self.fleet {
            return Err(DropReason::OtherFleet);
        }
        let (signed, signature) = bytes.split_at(bytes.len() - hash);
        // Compared in constant time, as blake3's hashes are: the hash must not be guessed byte by byte.
        let right = self.hash(signed).is_none_or(|right| {
            let differs = right
                .iter()
                .zip(signature)
                .fold(0, |all, (a, b)| all | (a ^ b));
            differs == 0
        });
        if !right {
            return Err(DropReason::WrongHash);
        }
        match postcard::take_from_bytes(&signed[1 + FLEET_ID_BYTES..]) {
            Ok((message, [])) => Ok(message),
            Ok(_) | Err(_) => Err(DropReason::Malformed),
        }
    }
}
