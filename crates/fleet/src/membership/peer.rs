//! A peer: one incarnation of a gateway at its address.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// One incarnation of a gateway as the membership knows it; a restarted gateway is another peer at the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    address: SocketAddrV4,
    /// The larger is the later one: Unix milliseconds of its start, plus one each time that it was declared down.
    pub incarnation: u64,
}

impl Peer {
    /// An incarnation at an address.
    pub fn new(address: SocketAddrV4, incarnation: u64) -> Peer {
        Peer {
            address,
            incarnation,
        }
    }

    /// Its address.
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
