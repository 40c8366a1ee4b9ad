//! The timing of the SWIM protocol.

use crate::wire::MAX_SWIM_BYTES;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A health check each half second; a failure is known to all members within some seconds.
pub(super) fn config(size: NonZeroU32) -> Config {
    let few = |n| NonZeroUsize::new(n).expect("not zero");
    let defaults = Config::new_lan(size);
    Config {
        probe_period: Duration::from_millis(500),
        probe_rtt: Duration::from_millis(200),
        num_indirect_probes: few(3),
        max_transmissions: defaults
            .max_transmissions
            .max(NonZeroU8::new(6).expect("not zero")),
        suspect_to_down_after: Duration::from_millis(1500),
        remove_down_after: Duration::from_secs(60),
        max_packet_size: few(MAX_SWIM_BYTES),
        periodic_announce: Some(PeriodicParams {
            frequency: Duration::from_secs(5),
            num_members: few(1),
        }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: Duration::from_secs(5),
            num_members: few(2),
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: Duration::from_millis(200),
            num_members: few(3),
        }),
        ..defaults
    }
}
