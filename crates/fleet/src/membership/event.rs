//! What the membership reports: changes, and the states of peers.

use super::peer::Peer;

/// A change in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MembershipEvent {
    /// The peer is alive.
    Up(Peer),
    /// The fleet declared it down.
    Down(Peer),
    /// It left on purpose.
    Left(Peer),
    /// This gateway was declared down and is back as another incarnation of its peer. Its leases are not touched:
    /// [`LeaseHolder::holds`](crate::LeaseHolder::holds) alone says whether they last.
    Rejoined,
    /// No other peer is alive.
    Alone,
}

/// The state of a peer that is not declared down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerState {
    /// It replies to health checks.
    Alive,
    /// It did not reply, and is declared down unless it refutes that.
    Suspected,
}

/// A peer with its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerStatus {
    /// The peer.
    pub peer: Peer,
    /// Its state.
    pub state: PeerState,
}
