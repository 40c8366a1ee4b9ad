//! Shares of a budget of the fleet, as leased units.
//!
//! Each unit is a resource with one holder, so that the sum of the held units never exceeds the budget, over any partition
//! or restart. Rendezvous hashing decides which member claims which unit: members that see the same fleet agree, and a
//! member that joins or leaves moves its own part only.

use crate::lease_holder::LeaseHolder;
use crate::message::Resource;
use std::time::Duration;

/// More units make finer shares and more to claim; a fleet of more members than units has some with none.
pub const MAX_UNITS: u32 = 1024;

/// A budget of the fleet in equal units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    name: u64,
    units: u32,
}

impl Budget {
    /// A budget by its name, in so many units, [`MAX_UNITS`] at most.
    pub fn new(name: &str, units: u32) -> Budget {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        Budget {
            name: u64::from_le_bytes(first),
            units: units.clamp(1, MAX_UNITS),
        }
    }

    /// How many units there are.
    pub fn units(&self) -> u32 {
        self.units
    }

    fn unit(&self, n: u32) -> Resource {
        Resource(mix(self.name, u64::from(n)))
    }

    fn resources(&self) -> impl Iterator<Item = Resource> + '_ {
        (0..self.units).map(|n| self.unit(n))
    }

    /// The units that a gateway should want, given the gateways that it sees, itself included.
    pub fn due<'a>(&'a self, me: u64, there: &'a [u64]) -> impl Iterator<Item = Resource> + 'a {
        self.resources().filter(move |unit| {
            let mine = (mix(unit.0, me), me);
            there
                .iter()
                .all(|other| (mix(unit.0, *other), *other) <= mine)
        })
    }

    /// Makes a holder claim the units that are due to it and release all others.
    pub fn settle(&self, holder: &mut LeaseHolder, now: Duration, me: u64, there: &[u64]) {
        let mut due = self.due(me, there).peekable();
        for unit in self.resources() {
            match due.next_if_eq(&unit) {
                Some(unit) => holder.want(now, unit),
                None => holder.release(now, unit),
            }
        }
    }

    /// How many units are held now; to be checked right before they are used.
    pub fn held(&self, holder: &LeaseHolder, now: Duration) -> u32 {
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
