//! Represents sets of IP addresses as sorted ranges of integers and finds all sets that contain an address.
//!
//! IPv4 addresses are stored in their IPv4-mapped IPv6 form (`::ffff:a.b.c.d`), so an IPv4 address and its mapped IPv6
//! address are treated as equal.

use fixedbitset::FixedBitSet;
use ipnet::IpNet;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

/// An inclusive range of IP addresses, as integer values of their IPv6 form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AddressRange {
    /// Lowest address of the range.
    pub first: u128,
    /// Highest address of the range, inclusive.
    pub last: u128,
}

impl AddressRange {
    /// Returns the range of all addresses of a network.
    pub fn of(network: &IpNet) -> Self {
        AddressRange {
            first: to_integer(network.network()),
            last: to_integer(network.broadcast()),
        }
    }

    /// Returns whether the range contains `address`, an integer from [`to_integer`].
    pub fn contains(&self, address: u128) -> bool {
        (self.first..=self.last).contains(&address)
    }
}

/// Address ranges in ascending order, without overlaps.
pub type AddressRanges = Vec<AddressRange>;

/// Returns the integer value of an address; an IPv4 address is first mapped to IPv6.
pub fn to_integer(address: IpAddr) -> u128 {
    u128::from(match address {
        IpAddr::V4(address) => address.to_ipv6_mapped(),
        IpAddr::V6(address) => address,
    })
}

/// Returns the union of `ranges`, which may be unsorted and overlapping. Adjacent ranges are merged.
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

/// Returns the addresses that `a` contains and `b` does not.
pub fn difference(a: &AddressRanges, b: &AddressRanges) -> AddressRanges {
    let mut difference = Vec::with_capacity(a.len());
    let mut skipped = 0;
    for range in a {
        while b.get(skipped).is_some_and(|cut| cut.last < range.first) {
            skipped += 1;
        }
        let cuts = b[skipped..].iter();
        let cuts = cuts.take_while(|cut| cut.first <= range.last);
        // First address of the range after the cuts processed so far; `None` if no address follows them.
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

/// Partition of all addresses into classes, built from a list of address sets: two addresses are in the same class if
/// they are members of the same sets.
#[derive(Clone, Debug)]
pub struct AddressClasses {
    /// First address of each IPv4 range, ascending. IPv4 has its own table because most clients use it and comparing 32
    /// bits is cheaper than comparing 128.
    v4_starts: Vec<u32>,
    v4_classes: Vec<u32>,
    /// First address of each range over the whole IPv6 space, including the mapped IPv4 addresses, ascending.
    v6_starts: Vec<u128>,
    v6_classes: Vec<u32>,
    /// For each class, the indices of the sets that contain its addresses.
    members: Vec<FixedBitSet>,
}

/// An address at which a range of a set starts, or the first address after such a range.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Boundary {
    at: u128,
    set: usize,
    /// `false` sorts first: at the same address, the end of one range is applied before the start of the adjacent one,
    /// and the address remains a member of the set.
    is_start: bool,
}

impl AddressClasses {
    /// Computes the classes that `sets` distinguish.
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
        let first = to_integer(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        let last = to_integer(IpAddr::V4(Ipv4Addr::BROADCAST));
        let begin = self.v6_starts.partition_point(|start| *start <= first) - 1;
        let starts = self.v6_starts[begin..].iter();
        let ranges = starts.zip(&self.v6_classes[begin..]);
        for (start, class) in ranges.take_while(|(start, _)| **start <= last) {
            self.v4_starts.push(start.saturating_sub(first) as u32);
            self.v4_classes.push(*class);
        }
    }

    /// Returns the class of an address, an index less than [`AddressClasses::count`].
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

    /// Returns the indices of the sets that contain the addresses of a class.
    pub fn members(&self, class: usize) -> &FixedBitSet {
        &self.members[class]
    }

    /// Returns the number of classes, at least 1.
    pub fn count(&self) -> usize {
        self.members.len()
    }
}

/// Returns the boundaries of all ranges of all sets, in ascending order of address.
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
