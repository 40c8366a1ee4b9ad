//! Loopback addresses of the change log. All of them reach the same listener; a connection's local address tells the
//! log which gateway opened the connection.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Gateway n connects to this address plus n. Connections to any other address are counted as watchers'.
const FIRST_GATEWAY_ADDRESS: u32 = 0x7f0a_0001;

/// Address at which `gateway` reaches the change log on `port`.
pub fn address_for_gateway(gateway: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST_GATEWAY_ADDRESS + gateway as u32), port))
}

/// Address at which watchers reach the change log on `port`.
pub fn address_for_watchers(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns the gateway, out of `gateways`, that connects to the local address `local`; `None` for a watcher's.
pub fn gateway_of(local: SocketAddr, gateways: usize) -> Option<usize> {
    let IpAddr::V4(address) = local.ip().to_canonical() else {
        return None;
    };
    let gateway = u32::from(address).checked_sub(FIRST_GATEWAY_ADDRESS)? as usize;
    (gateway < gateways).then_some(gateway)
}
