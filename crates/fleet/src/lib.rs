//! Membership and leases of a fleet of gateways, correct over partitions, kills, pauses and restarts.
//!
//! It does no I/O and reads no clock: callers pass time and messages in and carry out the results. docs/fleet.md has the
//! guarantees and the design.
//!
//! * [`lease_terms`]: the duration of leases for issuers and holders.
//! * [`lease_issuer`]: which resource an issuer has granted, to whom, until when.
//! * [`lease_holder`]: which leases a gateway has from a majority of issuers.
//! * [`quota`]: a quota of the whole fleet in leased units.
//! * [`membership`]: membership by SWIM, with facts that peers publish about themselves.
//! * [`lease_message`]: messages between holders and issuers.
//! * [`wire`]: messages as datagrams: bounded, of one fleet, with a keyed hash where there is a key.
//!
//! A gateway has an identity in each half, both for one incarnation of it: a restarted gateway is another one.
//!
//! * [`membership::Peer`]: by its address and the time of its start, which orders incarnations.
//! * [`HolderId`]: by the hash of its name and a random number, in leases.
//!
//! Times are spans since any fixed point of the caller's own, on a clock that never runs backwards and runs on through a
//! pause of the process. No two parties need agree on them.

pub mod lease_holder;
pub mod lease_issuer;
pub mod lease_message;
pub mod lease_terms;
pub mod membership;
pub mod quota;
pub mod wire;

pub use lease_holder::{AddressedRequest, LeaseHolder};
pub use lease_issuer::{IssuerLimits, LeaseIssuer};
pub use lease_message::{
    Claim, ClaimVerdict, Epoch, HolderId, LeaseReply, LeaseRequest, Resource, Verdict,
};
pub use lease_terms::{LeaseTerms, LeaseTermsError};
