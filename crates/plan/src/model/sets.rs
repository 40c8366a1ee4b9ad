//! Defines address sets and pools of engines.

use crate::address::{to_integer, AddressRanges};
use crate::files::Span;
use serde::{Serialize, Serializer};
use std::net::{IpAddr, Ipv6Addr};

/// A named set of IP addresses of clients or engines.
#[derive(Clone, Debug, Serialize)]
pub struct AddressSet {
    /// Unique name of the address set.
    pub name: String,
    /// Span of the name in the plan.
    #[serde(skip)]
    pub span: Span,
    /// Addresses of the set, including those of referenced sets, without the excluded networks.
    #[serde(rename = "spans", serialize_with = "printed_ranges")]
    pub ranges: AddressRanges,
}

impl AddressSet {
    /// Returns whether the set contains an address.
    pub fn contains(&self, address: IpAddr) -> bool {
        let number = to_integer(address);
        self.ranges.iter().any(|range| range.contains(number))
    }
}

/// A named set of engines.
///
/// A pool contains the engines that match all entries from `all` to `addresses`, and the engines of the pools in
/// `union`, without the engines of the pools in `except`.
#[derive(Clone, Debug, Serialize)]
pub struct Pool {
    /// Unique name of the pool.
    pub name: String,
    /// Span of the name in the plan.
    #[serde(skip)]
    pub span: Span,
    /// Selects every engine that matches the other entries.
    pub all: bool,
    /// Selects the engines in one of these zones; empty for any zone.
    pub zones: Vec<String>,
    /// Selects the engines of one of these kinds; empty for any kind.
    pub kinds: Vec<String>,
    /// Selects the engines whose id matches one of these patterns; empty for any id.
    pub ids: Vec<String>,
    /// Selects the engines with an address in one of these address sets, by index; empty for any address.
    pub addresses: Vec<usize>,
    /// Indices of pools whose engines are included.
    pub union: Vec<usize>,
    /// Indices of pools whose engines are excluded.
    pub except: Vec<usize>,
}

impl Pool {
    /// Returns whether the pool has entries that select engines directly, apart from `union`.
    pub fn has_selectors(&self) -> bool {
        let names = [&self.zones, &self.kinds, &self.ids];
        self.all || !self.addresses.is_empty() || names.iter().any(|names| !names.is_empty())
    }

    /// Returns whether the pool directly selects an engine, without `union` and `except`. The arguments state whether
    /// the engine matches a zone, a kind, an id pattern and an address set.
    pub fn matches(
        &self,
        zone: impl Fn(&str) -> bool,
        kind: impl Fn(&str) -> bool,
        id: impl Fn(&str) -> bool,
        address: impl Fn(usize) -> bool,
    ) -> bool {
        let any = |names: &[String], matches: &dyn Fn(&str) -> bool| {
            names.is_empty() || names.iter().any(|name| matches(name))
        };
        let in_sets = self.addresses.is_empty() || self.addresses.iter().any(|set| address(*set));
        self.has_selectors()
            && any(&self.zones, &zone)
            && any(&self.kinds, &kind)
            && any(&self.ids, &id)
            && in_sets
    }
}

/// Returns whether a text matches a pattern in which `*` stands for any number of characters.
pub fn matches_pattern(pattern: &str, text: &str) -> bool {
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

/// Formats an address; an IPv4-mapped address is printed as IPv4.
fn printed(address: u128) -> String {
    let address = Ipv6Addr::from(address);
    match address.to_ipv4_mapped() {
        Some(mapped) => mapped.to_string(),
        None => address.to_string(),
    }
}
