//! A plan as values: sets, pools, groups, tenants, routes and limits, with names resolved and places kept. Its own
//! evaluation is plain and slow; `garnetwall-routing` compiles it.

use crate::address::{number, Spans};
use crate::files::Span;
use crate::quantity::DAY;
use serde::Serialize;
use std::net::IpAddr;
use std::time::Duration;

/// A share of further dispatches counts over so many seconds, and lets one be sent whatever came.
pub const FURTHER_WINDOW: f64 = 60.0;
pub const FURTHER_FLOOR: f64 = 1.0;

/// What a route can ask of a batch.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    pub group: &'a str,
    pub tenant: &'a str,
    pub client: IpAddr,
    /// Whether it has a key.
    pub key: bool,
    pub data_set: u32,
    /// Minute of the day, UTC.
    pub minute: u32,
}

/// What a pool can ask of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineFacts<'a> {
    pub id: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub address: IpAddr,
}

/// A whole plan. Pools and sets are referred to by their index.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Plan {
    pub addresses: Vec<AddressSet>,
    pub pools: Vec<Pool>,
    pub groups: Vec<Group>,
    pub tenants: Vec<Tenant>,
    pub routes: Vec<Route>,
    pub limits: Vec<Limit>,
    pub bodies: Option<Bodies>,
    pub journal: Option<Journal>,
    /// Pools in an order in which each comes after those that it refers to.
    #[serde(skip)]
    pub pool_order: Vec<usize>,
}

/// A set of addresses.
#[derive(Clone, Debug, Serialize)]
pub struct AddressSet {
    pub name: String,
    #[serde(skip)]
    pub span: Span,
    /// All that is in it, others included and exceptions taken out.
    #[serde(serialize_with = "spans")]
    pub spans: Spans,
}

fn spans<S: serde::Serializer>(spans: &Spans, s: S) -> Result<S::Ok, S::Error> {
    let ip = |n: u128| {
        let v6 = std::net::Ipv6Addr::from(n);
        v6.to_ipv4_mapped()
            .map_or_else(|| v6.to_string(), |v4| v4.to_string())
    };
    s.collect_seq(
        spans
            .iter()
            .map(|(from, to)| format!("{}..{}", ip(*from), ip(*to))),
    )
}

impl AddressSet {
    pub fn holds(&self, address: IpAddr) -> bool {
        let n = number(address);
        self.spans
            .iter()
            .any(|(from, to)| (*from..=*to).contains(&n))
    }
}

/// A set of engines: those that fit all of `zones` to `addresses` that are given, and those of `union`, less `except`.
#[derive(Clone, Debug, Serialize)]
pub struct Pool {
    pub name: String,
    #[serde(skip)]
    pub span: Span,
    pub all: bool,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub ids: Vec<String>,
    pub addresses: Vec<usize>,
    pub union: Vec<usize>,
    pub except: Vec<usize>,
}

impl Pool {
    /// Whether it says of itself which engines it has, beside other pools.
    pub fn selects(&self) -> bool {
        let lists = [&self.zones, &self.kinds, &self.ids]
            .iter()
            .any(|list| !list.is_empty());
        self.all || lists || !self.addresses.is_empty()
    }

    /// Whether an engine fits what the pool says itself, told by how it fits each thing.
    pub fn fits(
        &self,
        zone: impl Fn(&str) -> bool,
        kind: impl Fn(&str) -> bool,
        id: impl Fn(&str) -> bool,
        address: impl Fn(usize) -> bool,
    ) -> bool {
        let any = |list: &[String], fits: &dyn Fn(&str) -> bool| {
            list.is_empty() || list.iter().any(|v| fits(v))
        };
        self.selects()
            && any(&self.zones, &zone)
            && any(&self.kinds, &kind)
            && any(&self.ids, &id)
            && (self.addresses.is_empty() || self.addresses.iter().any(|set| address(*set)))
    }
}

/// Whether a pattern, in which `*` stands for any characters, fits a text.
pub fn fits_pattern(pattern: &str, text: &str) -> bool {
    let mut parts = pattern.split('*');
    let first = parts.next().unwrap_or_default();
    let Some(mut rest) = text.strip_prefix(first) else {
        return false;
    };
    let mut parts = parts.peekable();
    if parts.peek().is_none() {
        return rest.is_empty();
    }
    while let Some(part) = parts.next() {
        if parts.peek().is_none() {
            return rest.ends_with(part);
        }
        let Some(at) = rest.find(part) else {
            return false;
        };
        rest = &rest[at + part.len()..];
    }
    true
}

