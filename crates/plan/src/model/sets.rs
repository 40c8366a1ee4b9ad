//! Sets of addresses, and pools of engines.

use crate::address::{number, AddressRanges};
use crate::files::Span;
use serde::{Serialize, Serializer};
use std::net::{IpAddr, Ipv6Addr};

/// A set of addresses.
#[derive(Clone, Debug, Serialize)]
pub struct AddressSet {
    /// Its name.
    pub name: String,
    /// The place of the name.
    #[serde(skip)]
    pub span: Span,
    /// All its addresses, with those of included sets and without exceptions.
    #[serde(rename = "spans", serialize_with = "printed_ranges")]
    pub ranges: AddressRanges,
}

impl AddressSet {
    /// Whether an address is in the set.
    pub fn contains(&self, address: IpAddr) -> bool {
        let number = number(address);
        self.ranges.iter().any(|range| range.contains(number))
    }
}

/// A set of engines: those that fit the selection of `all` to `addresses`, and those of `union`, without `except`.
#[derive(Clone, Debug, Serialize)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// The place of the name.
    #[serde(skip)]
    pub span: Span,
    /// Selects every engine.
    pub all: bool,
    /// Selects the engines in one of these zones; any where it is empty.
    pub zones: Vec<String>,
    /// Selects the engines of one of these kinds; any where it is empty.
    pub kinds: Vec<String>,
    /// Selects the engines whose id fits one of these patterns; any where it is empty.
    pub ids: Vec<String>,
    /// Selects the engines at an address of one of these sets, by index; any where it is empty.
    pub addresses: Vec<usize>,
    /// Pools whose engines are in this one, by index.
    pub union: Vec<usize>,
    /// Pools whose engines are not in this one, by index.
    pub except: Vec<usize>,
}

impl Pool {
    /// Whether the pool selects engines itself, beside those of other pools.
    pub fn selects(&self) -> bool {
        let names = [&self.zones, &self.kinds, &self.ids];
        self.all || !self.addresses.is_empty() || names.iter().any(|names| !names.is_empty())
    }

    /// Whether the pool itself selects an engine, given whether the engine fits a zone, a kind, a pattern of ids and
    /// an address set.
    pub fn fits(
        &self,
        zone: impl Fn(&str) -> bool,
        kind: impl Fn(&str) -> bool,
        id: impl Fn(&str) -> bool,
        address: impl Fn(usize) -> bool,
    ) -> bool {
        let any = |names: &[String], fits: &dyn Fn(&str) -> bool| {
            names.is_empty() || names.iter().any(|name| fits(name))
        };
        let in_sets = self.addresses.is_empty() || self.addresses.iter().any(|set| address(*set));
        self.selects()
            && any(&self.zones, &zone)
            && any(&self.kinds, &kind)
            && any(&self.ids, &id)
            && in_sets
    }
}

/// Whether a text fits a pattern in which `*` stands for any characters.
pub fn fits_pattern(pattern: &str, text: &str) -> bool {
    let Some((prefix, pattern)) = pattern.split_once('*') else {
        return pattern == text;
    };
    let Some(mut text) = text.strip_prefix(prefix) else {
        return false;
    };
    let (inner, suffix) = pattern.rsplit_once('*').unwrap_or(("", pattern));
    for part in inner.split('*') {
        let Some(start) = text.find(part) else {
            return false;
        };
        text = &text[start + part.len()..];
    }
    text.ends_with(suffix)
}

fn printed_ranges<S: Serializer>(ranges: &AddressRanges, serializer: S) -> Result<S::Ok, S::Error> {
    let ranges = ranges
        .iter()
        .map(|range| format!("{}..{}", printed(range.first), printed(range.last)));
    serializer.collect_seq(ranges)
}

/// An address as it is printed: IPv4 where it maps one.
fn printed(address: u128) -> String {
    let address = Ipv6Addr::from(address);
    match address.to_ipv4_mapped() {
        Some(mapped) => mapped.to_string(),
        None => address.to_string(),
    }
}
