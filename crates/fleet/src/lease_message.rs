//! Messages between lease holders and issuers.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Claims and releases together that one message carries; further ones go into the next message.
pub const MAX_CLAIMS_PER_MESSAGE: usize = 6;

/// Something that has at most one holder, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Resource(pub u64);

/// A fencing token: it grows with each holder of a resource and goes with every act of the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// One incarnation of a gateway as lease issuers know it; a restarted gateway is another holder.
///
/// The membership knows the same gateway by its address, as a [`Peer`](crate::membership::Peer).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderId {
    /// The hash of the gateway's name.
    pub gateway: u64,
    /// A random number, drawn at each start.
    pub incarnation: u64,
}

/// A resource under an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    /// The resource.
    pub resource: Resource,
    /// The epoch.
    pub epoch: Epoch,
}

/// Renews all leases that a holder has from an issuer, claims further ones, and releases some.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The holder that sends it.
    pub holder: HolderId,
    /// The sequence number among the holder's requests, which the reply repeats.
    pub number: u32,
    /// What is claimed.
    pub claims: Vec<Claim>,
    /// What is released.
    pub releases: Vec<Claim>,
}

/// An issuer's decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// Granted, for as long as the holder's session with this issuer lasts.
    Granted,
    /// Another holder has it, under this epoch.
    HeldByOther(Epoch),
    /// The issuer has seen this epoch or a later one: claim a later one than that.
    StaleEpoch(Epoch),
    /// The issuer can store no further resource.
    AtCapacity,
}

/// A claim with the decision on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimVerdict {
    /// The claim.
    pub claim: Claim,
    /// The decision.
    pub verdict: Verdict,
}

/// An issuer's reply to one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The holder that sent the request.
    pub holder: HolderId,
    /// The number of the request.
    pub number: u32,
    /// The holder's session with this incarnation of the issuer. Leases of an earlier session have ended.
    pub session: u64,
    /// The decisions on the claims.
    pub verdicts: Vec<ClaimVerdict>,
    /// The releases that were carried out.
    pub released: Vec<Claim>,
}

/// Why an issuer does not reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum NoReply {
    /// It started less than a lease ago, and may have granted what it does not remember; the time until it replies.
    #[error("issuer started less than the longest lease ago: it grants nothing for another {0:?}; nothing is to be done")]
    Starting(Duration),
    /// It has sessions with as many holders as it may have; their number.
    #[error(
        "issuer has sessions with {0} lease holders, as many as it may have: raise the fleet's limit of members"
    )]
    TooManyHolders(usize),
}
