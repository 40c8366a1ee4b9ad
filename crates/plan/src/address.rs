//! Sets of IP addresses as ranges of numbers, and the search for all sets that an address is in.
//!
//! An IPv4 address and the IPv6 address that maps it are the same.

use fixedbitset::FixedBitSet;
use ipnet::IpNet;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

/// Consecutive addresses, as the numbers of their IPv6 form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AddressRange {
    /// The lowest address.
    pub first: u128,
    /// The highest address, which is in the range.
    pub last: u128,
}

impl AddressRange {
    /// The addresses of a network.
    pub fn of(network: &IpNet) -> Self {
        AddressRange {
            first: number(network.network()),
            last: number(network.broadcast()),
        }
    }

    /// Whether an address, as a number, is in the range.
    pub fn contains(&self, address: u128) -> bool {
        (self.first..=self.last).contains(&address)
    }
}

/// Ranges of addresses, sorted and disjoint.
pub type AddressRanges = Vec<AddressRange>;

/// An address as the number of its IPv6 form.
pub fn number(address: IpAddr) -> u128 {
    u128::from(match address {
        IpAddr::V4(address) => address.to_ipv6_mapped(),
        IpAddr::V6(address) => address,
    })
}

/// The addresses in any of some ranges, which need not be sorted or disjoint.
pub fn union(mut ranges: Vec<AddressRange>) -> AddressRanges {
    ranges.sort_unstable();
    let mut merged: AddressRanges = Vec::with_capacity(ranges.len());
    for range in ranges {
        match merged.last_mut() {
            Some(previous) if range.first <= previous.last.saturating_add(1) => {
                previous.last = previous.last.max(range.last);
            }
            _ => merged.push(range),
        }
    }
    merged
}

/// The addresses that are in the first ranges and not in the second.
pub fn difference(a: &AddressRanges, b: &AddressRanges) -> AddressRanges {
    let mut difference = Vec::with_capacity(a.len());
    let mut skipped = 0;
    for range in a {
        while b.get(skipped).is_some_and(|cut| cut.last < range.first) {
            skipped += 1;
        }
        let cuts = b[skipped..].iter();
        let cuts = cuts.take_while(|cut| cut.first <= range.last);
        // The first address that no cut has covered; `None` behind the highest one.
        let mut next = Some(range.first);
        for cut in cuts {
            let Some(first) = next else { break };
            if cut.first > first {
                let last = cut.first - 1;
                difference.push(AddressRange { first, last });
            }
            let after_cut = cut.last.checked_add(1);
            let after_cut = after_cut.filter(|after| *after <= range.last);
            next = after_cut.map(|after| after.max(first));
        }
        let last = range.last;
        difference.extend(next.map(|first| AddressRange { first, last }));
    }
    difference
}

/// The address classes of a list of sets: two addresses of a class are in the same sets.
#[derive(Clone, Debug)]
pub struct AddressClasses {
    /// Where each range of IPv4 addresses starts, ascending. IPv4, which most clients have, has shorter numbers.
    v4_starts: Vec<u32>,
    v4_classes: Vec<u32>,
    /// Where each range of all addresses starts, ascending.
    v6_starts: Vec<u128>,
    v6_classes: Vec<u32>,
    /// The sets that the addresses of each class are in.
    members: Vec<FixedBitSet>,
}

/// An address from which on a set has the addresses, or no longer has them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Boundary {
    at: u128,
    set: usize,
    /// Sorts a start behind an end, so that adjoining ranges of a set are one.
    is_start: bool,
}

impl AddressClasses {
    /// The classes of some sets.
    pub fn new(sets: &[AddressRanges]) -> Self {
        let mut classes = AddressClasses {
            v4_starts: Vec::new(),
            v4_classes: Vec::new(),
            v6_starts: Vec::new(),
            v6_classes: Vec::new(),
            members: Vec::new(),
        };
        let mut class_by_members: HashMap<FixedBitSet, u32> = HashMap::new();
        let mut members = FixedBitSet::with_capacity(sets.len());
        let class = classes.class_with_members(&mut class_by_members, &members);
        classes.start_range(0, class);
        let boundaries = boundaries(sets);
        for boundaries in boundaries.chunk_by(|a, b| a.at == b.at) {
            for boundary in boundaries {
                members.set(boundary.set, boundary.is_start);
            }
            let class = classes.class_with_members(&mut class_by_members, &members);
            classes.start_range(boundaries[0].at, class);
        }
        classes.fill_v4();
        classes
    }

    fn class_with_members(
        &mut self,
        class_by_members: &mut HashMap<FixedBitSet, u32>,
        members: &FixedBitSet,
    ) -> u32 {
        *class_by_members.entry(members.clone()).or_insert_with(|| {
            self.members.push(members.clone());
            self.members.len() as u32 - 1
        })
    }

    fn start_range(&mut self, at: u128, class: u32) {
        if self.v6_classes.last() != Some(&class) {
            self.v6_starts.push(at);
            self.v6_classes.push(class);
        }
    }

    fn fill_v4(&mut self) {
        let first = number(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        let last = number(IpAddr::V4(Ipv4Addr::BROADCAST));
        let begin = self.v6_starts.partition_point(|start| *start <= first) - 1;
        let starts = self.v6_starts[begin..].iter();
        let ranges = starts.zip(&self.v6_classes[begin..]);
        for (start, class) in ranges.take_while(|(start, _)| **start <= last) {
            self.v4_starts.push(start.saturating_sub(first) as u32);
            self.v4_classes.push(*class);
        }
    }

    /// The class of an address, below [`AddressClasses::count`].
    pub fn class(&self, address: IpAddr) -> usize {
        match address {
            IpAddr::V4(address) => {
                let number = u32::from(address);
                let range = self.v4_starts.partition_point(|start| *start <= number) - 1;
                self.v4_classes[range] as usize
            }
            IpAddr::V6(address) => {
                let number = u128::from(address);
                let range = self.v6_starts.partition_point(|start| *start <= number) - 1;
                self.v6_classes[range] as usize
            }
        }
    }

    /// The sets that the addresses of a class are in, by index.
    pub fn members(&self, class: usize) -> &FixedBitSet {
        &self.members[class]
    }

    /// How many classes there are.
    pub fn count(&self) -> usize {
        self.members.len()
    }
}

/// The boundaries of all ranges, in order.
fn boundaries(sets: &[AddressRanges]) -> Vec<Boundary> {
    let mut boundaries = Vec::new();
    for (set, ranges) in sets.iter().enumerate() {
        for range in ranges {
            boundaries.push(Boundary {
                at: range.first,
                set,
                is_start: true,
            });
            let after = range.last.checked_add(1);
            boundaries.extend(after.map(|at| Boundary {
                at,
                set,
                is_start: false,
            }));
        }
    }
    boundaries.sort_unstable();
    boundaries
}

#[cfg(test)]
mod tests;
