//! The messages between lease holders and issuers, and the types that they carry.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The largest number of claims and releases, counted together, in one message. Further ones go into another message.
pub const MAX_CLAIMS_PER_MESSAGE: usize = 6;

/// A resource that at most one holder may have at a time, identified by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Resource(pub u64);

/// A fencing token. It increases with each new holder of a resource, and the holder sends it with every operation on
/// the resource, so that operations of earlier holders can be rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// The identity of one incarnation of a gateway towards lease issuers. A restarted gateway is another holder.
///
/// The membership identifies the same gateway by its address, as a [`Peer`](crate::membership::Peer).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderId {
    /// The hash of the gateway's name.
    pub gateway: u64,
    /// A random number, drawn at each start.
    pub incarnation: u64,
}

/// A resource and the epoch under which it is claimed or released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    /// The claimed or released resource.
    pub resource: Resource,
    /// The fencing token of the claim, chosen by the holder.
    pub epoch: Epoch,
}

/// A request that renews all leases that a holder has from one issuer, and may claim and release resources.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The holder that sends it.
    pub holder: HolderId,
    /// The number of the holder's round of requests, from 1. The reply repeats it. The requests of one round have the
    /// same number.
    pub number: u32,
    /// The resources that the holder claims.
    pub claims: Vec<Claim>,
    /// The claims that the holder gives up, granted or not.
    pub releases: Vec<Claim>,
}

/// An issuer's decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// Granted, for as long as the holder's session with this issuer lasts.
    Granted,
    /// Refused: another holder has the resource, under this epoch.
    HeldByOther(Epoch),
    /// Refused: the claimed epoch is too low. The holder must claim the resource under an epoch above this one.
    StaleEpoch(Epoch),
    /// Refused: the issuer is at its limit of resources, and all of them are held.
    AtCapacity,
}

/// A claim and the issuer's decision on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimVerdict {
    /// The claim, as in the request.
    pub claim: Claim,
    /// The issuer's decision.
    pub verdict: Verdict,
}

/// An issuer's reply to one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The holder that sent the request.
    pub holder: HolderId,
    /// The number of the request that this replies to.
    pub number: u32,
    /// The number of the holder's session with this incarnation of the issuer. Leases of an earlier session have ended.
    pub session: u64,
    /// The decisions on the claims of the request. Empty if the issuer has received a request with a higher number.
    pub verdicts: Vec<ClaimVerdict>,
    /// The releases of the request, all of which were carried out.
    pub released: Vec<Claim>,
}

/// The reason why an issuer does not reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum NoReply {
    /// The issuer started less than one lease ago, so that leases from before its start may still be held. The value is
    /// the time until it replies.
    #[error("lease issuer started less than one lease ago: it grants nothing for another {0:?}; nothing is to be done")]
    Starting(Duration),
    /// The issuer has sessions with the largest number of holders that it may have. The value is that number.
    #[error(
        "lease issuer has sessions with {0} lease holders, which is its limit: raise the fleet's limit of members"
    )]
    TooManyHolders(usize),
}
