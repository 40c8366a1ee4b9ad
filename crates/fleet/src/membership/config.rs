//! The timing of the SWIM protocol: a health check each half second; a failure is known to all peers within some seconds.

use crate::wire::MAX_SWIM_BYTES;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A suspected peer that does not refute the suspicion for this long is declared down.
pub(super) const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);

/// Between two health checks; each checks one peer.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A peer that has not replied for this long is checked through others.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Peers through which one that has not replied is checked.
const INDIRECT_HEALTH_CHECKS: usize = 3;
/// A change of the membership is sent at least so often.
const MIN_TRANSMISSIONS: u8 = 6;
/// How long a peer that is down is remembered.
const DOWN_PEER_RETENTION: Duration = Duration::from_secs(60);
/// Between two announcements to peers that are alive, or to peers that are down: it heals partitions.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);
/// Peers that are alive which one announcement goes to.
const ANNOUNCEMENTS_TO_ALIVE_PEERS: usize = 1;
/// Peers that are down which one announcement goes to.
const ANNOUNCEMENTS_TO_DOWN_PEERS: usize = 2;
/// Between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Peers that a round of gossip goes to.
const GOSSIP_FANOUT: usize = 3;

/// The configuration for a fleet of so many gateways.
pub(super) fn swim_config(gateways: usize) -> Config {
    let cluster_size = NonZeroU32::new(gateways.max(2) as u32).expect("at least two");
    let defaults = Config::new_lan(cluster_size);
    let min_transmissions = NonZeroU8::new(MIN_TRANSMISSIONS).expect("not zero");
    Config {
        probe_period: HEALTH_CHECK_INTERVAL,
        probe_rtt: HEALTH_CHECK_TIMEOUT,
        num_indirect_probes: non_zero(INDIRECT_HEALTH_CHECKS),
        max_transmissions: defaults.max_transmissions.max(min_transmissions),
        suspect_to_down_after: SUSPICION_TIMEOUT,
        remove_down_after: DOWN_PEER_RETENTION,
        max_packet_size: non_zero(MAX_SWIM_BYTES),
        periodic_announce: periodic(ANNOUNCE_INTERVAL, ANNOUNCEMENTS_TO_ALIVE_PEERS),
        periodic_announce_to_down_members: periodic(ANNOUNCE_INTERVAL, ANNOUNCEMENTS_TO_DOWN_PEERS),
        periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_FANOUT),
        ..defaults
    }
}

fn periodic(interval: Duration, peers: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams {
        frequency: interval,
        num_members: non_zero(peers),
    })
}

fn non_zero(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).expect("not zero")
}
