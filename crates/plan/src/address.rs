//! Address sets, flattened into spans that part the whole space by who is in which set: one binary search tells all
//! sets that hold an address. IPv4 addresses and IPv6 ones that map them are the same.

use fixedbitset::FixedBitSet;
use ipnet::IpNet;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv6Addr};

/// Spans of addresses, both ends included, sorted and apart.
pub type Spans = Vec<(u128, u128)>;

fn as_v6(address: IpAddr) -> Ipv6Addr {
    match address {
        IpAddr::V4(a) => a.to_ipv6_mapped(),
        IpAddr::V6(a) => a,
    }
}

/// An address as a number in the one space that all share.
pub fn number(address: IpAddr) -> u128 {
    u128::from(as_v6(address))
}

/// First and last address of a network.
pub fn span(net: &IpNet) -> (u128, u128) {
    (number(net.network()), number(net.broadcast()))
}

/// The union, sorted and apart.
pub fn union(mut spans: Spans) -> Spans {
    spans.sort_unstable();
    let mut out: Spans = Vec::with_capacity(spans.len());
    for (from, to) in spans {
        match out.last_mut() {
            Some(last) if from <= last.1.saturating_add(1) => last.1 = last.1.max(to),
            _ => out.push((from, to)),
        }
    }
    out
}

/// What is in the first and not in the second; both sorted and apart.
pub fn difference(a: &Spans, b: &Spans) -> Spans {
    let mut out = Vec::with_capacity(a.len());
    let mut skip = 0;
    for &(from, to) in a {
        while b.get(skip).is_some_and(|cut| cut.1 < from) {
            skip += 1;
        }
        let mut at = Some(from);
        for cut in b[skip..].iter().take_while(|cut| cut.0 <= to) {
            let Some(begins) = at else { break };
            if cut.0 > begins {
                out.push((begins, cut.0 - 1));
            }
            at = cut
                .1
                .checked_add(1)
                .filter(|next| *next <= to)
                .map(|next| next.max(begins));
        }
        if let Some(begins) = at.filter(|at| *at <= to) {
            out.push((begins, to));
        }
    }
    out
}

/// Which sets hold an address, for a list of sets.
#[derive(Clone, Debug)]
pub struct AddressClasses {
    /// Where each span begins, over IPv4 as mapped, and outside of it.
    v4: Vec<u32>,
    v4_class: Vec<u32>,
    v6: Vec<u128>,
    v6_class: Vec<u32>,
    /// By class: the sets that hold its addresses.
    members: Vec<FixedBitSet>,
}

impl AddressClasses {
    pub fn new(sets: &[Spans]) -> Self {
        let mut cuts: Vec<(u128, usize, bool)> = Vec::new();
        for (set, spans) in sets.iter().enumerate() {
            for (from, to) in spans {
                cuts.push((*from, set, true));
                cuts.extend(to.checked_add(1).map(|after| (after, set, false)));
            }
        }
        cuts.sort_unstable();
        let mut classes = AddressClasses {
            v4: Vec::new(),
            v4_class: Vec::new(),
            v6: Vec::new(),
            v6_class: Vec::new(),
            members: Vec::new(),
        };
        let mut known: HashMap<FixedBitSet, u32> = HashMap::new();
        let mut now = FixedBitSet::with_capacity(sets.len());
        let mut class = classes.class_of(&mut known, &now);
        classes.begins(0, class);
        let mut rest = cuts.as_slice();
        while let Some(&(at, _, _)) = rest.first() {
            let same = rest.iter().take_while(|cut| cut.0 == at).count();
            let (here, later) = rest.split_at(same);
            here.iter()
                .for_each(|(_, set, begins)| now.set(*set, *begins));
            // A set that ends and begins at once goes on: what begins sorts behind what ends.
            class = classes.class_of(&mut known, &now);
            classes.begins(at, class);
            rest = later;
        }
        classes.part_v4();
        classes
    }

    fn class_of(&mut self, known: &mut HashMap<FixedBitSet, u32>, members: &FixedBitSet) -> u32 {
        *known.entry(members.clone()).or_insert_with(|| {
            self.members.push(members.clone());
            self.members.len() as u32 - 1
        })
    }

    fn begins(&mut self, at: u128, class: u32) {
        if self.v6_class.last() != Some(&class) {
            self.v6.push(at);
            self.v6_class.push(class);
        }
    }

    /// IPv4, which most clients have, gets a list of its own with short numbers.
    fn part_v4(&mut self) {
        let (first, last) = (
            number(IpAddr::from([0, 0, 0, 0])),
            number(IpAddr::from([255, 255, 255, 255])),
        );
        let begin = self.v6.partition_point(|at| *at <= first) - 1;
        let spans = self.v6[begin..]
            .iter()
            .zip(&self.v6_class[begin..])
            .take_while(|(at, _)| **at <= last);
        for (at, class) in spans {
            self.v4.push(at.saturating_sub(first) as u32);
            self.v4_class.push(*class);
        }
    }

    /// The class of an address; below [`AddressClasses::count`].
    pub fn class(&self, address: IpAddr) -> usize {
        let v6 = match address {
            IpAddr::V4(a) => {
                let at = self.v4.partition_point(|from| *from <= u32::from(a));
                return self.v4_class[at - 1] as usize;
            }
            IpAddr::V6(a) => u128::from(a),
        };
        self.v6_class[self.v6.partition_point(|from| *from <= v6) - 1] as usize
    }

    /// The sets that hold the addresses of a class.
    pub fn members(&self, class: usize) -> &FixedBitSet {
        &self.members[class]
    }

    pub fn count(&self) -> usize {
        self.members.len()
    }
}

#[cfg(test)]
mod tests;