/// Who drops repeats of a referenced batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    Everywhere,
    Zone,
    Cell,
}

/// Whether a batch that may have run may run again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Repeatable,
    Referenced {
        scope: Scope,
        #[serde(serialize_with = "seconds")]
        window: Duration,
    },
    OnceOnly,
}

impl Effect {
    /// Whether whatever this allows the other allows, too.
    pub fn narrows(&self, other: &Effect) -> bool {
        match (self, other) {
            (Effect::OnceOnly, _) | (_, Effect::Repeatable) => true,
            (Effect::Repeatable, _) | (_, Effect::OnceOnly) => false,
            (
                Effect::Referenced { scope, window },
                Effect::Referenced {
                    scope: wider,
                    window: longer,
                },
            ) => {
                let place = |s: &Scope| match s {
                    Scope::Everywhere => 0,
                    Scope::Zone => 1,
                    Scope::Cell => 2,
                };
                place(scope) >= place(wider) && window <= longer
            }
        }
    }
}

fn seconds<S: serde::Serializer>(time: &Duration, s: S) -> Result<S::Ok, S::Error> {
    s.serialize_f64(time.as_secs_f64())
}

fn maybe_seconds<S: serde::Serializer>(time: &Option<Duration>, s: S) -> Result<S::Ok, S::Error> {
    match time {
        Some(time) => seconds(time, s),
        None => s.serialize_none(),
    }
}

/// Rules of a service group; what is not given stays as the settings have it.
#[derive(Clone, Debug, Serialize)]
pub struct Group {
    pub name: String,
    #[serde(skip)]
    pub span: Span,
    #[serde(serialize_with = "maybe_seconds")]
    pub goal: Option<Duration>,
    #[serde(serialize_with = "maybe_seconds")]
    pub limit: Option<Duration>,
    /// Pools that its batches never leave.
    pub pools: Vec<usize>,
    #[serde(skip)]
    pub pools_span: Option<Span>,
    pub in_order: Option<bool>,
    pub effect: Option<Effect>,
    /// Further dispatches as a share of its batches.
    pub further: Option<f64>,
    /// Bytes.
    pub statement: Option<u64>,
}

/// A rate each second, and how much of it may come at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Bucket {
    pub rate: f64,
    pub burst: f64,
}

/// Limits of a tenant.
#[derive(Clone, Debug, Serialize)]
pub struct Tenant {
    pub name: String,
    #[serde(skip)]
    pub span: Span,
    /// Part of the gateway's room, 0 to 1.
    pub share: Option<f64>,
    pub in_hand: Option<u64>,
    pub rate: Option<Bucket>,
    pub bytes: Option<Bucket>,
}

/// Where batches go, and which.
#[derive(Clone, Debug, Serialize)]
pub struct Route {
    pub name: String,
    #[serde(skip)]
    pub span: Span,
    pub groups: Vec<String>,
    pub tenants: Vec<String>,
    pub clients: Vec<usize>,
    pub key: Option<bool>,
    /// From, to (included).
    pub data_sets: Vec<(u32, u32)>,
    /// Minutes of the day: from, until (excluded); over midnight where the second is not above the first.
    pub hours: Vec<(u32, u32)>,
    /// Pools in order of preference; all engines where it is empty.
    pub to: Vec<usize>,
    #[serde(skip)]
    pub to_span: Option<Span>,
    pub as_group: Option<String>,
    #[serde(skip)]
    pub as_span: Option<Span>,
    pub refuse: Option<String>,
}

impl Route {
    pub fn open_at(&self, minute: u32) -> bool {
        let within = |(from, until): &(u32, u32)| match from < until {
            true => (*from..*until).contains(&minute),
            false => minute >= *from || minute < *until,
        };
        self.hours.is_empty() || self.hours.iter().any(within)
    }

