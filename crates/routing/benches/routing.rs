//! Measures the figures of docs/results.md: compiling a plan of 10,000 lines; routing decisions with 1,000 routes,
//! 10,000 networks and 500 engines, compared with the plan's own evaluation; admission and release by limits.

use divan::{black_box, Bencher};
use garnetwall_plan::compile;
use garnetwall_plan::model::EngineAttributes;
use garnetwall_plan::source::InMemory;
use garnetwall_routing::{Limits, Names, PoolMembers, RoutedQuery, Routing};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

fn main() {
    divan::main();
}

const GROUPS: usize = 8;
const TENANTS: usize = 200;
const SETS: usize = 100;

fn names() -> Names {
    Names {
        classes: (0..GROUPS).map(|n| format!("group-{n}")).collect(),
        tenants: (0..TENANTS).map(|n| format!("tenant-{n}")).collect(),
    }
}

/// Returns a plan with 1,000 routes, 10,000 networks in 100 address sets, and 50 pools.
fn large_plan() -> String {
    let mut rng = StdRng::seed_from_u64(17);
    let mut out = String::new();
    for set in 0..SETS {
        let _ = writeln!(out, "addresses set-{set} {{");
        for net in 0..100 {
            let _ = match net % 4 {
                0 => writeln!(out, "  net 2001:db8:{set:x}:{net:x}::/64"),
                _ => writeln!(out, "  net 10.{set}.{}.0/24", rng.random_range(0..256)),
            };
        }
        out.push_str("}\n");
    }
    for pool in 0..50 {
        let _ = writeln!(
            out,
            "pool pool-{pool} {{\n  zone zone-{}\n  kind kind-{}\n}}",
            pool % 5,
            pool / 5
        );
    }
    for route in 0..1000 {
        // Each route has a combination of tenant and address set that no other has, so that none shadows another.
        let (tenant, set) = (
            route % TENANTS,
            route / TENANTS * 20 + rng.random_range(0..20),
        );
        let group = rng.random_range(0..GROUPS);
        let _ = writeln!(
            out,
            "route route-{route} {{\n  group group-{group}, group-{}\n  tenant tenant-{tenant}\n  client set-{set}\n  \
             data-set {}..{}\n  to pool-{}, pool-{}\n}}",
            (group + 1) % GROUPS,
            route % 50,
            route % 50 + 100,
            route % 50,
            (route + 7) % 50,
        );
    }
    out
}

/// Returns a plan of about 10,000 lines in the style of operators: comments, empty lines and many small blocks.
fn long_plan() -> String {
    let mut out = String::new();
    let mut n = 0;
    while out.lines().count() < 9_990 {
        let _ = writeln!(
            out,
            "# the house of number {n}\naddresses house-{n} {{\n  net 10.{}.{}.0/24\n}}\n\npool pool-{n} {{\n  \
             zone zone-{}\n  kind engine-8, engine-16\n}}\n\nlimit house-{n} {{\n  client house-{n}\n  \
             rate 50/s burst 100\n}}\n\nroute route-{n} {{\n  client house-{n}\n  to pool-{n}\n}}\n",
            n / 256,
            n % 256,
            n % 7
        );
        n += 1;
    }
    out
}

fn routing(text: &str) -> Routing {
    let plan = compile(&InMemory::one(text), "main.plan", None)
        .unwrap_or_else(|f| panic!("{f}"))
        .plan;
    Routing::new(Arc::new(plan), names())
}

fn queries() -> Vec<RoutedQuery> {
    let mut rng = StdRng::seed_from_u64(18);
    let one = |rng: &mut StdRng| {
        let set: u8 = rng.random_range(0..SETS as u8);
        let client = match rng.random_range(0..4) {
            0 => IpAddr::from([
                0x2001,
                0xdb8,
                u16::from(set),
                rng.random_range(0..100),
                0,
                0,
                0,
                1,
            ]),
            _ => IpAddr::from([10, set, rng.random(), rng.random()]),
        };
        RoutedQuery {
            class: rng.random_range(0..GROUPS),
            tenant: rng.random_range(0..TENANTS),
            client,
            has_key: rng.random(),
            data_set: rng.random_range(0..200),
            minute: rng.random_range(0..1440),
            statement_bytes: 200,
        }
    };
    (0..4096).map(|_| one(&mut rng)).collect()
}

#[divan::bench]
fn check_10_000_lines(bencher: Bencher) {
    let loader = InMemory::one(long_plan());
    bencher.bench(|| {
        compile(&loader, "main.plan", None)
            .map(|c| c.plan.routes.len())
            .map_err(|f| f.to_string())
    });
}

