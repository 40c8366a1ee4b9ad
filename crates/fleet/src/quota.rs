//! Divides a quota of the whole fleet into units, which gateways lease.
//!
//! Each unit is a resource with at most one holder, so that the sum of the held units never exceeds the quota, even
//! during partitions and restarts. Rendezvous hashing assigns units to gateways: gateways that see the same members
//! compute the same assignment, and when a gateway joins or leaves only the units assigned to it move.

use crate::lease_holder::LeaseHolder;
use crate::lease_message::Resource;
use std::time::Duration;

/// The largest number of units of a quota. More units give finer shares but need more claims; if a fleet has more
/// gateways than units, some gateways get none.
pub const MAX_UNITS: u32 = 1024;

/// A quota of the fleet, divided into units of equal size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetQuota {
    name_hash: u64,
    unit_count: u32,
}

impl FleetQuota {
    /// Returns the quota with this name. `unit_count` is limited to the range from 1 to [`MAX_UNITS`].
    pub fn new(name: &str, unit_count: u32) -> FleetQuota {
        let hash = blake3::hash(name.as_bytes());
        let mut name_hash = [0; size_of::<u64>()];
        name_hash.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
        FleetQuota {
            name_hash: u64::from_le_bytes(name_hash),
            unit_count: unit_count.clamp(1, MAX_UNITS),
        }
    }

    /// Returns the number of units of the quota, from 1 to [`MAX_UNITS`].
    pub fn unit_count(&self) -> u32 {
        self.unit_count
    }

    fn unit(&self, n: u32) -> Resource {
        Resource(mix(self.name_hash, u64::from(n)))
    }

    fn resources(&self) -> impl Iterator<Item = Resource> + '_ {
        (0..self.unit_count).map(|n| self.unit(n))
    }

    /// Returns the units that are assigned to `gateway` when the fleet consists of `gateways`, which includes it.
    pub fn desired_units<'a>(
        &'a self,
        gateway: u64,
        gateways: &'a [u64],
    ) -> impl Iterator<Item = Resource> + 'a {
        self.resources().filter(move |unit| {
            let own_score = (mix(unit.0, gateway), gateway);
            gateways
                .iter()
                .all(|other| (mix(unit.0, *other), *other) <= own_score)
        })
    }

    /// Makes the holder claim the units that are assigned to `gateway` and release all others. To be called again
    /// whenever `gateways` changes.
    pub fn rebalance(
        &self,
        holder: &mut LeaseHolder,
        now: Duration,
        gateway: u64,
        gateways: &[u64],
    ) {
        let mut desired = self.desired_units(gateway, gateways).peekable();
        for unit in self.resources() {
            match desired.next_if_eq(&unit) {
                Some(unit) => holder.want(now, unit),
                None => holder.release(now, unit),
            }
        }
    }

    /// Returns the number of units that are held at `now`. Callers must check it directly before they use the units,
    /// since a lease can expire at any time.
    pub fn held_units(&self, holder: &LeaseHolder, now: Duration) -> u32 {
        self.resources()
            .filter(|unit| holder.holds(now, *unit).is_some())
            .count() as u32
    }
}

/// Hashes two numbers into one, with the finalizer of SplitMix64.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
