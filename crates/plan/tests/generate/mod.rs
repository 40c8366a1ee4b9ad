//! Generates random valid plans over a small set of names and addresses, so that their blocks often overlap and refer
//! to one another.

#![allow(dead_code)] // Each test binary uses only some of the functions.

use garnetwall_plan::model::{EngineAttributes, Plan, QueryFacts};
use garnetwall_plan::source::InMemory;
use garnetwall_plan::{compile, Compiled};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{select, subsequence};
use std::net::IpAddr;

pub const CLASSES: [&str; 4] = ["lookup", "report", "sale-load", "trend-report"];
pub const TENANTS: [&str; 3] = ["acme", "bravo", "mura"];
pub const ZONES: [&str; 3] = ["maribor", "tezno", "ptuj"];
pub const KINDS: [&str; 3] = ["engine-8", "engine-16", "engine-32"];
const NETS: [&str; 6] = [
    "10.0.0.0/8",
    "10.1.0.0/16",
    "10.1.2.0/24",
    "2001:db8::/32",
    "2001:db8:1::/48",
    "192.0.2.7",
];
const PATTERNS: [&str; 3] = ["e-0*", "e-1*", "*-a"];
const NUMBERS: [&str; 4] = ["5", "10..20", "15..30", "0..4"];
const HOURS: [&str; 3] = ["06:00..20:00", "22:00..04:00", "12:00..13:00"];

/// Sample clients, data sets and minutes: at least one of each is in every value class that the constants above can
/// produce.
pub const CLIENTS: [&str; 7] = [
    "10.9.0.1",
    "10.1.9.1",
    "10.1.2.3",
    "2001:db8:2::1",
    "2001:db8:1::1",
    "192.0.2.7",
    "198.51.100.1",
];
pub const DATA_SETS: [u32; 8] = [0, 5, 7, 10, 15, 21, 30, 31];
pub const MINUTES: [u32; 7] = [0, 240, 360, 720, 780, 1200, 1320];
const IDS: [&str; 6] = ["e-0-a", "e-0-b", "e-1-a", "e-1-b", "q-a", "q-b"];

fn subset(words: &'static [&'static str], max_count: usize) -> impl Strategy<Value = String> {
    subsequence(words, 1..=max_count).prop_map(|words| words.join(", "))
}

/// Generates an entry that is present in half of the cases.
fn optional(
    name: &'static str,
    values: impl Strategy<Value = String>,
) -> impl Strategy<Value = String> {
    proptest::option::of(values)
        .prop_map(move |v| v.map_or(String::new(), |v| format!("  {name} {v}\n")))
}

fn block(
    kind: &'static str,
    name: impl Strategy<Value = String>,
    entries: impl Strategy<Value = Vec<String>>,
) -> impl Strategy<Value = String> {
    (name, entries)
        .prop_map(move |(name, entries)| format!("{kind} {name} {{\n{}}}\n", entries.concat()))
}

fn numbered(letter: &'static str, count: usize) -> impl Strategy<Value = String> {
    (0..count).prop_map(move |n| format!("{letter}{n}"))
}

fn references(letter: &'static str, count: usize) -> impl Strategy<Value = String> {
    vec(0..count, 1..3).prop_map(move |mut list| {
        list.dedup();
        list.iter()
            .map(|n| format!("{letter}{n}"))
            .collect::<Vec<_>>()
            .join(", ")
    })
}

fn bucket() -> impl Strategy<Value = String> {
    (1u32..50, 1u32..50).prop_map(|(rate, burst)| format!("{rate}/s burst {burst}"))
}

fn addresses(name: String) -> impl Strategy<Value = String> {
    // Sets refer only to sets with lower numbers, so that there are no cycles.
    let below = name[1..].parse::<usize>().unwrap_or(0);
    let of = if below == 0 {
        Just(String::new()).boxed()
    } else {
        optional("of", references("a", below)).boxed()
    };
    let entries = (subset(&NETS, 3), of, optional("except", subset(&NETS, 2)))
        .prop_map(|(net, of, except)| vec![format!("  net {net}\n"), of, except]);
    block("addresses", Just(name), entries)
}