    /// The first thing that it asks for and a batch has not; none where it takes the batch.
    pub fn unmet(&self, facts: &Facts, sets: &[AddressSet]) -> Option<&'static str> {
        let named = |list: &[String], name: &str| list.is_empty() || list.iter().any(|n| n == name);
        let held = |set: &usize| sets.get(*set).is_some_and(|s| s.holds(facts.client));
        let among = |(from, to): &(u32, u32)| (*from..=*to).contains(&facts.data_set);
        if !named(&self.groups, facts.group) {
            Some("group")
        } else if !named(&self.tenants, facts.tenant) {
            Some("tenant")
        } else if !self.clients.is_empty() && !self.clients.iter().any(held) {
            Some("client")
        } else if self.key.is_some_and(|key| key != facts.key) {
            Some("key")
        } else if !self.data_sets.is_empty() && !self.data_sets.iter().any(among) {
            Some("data-set")
        } else if !self.open_at(facts.minute % DAY) {
            Some("hours")
        } else {
            None
        }
    }
}

/// For what a limit is kept apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Per {
    Group,
    Tenant,
    Client,
}

/// A limit on what is taken.
#[derive(Clone, Debug, Serialize)]
pub struct Limit {
    pub name: String,
    #[serde(skip)]
    pub span: Span,
    pub per: Vec<Per>,
    pub groups: Vec<String>,
    pub tenants: Vec<String>,
    pub clients: Vec<usize>,
    pub in_hand: Option<u64>,
    pub rate: Option<Bucket>,
    pub bytes: Option<Bucket>,
}

impl Limit {
    pub fn counts(&self, facts: &Facts, sets: &[AddressSet]) -> bool {
        let named = |list: &[String], name: &str| list.is_empty() || list.iter().any(|n| n == name);
        let held = |set: &usize| sets.get(*set).is_some_and(|s| s.holds(facts.client));
        named(&self.groups, facts.group)
            && named(&self.tenants, facts.tenant)
            && (self.clients.is_empty() || self.clients.iter().any(held))
    }
}

/// Where bodies are kept; sizes in bytes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Bodies {
    pub memory: u64,
    pub batch_memory: u64,
    pub files: u64,
    pub directory: Option<String>,
    pub batch: u64,
    /// 0 to 1.
    pub share: f64,
    pub unknown_length: bool,
    pub must_keep: Vec<String>,
}

/// Where once-only batches are written down.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Journal {
    pub directory: String,
}

impl Plan {
    /// The pools that hold an engine, by their index.
    pub fn pools_of(&self, engine: &EngineFacts) -> Vec<bool> {
        self.pools_by(|pool| {
            pool.fits(
                |zone| zone == engine.zone,
                |kind| kind == engine.kind,
                |id| fits_pattern(id, engine.id),
                |set| {
                    self.addresses
                        .get(set)
                        .is_some_and(|s| s.holds(engine.address))
                },
            )
        })
    }

    /// The pools that hold what fits the pools' own words as told.
    pub fn pools_by(&self, fits: impl Fn(&Pool) -> bool) -> Vec<bool> {
        let mut holds = vec![false; self.pools.len()];
        for n in &self.pool_order {
            let pool = &self.pools[*n];
            let among = |list: &[usize]| list.iter().any(|other| holds[*other]);
            holds[*n] = (fits(pool) || among(&pool.union)) && !among(&pool.except);
        }
        holds
    }

    /// The route that takes a batch: the first that does.
    pub fn route_of(&self, facts: &Facts) -> Option<&Route> {
        self.routes
            .iter()
            .find(|r| r.unmet(facts, &self.addresses).is_none())
    }

    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.iter().find(|g| g.name == name)
    }

    pub fn tenant(&self, name: &str) -> Option<&Tenant> {
        self.tenants.iter().find(|t| t.name == name)
    }

    /// Whether the rules of a batch's group, and of the one that it is treated as, let it run on an engine.
    pub fn bound_to(&self, groups: &[&str], holds: &[bool]) -> bool {
        let rules = groups
            .iter()
            .filter_map(|g| self.group(g))
            .filter(|g| !g.pools.is_empty());
        rules.into_iter().all(|g| g.pools.iter().any(|p| holds[*p]))
    }

    /// For each preference of a batch, in order, whether it holds an engine. Where no route tells, all engines are one.
    pub fn tiers(&self, facts: &Facts, engine: &EngineFacts) -> Vec<bool> {
        let holds = self.pools_of(engine);
        let route = self.route_of(facts);
        let mut groups = vec![facts.group];
        groups.extend(route.and_then(|r| r.as_group.as_deref()));
        let bound = self.bound_to(&groups, &holds);
        match route.map(|r| r.to.as_slice()) {
            None | Some([]) => vec![bound],
            Some(to) => to.iter().map(|p| bound && holds[*p]).collect(),
        }
    }
}
