//! What the membership reports: changes, and the state of another member.

use super::peer::Peer;

/// A change in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MembershipEvent {
    /// The member is alive.
    Up(Peer),
    /// The fleet declared it down.
    Down(Peer),
    /// It left on purpose.
    Left(Peer),
    /// This member was declared down and is back as another incarnation: its leases have ended.
    Rejoined,
    /// No other member is alive.
    Alone,
}

/// The state of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerState {
    /// It replies to health checks.
    Alive,
    /// It did not reply, and is declared down unless it refutes that.
    Suspected,
}
