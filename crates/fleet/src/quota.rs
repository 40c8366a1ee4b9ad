//! A quota of the whole fleet, shared out as leased units.
//!
//! Each unit is a resource with one holder, so that the sum of the held units never exceeds the quota, over any partition
//! or restart. Rendezvous hashing decides which gateway claims which unit: gateways that see the same fleet agree, and a
//! gateway that joins or leaves moves its own part only.

use crate::lease_holder::LeaseHolder;
use crate::lease_message::Resource;
use std::time::Duration;

/// More units make finer shares and more to claim; a fleet of more gateways than units has some with none.
pub const MAX_UNITS: u32 = 1024;

/// A quota of the fleet in equal units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetQuota {
    name_hash: u64,
    unit_count: u32,
}

impl FleetQuota {
    /// A quota by its name, in so many units, [`MAX_UNITS`] at most.
    pub fn new(name: &str, unit_count: u32) -> FleetQuota {
        let hash = blake3::hash(name.as_bytes());
        let mut name_hash = [0; size_of::<u64>()];
        name_hash.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
        FleetQuota {
            name_hash: u64::from_le_bytes(name_hash),
            unit_count: unit_count.clamp(1, MAX_UNITS),
        }
    }

    /// How many units there are.
    pub fn unit_count(&self) -> u32 {
        self.unit_count
    }

    fn unit(&self, n: u32) -> Resource {
        Resource(mix(self.name_hash, u64::from(n)))
    }

    fn resources(&self) -> impl Iterator<Item = Resource> + '_ {
        (0..self.unit_count).map(|n| self.unit(n))
    }

    /// The units that a gateway should want, given the gateways that it sees, itself included.
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

    /// Makes a holder claim the units that it should want and release all others.
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

    /// How many units are held now; to be checked right before they are used.
    pub fn held_units(&self, holder: &LeaseHolder, now: Duration) -> u32 {
        self.resources()
            .filter(|unit| holder.holds(now, *unit).is_some())
            .count() as u32
    }
}

/// Spreads two numbers over all: the finisher of splitmix64.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
