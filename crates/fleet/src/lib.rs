//! Membership and leases of a fleet of gateways, correct over partitions, kills, pauses and restarts.
//!
//! It does no I/O and reads no clock: callers pass time and messages in and carry out the results. docs/fleet.md has the
//! guarantees and the design.
//!
//! * [`terms`]: the duration of leases for grantors and holders.
//! * [`grantor`]: which resource a grantor has granted, to whom, until when.
//! * [`holder`]: which leases a gateway has from a majority of grantors.
//! * [`shares`]: a budget of the fleet in leased units.
//! * [`membership`]: membership by SWIM, with facts that members publish about themselves.
//! * [`message`]: messages between holders and grantors.
//! * [`wire`]: messages as datagrams: bounded, of one fleet, with a keyed hash where there is a key.
//!
//! Times are spans since any fixed point of the caller's own, on a clock that never runs backwards and runs on through a
//! pause of the process. No two parties need agree on them.

pub mod grantor;
pub mod holder;
pub mod membership;
pub mod message;
pub mod shares;
pub mod terms;
pub mod wire;

pub use grantor::Grantor;
pub use holder::Holder;
pub use message::{Claim, Epoch, LeaseReply, LeaseRequest, Member, Resource, Verdict};
pub use terms::{Terms, TermsError};
