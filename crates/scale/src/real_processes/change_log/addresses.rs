//! The addresses of a log: the local address of a connection tells which gateway made it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Gateways watch at this address plus their number; all other connections are watchers'.
const FIRST_GATEWAY_ADDRESS: u32 = 0x7f0a_0001;

/// Where gateway `gateway` reaches a log at this port.
pub fn address_for_gateway(gateway: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST_GATEWAY_ADDRESS + gateway as u32), port))
}

/// Where watchers reach it.
pub fn address_for_watchers(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// The gateway, of so many, whose watch has this local address; `None` for a watcher's.
pub fn gateway_of(local: SocketAddr, gateways: usize) -> Option<usize> {
    let IpAddr::V4(address) = local.ip().to_canonical() else {
        return None;
    };
    let gateway = u32::from(address).checked_sub(FIRST_GATEWAY_ADDRESS)? as usize;
    (gateway < gateways).then_some(gateway)
}
