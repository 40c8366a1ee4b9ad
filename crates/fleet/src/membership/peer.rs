//! The identity of a gateway in the membership: its address and incarnation.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The identity of one incarnation of a gateway in the membership. A restarted gateway is another peer at the same
/// address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    address: SocketAddrV4,
    /// Orders the incarnations at one address; the largest is the latest. The value is the start time in milliseconds
    /// since the Unix epoch, plus one for each time that the peer was declared down.
    pub incarnation: u64,
}

impl Peer {
    /// Returns the identity of an incarnation of the gateway at an address.
    pub fn new(address: SocketAddrV4, incarnation: u64) -> Peer {
        Peer {
            address,
            incarnation,
        }
    }

    /// Returns the address of the gateway, which all its incarnations share.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }
}

impl Identity for Peer {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<Self> {
        Some(Peer {
            incarnation: self.incarnation + 1,
            ..*self
        })
    }

    fn addr(&self) -> Self::Addr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}
