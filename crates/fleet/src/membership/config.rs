//! The timing of the SWIM protocol. Each gateway checks one peer every 500 ms, and all peers know of a failure within a
//! few seconds.

use crate::wire::MAX_SWIM_BYTES;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The time after which a suspected peer that has not refuted the suspicion is declared down.
pub(super) const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);

/// The time between two health checks of a gateway, each of which checks one peer.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The time after which a peer that has not replied to a health check is checked through other peers.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// The number of peers through which a peer that has not replied is checked.
const INDIRECT_HEALTH_CHECKS: usize = 3;
/// The least number of times that a gateway sends a change of the membership.
const MIN_TRANSMISSIONS: u8 = 6;
/// The time for which a peer that is down is still stored.
const DOWN_PEER_RETENTION: Duration = Duration::from_secs(60);
/// The time between two announcements to peers that are alive, and between two to peers that are down. The
/// announcements merge the parts of the fleet again after a network partition.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);
/// The number of peers that are alive to which each announcement is sent.
const ANNOUNCEMENTS_TO_ALIVE_PEERS: usize = 1;
/// The number of peers that are down to which each announcement is sent.
const ANNOUNCEMENTS_TO_DOWN_PEERS: usize = 2;
/// The time between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// The number of peers to which a round of gossip is sent.
const GOSSIP_FANOUT: usize = 3;

/// Returns foca's configuration for a fleet of `gateways` gateways.
pub(super) fn swim_config(gateways: usize) -> Config {
    let cluster_size =
        NonZeroU32::new(gateways.max(2) as u32).expect("cluster size is at least two");
    let defaults = Config::new_lan(cluster_size);
    let min_transmissions =
        NonZeroU8::new(MIN_TRANSMISSIONS).expect("minimum of transmissions is not zero");
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
    NonZeroUsize::new(number).expect("SWIM setting is not zero")
}
