//! The membership events and the states of peers, as reported to the caller of the membership.

use super::peer::Peer;

/// A change in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MembershipEvent {
    /// A peer was discovered, or is alive again after it was down.
    Up(Peer),
    /// A peer was declared down, since it did not reply to health checks.
    Down(Peer),
    /// A peer left on purpose.
    Left(Peer),
    /// This gateway was declared down by its peers and has joined again as a new incarnation. Its leases do not change:
    /// only [`LeaseHolder::holds`](crate::LeaseHolder::holds) tells whether they are still held.
    Rejoined,
    /// No other peer is alive any more.
    Alone,
}

/// The state of a peer that is not declared down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerState {
    /// The peer replies to health checks.
    Alive,
    /// The peer did not reply to a health check. It is declared down unless it refutes the suspicion in time.
    Suspected,
}

/// A peer that is not declared down, and its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerStatus {
    /// The incarnation of the peer that the state is about.
    pub peer: Peer,
    /// The state as this gateway knows it.
    pub state: PeerState,
}
