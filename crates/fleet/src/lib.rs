//! Group membership and leases for a fleet of gateways, correct across network partitions and across kills, pauses and
//! restarts of gateways.
//!
//! The crate does no I/O and reads no clock: callers pass in the time and the received messages, and send the messages
//! that they get back. docs/fleet.md describes the guarantees and the design.
//!
//! * [`lease_terms`]: the duration of leases, by the clocks of issuers and of holders.
//! * [`lease_issuer`]: the state of an issuer: the resources that it has granted, their holders and expiry.
//! * [`lease_holder`]: the state of a holder: the leases that a majority of issuers has granted to it.
//! * [`quota`]: a quota of the whole fleet, divided into leased units.
//! * [`membership`]: group membership by SWIM, with facts that peers publish about themselves.
//! * [`lease_message`]: the messages between holders and issuers.
//! * [`wire`]: the encoding of messages as datagrams of bounded length, marked with their fleet and, where a key is
//!   configured, authenticated by a keyed hash.
//!
//! A gateway has one identity in the membership and another one in leases. Both name a single incarnation: a restarted
//! gateway has new identities.
//!
//! * [`membership::Peer`]: the gateway's address and its start time; the start time orders incarnations.
//! * [`HolderId`]: the hash of the gateway's name and a random number.
//!
//! A time is a [`Duration`](std::time::Duration) since a fixed point that each gateway chooses for itself, by a
//! monotonic clock that also counts while the process is paused. These clocks need not be
//! synchronized; only the wall clocks of issuers must be close, see [`LeaseIssuer::start`].

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