fn pool(name: String) -> impl Strategy<Value = String> {
    let below = name[1..].parse::<usize>().unwrap_or(0);
    let of = |entry| {
        if below == 0 {
            Just(String::new()).boxed()
        } else {
            optional(entry, references("p", below)).boxed()
        }
    };
    let entries = (
        optional("zone", subset(&ZONES, 2)),
        optional("kind", subset(&KINDS, 2)),
        optional("id", subset(&PATTERNS, 2)),
        prop_oneof![3 => Just(String::new()).boxed(), 1 => references("a", 4).prop_map(|a| format!("  address {a}\n")).boxed()],
        of("union"),
        of("except"),
    )
        .prop_map(|(a, b, c, d, e, f)| vec![a, b, c, d, e, f]);
    block("pool", Just(name), entries)
}

fn class_rules() -> impl Strategy<Value = String> {
    block(
        "group",
        select(&CLASSES[..]).prop_map(str::to_string),
        (
            optional("pools", references("p", 5)),
            optional("limit", (1u32..9).prop_map(|n| format!("{n}s"))),
        )
            .prop_map(|(pools, limit)| vec![pools, limit, "  further 10%\n".to_string()]),
    )
}

fn route() -> impl Strategy<Value = String> {
    let outcome = prop_oneof![
        4 => references("p", 5).prop_map(|to| format!("  to {to}\n")),
        1 => select(&CLASSES[..]).prop_map(|g| format!("  as {g}\n")),
        1 => (references("p", 5), select(&CLASSES[..])).prop_map(|(to, g)| format!("  to {to}\n  as {g}\n")),
        1 => Just("  refuse \"closed\"\n".to_string()),
    ];
    block(
        "route",
        numbered("r", 12),
        (
            optional("group", subset(&CLASSES, 3)),
            optional("tenant", subset(&TENANTS, 2)),
            optional("client", references("a", 4)),
            optional(
                "key",
                select(&["given", "none"][..]).prop_map(str::to_string),
            ),
            optional("data-set", subset(&NUMBERS, 2)),
            optional("hours", subset(&HOURS, 2)),
            outcome,
        )
            .prop_map(|(a, b, c, d, e, f, g)| vec![a, b, c, d, e, f, g]),
    )
}

/// Generates a block of a random kind.
pub fn any_block() -> impl Strategy<Value = String> {
    let tenant = block(
        "tenant",
        select(&TENANTS[..]).prop_map(str::to_string),
        (
            optional("in-hand", (1u32..20).prop_map(|n| n.to_string())),
            optional("rate", bucket()),
        )
            .prop_map(|(in_hand, rate)| vec![in_hand, rate]),
    );
    let limit = block(
        "limit",
        numbered("l", 4),
        (
            optional("per", subset(&["group", "tenant", "client"], 3)),
            optional("group", subset(&CLASSES, 2)),
            optional("tenant", subset(&TENANTS, 2)),
            optional("client", references("a", 4)),
            optional("in-hand", (1u32..20).prop_map(|n| n.to_string())),
            bucket().prop_map(|b| format!("  rate {b}\n")),
        )
            .prop_map(|(a, b, c, d, e, f)| vec![a, b, c, d, e, f]),
    );
    prop_oneof![
        2 => numbered("a", 4).prop_flat_map(addresses),
        3 => numbered("p", 5).prop_flat_map(pool),
        1 => class_rules(),
        1 => tenant,
        4 => route(),
        1 => limit
    ]
}

/// Returns the blocks that together form a valid plan, omitting each block that would make it invalid.
pub fn accepted_blocks(blocks: &[String]) -> Vec<String> {
    let is_valid =
        |blocks: &[String]| compile(&InMemory::one(blocks.concat()), "main.plan", None).is_ok();
    let mut accepted: Vec<String> = Vec::new();
    // The second pass retries blocks that refer to a block which came later in the first pass.
    for _ in 0..2 {
        for block in blocks {
            if !accepted.contains(block) {
                // Sets and pools are inserted at the start, before the blocks that may refer to them. Routes keep
                // their order.
                let is_target = block.starts_with("addresses") || block.starts_with("pool");
                accepted.insert(if is_target { 0 } else { accepted.len() }, block.clone());
                if !is_valid(&accepted) {
                    accepted.remove(if is_target { 0 } else { accepted.len() - 1 });
                }
            }
        }
    }
    accepted
}

