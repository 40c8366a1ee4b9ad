//! Sets of IP addresses as ranges of numbers, and the search for all sets that an address is in.
//!
//! An IPv4 address and the IPv6 address that maps it are the same.

use fixedbitset::FixedBitSet;
use ipnet::IpNet;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

/// Ranges of addresses as numbers, both ends included, sorted and disjoint.
pub type Spans = Vec<(u128, u128)>;

/// An address as the number of its IPv6 form.
pub fn number(address: IpAddr) -> u128 {
    u128::from(match address {
        IpAddr::V4(address) => address.to_ipv6_mapped(),
        IpAddr::V6(address) => address,
    })
}

/// First and last address of a network.
pub fn span(network: &IpNet) -> (u128, u128) {
    (number(network.network()), number(network.broadcast()))
}

/// The addresses in any of some ranges, which need not be sorted or disjoint.
pub fn union(mut spans: Spans) -> Spans {
    spans.sort_unstable();
    let mut merged: Spans = Vec::with_capacity(spans.len());
    for (from, to) in spans {
        match merged.last_mut() {
            Some(last) if from <= last.1.saturating_add(1) => last.1 = last.1.max(to),
            _ => merged.push((from, to)),
        }
    }
    merged
}

/// The addresses that are in the first ranges and not in the second.
pub fn difference(a: &Spans, b: &Spans) -> Spans {
    let mut difference = Vec::with_capacity(a.len());
    let mut skipped = 0;
    for &(from, to) in a {
        while b.get(skipped).is_some_and(|(_, cut_to)| *cut_to < from) {
            skipped += 1;
        }
        let cuts = b[skipped..].iter();
        let cuts = cuts.take_while(|(cut_from, _)| *cut_from <= to);
        // The first address that no cut has covered; `None` behind the highest one.
        let mut next = Some(from);
        for &(cut_from, cut_to) in cuts {
            let Some(start) = next else { break };
            if cut_from > start {
                difference.push((start, cut_from - 1));
            }
            let after_cut = cut_to.checked_add(1).filter(|after| *after <= to);
            next = after_cut.map(|after| after.max(start));
        }
        difference.extend(next.map(|start| (start, to)));
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
    pub fn new(sets: &[Spans]) -> Self {
        let mut classes = AddressClasses {
            v4_starts: Vec::new(),
            v4_classes: Vec::new(),
            v6_starts: Vec::new(),
            v6_classes: Vec::new(),
            members: Vec::new(),
        };
        let mut class_by_members: HashMap<FixedBitSet, u32> = HashMap::new();
        let mut members = FixedBitSet::with_capacity(sets.len());
        let class = classes.class_of(&mut class_by_members, &members);
        classes.start(0, class);
        let boundaries = boundaries(sets);
        for boundaries in boundaries.chunk_by(|a, b| a.at == b.at) {
            for boundary in boundaries {
                members.set(boundary.set, boundary.is_start);
            }
            let class = classes.class_of(&mut class_by_members, &members);
            classes.start(boundaries[0].at, class);
        }
        classes.fill_v4();
        classes
    }

    fn class_of(
        &mut self,
        class_by_members: &mut HashMap<FixedBitSet, u32>,
        members: &FixedBitSet,
    ) -> u32 {
        *class_by_members.entry(members.clone()).or_insert_with(|| {
            self.members.push(members.clone());
            self.members.len() as u32 - 1
        })
    }

    fn start(&mut self, at: u128, class: u32) {
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
fn boundaries(sets: &[Spans]) -> Vec<Boundary> {
    let mut boundaries = Vec::new();
    for (set, spans) in sets.iter().enumerate() {
        for (from, to) in spans {
            boundaries.push(Boundary {
                at: *from,
                set,
                is_start: true,
            });
            let after = to.checked_add(1);
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