#[divan::bench]
fn check_1_000_routes_10_000_networks(bencher: Bencher) {
    let loader = InMemory::one(large_plan());
    bencher.bench(|| {
        compile(&loader, "main.plan", None)
            .map(|c| c.plan.routes.len())
            .map_err(|f| f.to_string())
    });
}

#[divan::bench]
fn decide_compiled(bencher: Bencher) {
    let (routing, queries) = (routing(&large_plan()), queries());
    let mut at = 0;
    bencher.bench_local(|| {
        at = (at + 1) % queries.len();
        black_box(routing.decide(&queries[at]))
    });
}

#[divan::bench]
fn decide_plain_list(bencher: Bencher) {
    let (routing, queries) = (routing(&large_plan()), queries());
    let mut at = 0;
    bencher.bench_local(|| {
        at = (at + 1) % queries.len();
        black_box(
            routing
                .plan()
                .route_of(&routing.facts(&queries[at]))
                .map(|r| r.pools.len()),
        )
    });
}

fn engines() -> Vec<(String, String, String)> {
    (0..500)
        .map(|n| {
            (
                format!("s-{n:03}"),
                format!("zone-{}", n % 5),
                format!("kind-{}", n % 10),
            )
        })
        .collect()
}

fn attributes((id, zone, kind): &(String, String, String)) -> EngineAttributes<'_> {
    EngineAttributes {
        id,
        zone,
        kind,
        address: IpAddr::from([10, 0, 0, 1]),
    }
}

/// Finds the route of a query and counts its engines, as for each attempt. The engine sets of the endpoint subsets are
/// computed beforehand.
#[divan::bench]
fn place_compiled_500_engines(bencher: Bencher) {
    let (routing, queries, all) = (routing(&large_plan()), queries(), engines());
    let mut engines = PoolMembers::new(&routing);
    all.iter()
        .enumerate()
        .for_each(|(n, e)| engines.update(&routing, n, Some(&attributes(e))));
    let levels: Vec<_> = (0..routing.endpoint_subsets().len())
        .map(|endpoint_subset| engines.priority_levels(&routing, endpoint_subset))
        .collect();
    let mut at = 0;
    bencher.bench_local(|| {
        at = (at + 1) % queries.len();
        match routing.decide(&queries[at]) {
            garnetwall_routing::RouteDecision::Admitted {
                endpoint_subset, ..
            } => levels[endpoint_subset]
                .iter()
                .map(|level| level.words().iter().map(|w| w.count_ones()).sum::<u32>())
                .sum(),
            _ => 0,
        }
    });
}

#[divan::bench(sample_count = 20)]
fn place_plain_500_engines(bencher: Bencher) {
    let (routing, queries, all) = (routing(&large_plan()), queries(), engines());
    let mut at = 0;
    bencher.bench_local(|| {
        at = (at + 1) % queries.len();
        let query = routing.facts(&queries[at]);
        all.iter()
            .filter(|e| {
                routing
                    .plan()
                    .priority_levels(&query, &attributes(e))
                    .contains(&true)
            })
            .count()
    });
}

#[divan::bench]
fn one_engine_changes(bencher: Bencher) {
    let (routing, all) = (routing(&large_plan()), engines());
    let mut engines = PoolMembers::new(&routing);
    let mut at = 0;
    bencher.bench_local(|| {
        at = (at + 1) % all.len();
        engines.update(&routing, at, Some(&attributes(&all[at])));
    });
}

#[divan::bench(args = [100, 100_000, 10_000_000])]
fn take_and_release_by_client(bencher: Bencher, clients: u32) {
    let routing = routing("limit each {\n  per client\n  in-hand 10\n  rate 100/s burst 100\n}\n");
    let mut limits = Limits::new(&routing, 1000.0);
    let mut rng = StdRng::seed_from_u64(19);
    let mut at = 0u64;
    bencher.bench_local(|| {
        at += 1;
        let now = Duration::from_micros(at * 10);
        let client = IpAddr::from((0x0a00_0000 + rng.random_range(0..clients)).to_be_bytes());
        let query = RoutedQuery {
            class: 0,
            tenant: 0,
            client,
            has_key: false,
            data_set: 0,
            minute: 0,
            statement_bytes: 200,
        };
        if let Ok(permit) = limits.admit(&routing, now, &query) {
            limits.release(now, permit);
        }
    });
}