pub fn plan_of(blocks: &[String]) -> Compiled {
    compile(&InMemory::one(blocks.concat()), "main.plan", None)
        .unwrap_or_else(|invalid| panic!("{invalid}"))
}

/// Generates the blocks of a valid plan: all sets and pools first, then the blocks that refer to them.
pub fn blocks() -> impl Strategy<Value = Vec<String>> {
    let sets: Vec<_> = (0..4).map(|n| addresses(format!("a{n}"))).collect();
    let pools: Vec<_> = (0..5).map(|n| pool(format!("p{n}"))).collect();
    (
        sets,
        pools,
        vec(class_rules(), 0..2),
        vec(route(), 1..10),
        vec(any_block(), 0..4),
    )
        .prop_map(|(sets, pools, classes, routes, more)| {
            accepted_blocks(&[sets, pools, classes, routes, more].concat())
        })
}

/// Returns a query for each combination of the sample values, including a class and a tenant that no plan names.
pub fn queries() -> Vec<QueryFacts<'static>> {
    let mut all = Vec::new();
    for class in CLASSES.into_iter().chain(["other"]) {
        for tenant in TENANTS.into_iter().chain(["other"]) {
            for client in CLIENTS {
                for key in [false, true] {
                    for data_set in DATA_SETS {
                        for minute in MINUTES {
                            let client: IpAddr = client.parse().expect("the address is valid");
                            all.push(QueryFacts {
                                class,
                                tenant,
                                client,
                                has_key: key,
                                data_set,
                                minute_of_day: minute,
                            });
                        }
                    }
                }
            }
        }
    }
    all
}

/// Returns an engine for each combination of the sample values, including a zone and a kind that no plan names.
pub fn engines() -> Vec<EngineAttributes<'static>> {
    let mut all = Vec::new();
    for zone in ZONES.into_iter().chain(["other"]) {
        for kind in KINDS.into_iter().chain(["other"]) {
            for id in IDS {
                for address in CLIENTS {
                    all.push(EngineAttributes {
                        id,
                        zone,
                        kind,
                        address: address.parse().expect("the address is valid"),
                    });
                }
            }
        }
    }
    all
}

/// Outcome of a plan for a query, computed by brute force: rejected with a reason, or routed as a class with the
/// engines of each priority level that no earlier level has.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Rejected(String),
    Routed(String, Vec<Vec<usize>>),
}

/// Returns the outcomes of a plan by route and class; the last row is that of queries that no route matches.
pub fn outcomes(plan: &Plan, engines: &[EngineAttributes]) -> Vec<Vec<Outcome>> {
    let memberships: Vec<Vec<bool>> = engines.iter().map(|e| plan.pool_membership(e)).collect();
    let all_classes: Vec<&str> = CLASSES.into_iter().chain(["other"]).collect();
    let eval = |route: Option<&garnetwall_plan::model::Route>, class: &str| {
        if let Some(reason) = route.and_then(|r| r.reject_reason.clone()) {
            return Outcome::Rejected(reason);
        }
        let treated_as = route.and_then(|r| r.as_class.as_deref()).unwrap_or(class);
        let to = route.map_or(&[][..], |r| &r.pools);
        let mut used = vec![false; engines.len()];
        let mut levels = Vec::new();
        for n in 0..to.len().max(1) {
            let is_usable = |e: &usize| {
                to.get(n).is_none_or(|pool| memberships[*e][*pool])
                    && plan.allows(&[class, treated_as], &memberships[*e])
            };
            let level: Vec<usize> = (0..engines.len())
                .filter(|e| !used[*e])
                .filter(is_usable)
                .collect();
            level.iter().for_each(|e| used[*e] = true);
            if !level.is_empty() {
                levels.push(level);
            }
        }
        Outcome::Routed(treated_as.to_string(), levels)
    };
    let routes = plan.routes.iter().map(Some).chain([None]);
    routes
        .map(|route| all_classes.iter().map(|class| eval(route, class)).collect())
        .collect()
}
