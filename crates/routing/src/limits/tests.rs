//! Compares the limits with a reference model, and checks that their state stays bounded under a flood of addresses.

use super::*;
use crate::Names;
use garnetwall_plan::compile;
use garnetwall_plan::source::InMemory;
use proptest::collection::vec;
use proptest::prelude::*;
use std::net::IpAddr;
use std::sync::Arc;

fn routing(text: &str) -> Routing {
    let compiled =
        compile(&InMemory::one(text), "main.plan", None).unwrap_or_else(|f| panic!("{f}"));
    let names = |list: [&str; 2]| list.map(String::from).to_vec();
    Routing::new(
        Arc::new(compiled.plan),
        Names {
            classes: names(["lookup", "load"]),
            tenants: names(["acme", "mura"]),
        },
    )
}

fn query(class: usize, tenant: usize, client: u32, bytes: u64) -> RoutedQuery {
    let client = IpAddr::from((0x0a00_0000 + client).to_be_bytes());
    RoutedQuery {
        class,
        tenant,
        client,
        has_key: false,
        data_set: 0,
        minute: 0,
        statement_bytes: bytes,
    }
}

const PLAN: &str = "addresses houses {\n net 10.0.0.0/30\n}\n\
    tenant mura {\n share 30%\n rate 20/s burst 3\n}\n\
    limit each {\n per client\n in-hand 2\n rate 10/s burst 2\n}\n\
    limit houses {\n client houses\n per tenant, group\n bytes 1KiB/s burst 2KiB\n}\n\
    limit loads {\n group load\n in-hand 3\n}\n";

/// Reference model: every query admitted so far with its time of admission and whether it is still in flight. Usage is
/// computed from this list, by the definition of the limits.
#[derive(Default)]
struct ReferenceModel(Vec<(Duration, RoutedQuery, bool)>);

impl ReferenceModel {
    /// Returns the level of a leaky bucket at `now`, replayed over the admitted queries that `counts` selects.
    fn fill(
        &self,
        now: Duration,
        bucket: (f64, f64),
        counts: impl Fn(&RoutedQuery) -> bool,
        cost: impl Fn(&RoutedQuery) -> f64,
    ) -> f64 {
        let (rate, burst) = bucket;
        let (mut fill, mut at) = (0.0f64, Duration::ZERO);
        for (when, query, _) in self.0.iter().filter(|(_, query, _)| counts(query)) {
            fill = (fill - (*when - at).as_secs_f64() * rate).max(0.0) + cost(query).min(burst);
            at = *when;
        }
        (fill - (now - at).as_secs_f64() * rate).max(0.0)
    }

    fn in_flight(&self, counts: impl Fn(&RoutedQuery) -> bool) -> usize {
        self.0
            .iter()
            .filter(|(_, query, held)| *held && counts(query))
            .count()
    }

    /// Returns whether the limits of [`PLAN`] admit a query, or `None` if a rate is so close to its limit that rounding
    /// may decide.
    fn admits(&self, now: Duration, new: &RoutedQuery) -> Option<bool> {
        let is_in_houses =
            |q: &RoutedQuery| matches!(q.client, IpAddr::V4(a) if u32::from(a) < 0x0a00_0004);
        let one = |_: &RoutedQuery| 1.0;
        let mut room = Vec::new();
        // Room left in each bucket after this query; negative if the query exceeds the rate.
        let mut rate = |fill: f64, cost: f64, burst: f64| room.push(burst - fill - cost.min(burst));
        let same = |o: &RoutedQuery| o.client == new.client;
        rate(self.fill(now, (10.0, 2.0), same, one), 1.0, 2.0);
        if new.tenant == 1 {
            rate(
                self.fill(now, (20.0, 3.0), |o| o.tenant == 1, one),
                1.0,
                3.0,
            );
        }
        if is_in_houses(new) {
            let counts =
                |o: &RoutedQuery| is_in_houses(o) && (o.tenant, o.class) == (new.tenant, new.class);
            rate(
                self.fill(now, (1024.0, 2048.0), counts, |q| q.statement_bytes as f64),
                new.statement_bytes as f64,
                2048.0,
            );
        }
        let counted = self.in_flight(same) < 2
            && (new.tenant != 1 || self.in_flight(|o| o.tenant == 1) < 3)
            && (new.class != 1 || self.in_flight(|o| o.class == 1) < 3);
        let edge = room.iter().any(|left| left.abs() < 1e-3);
        (!edge).then(|| counted && room.iter().all(|left| *left >= 0.0))
    }
}

proptest! {
    #[test]
    fn limits_agree_with_the_reference_model(
        events in vec((0u64..120, 0usize..2, 0usize..2, 0u32..6, 1u64..1500, any::<bool>()), 1..200),
    ) {
        let routing = routing(PLAN);
        let mut limits = Limits::new(&routing, 10.0);
        let (mut model, mut permits, mut now) = (ReferenceModel::default(), Vec::new(), Duration::ZERO);
        for (later, class, tenant, client, bytes, ends) in events {
            now += Duration::from_millis(later);
            if ends && !permits.is_empty() {
                let (n, permit): (usize, LimitPermit) = permits.remove(0);
                limits.release(now, permit);
                model.0[n].2 = false;
            }
            let query = query(class, tenant, client, bytes);
            let admits = model.admits(now, &query);
            let admitted = limits.admit(&routing, now, &query);
            if let Some(admits) = admits {
                prop_assert_eq!(admitted.is_ok(), admits, "{:?} at {:?} gave {:?}", query, now, admitted);
            }
            if let Ok(permit) = admitted {
                permits.push((model.0.len(), permit));
                model.0.push((now, query, true));
            }
        }
    }

    /// With few exact keys and many clients, most keys share cells of the sketch. A client must still get no more than
    /// its own limit, a Retry-After must not exceed the time of one query at the rate, and the number of exact keys
    /// must stay bounded.
    #[test]
    fn sketch_never_admits_more_than_the_limit_of_a_client(
        events in vec((0u64..20, 0u32..300), 1..400),
    ) {
        let routing = routing("limit each {\n per client\n rate 10/s burst 2\n}\n");
        let mut limits = Limits::with_keys(&routing, 10.0, 16);
        let (mut model, mut now) = (ReferenceModel::default(), Duration::ZERO);
        for (later, client) in events {
            now += Duration::from_millis(later);
            let query = query(0, 0, client, 1);
            let fill = model.fill(now, (10.0, 2.0), |o| o.client == query.client, |_| 1.0);
            match limits.admit(&routing, now, &query) {
                Ok(permit) => {
                    prop_assert!(fill + 1.0 <= 2.0 + 1e-6, "bucket level {fill} before admission");
                    model.0.push((now, query, true));
                    limits.release(now, permit);
                }
                Err(exceeded) => prop_assert!(exceeded.retry_after <= Duration::from_millis(100 + 1), "{exceeded:?}"),
            }
            prop_assert!(limits.exact_keys() <= 16);
        }
    }
}

#[test]
fn number_of_exact_keys_stays_bounded_under_a_flood_of_addresses() {
    let routing = routing("limit each {\n per client\n in-hand 2\n rate 10/s burst 2\n}\n");
    let mut limits = Limits::new(&routing, 10.0);
    let mut rejected = 0;
    for n in 0..1_000_000u32 {
        // At ten million clients per second the flood lasts 0.1 s, and no key is idle again before the flood ends.
        let now = Duration::from_nanos(u64::from(n) * 100);
        match limits.admit(&routing, now, &query(0, 0, n, 1)) {
            Ok(permit) => limits.release(now, permit),
            Err(_) => rejected += 1,
        }
    }
    assert_eq!(limits.exact_keys(), MAX_EXACT_KEYS);
    assert!(
        rejected > 0,
        "a flood that fills every cell must be limited"
    );
    // At 2 s, long after the flood, all keys are idle, so any key finds a free entry or cell.
    let now = Duration::from_secs(2);
    assert!(limits.admit(&routing, now, &query(0, 0, 77, 1)).is_ok());
}

#[test]
fn query_is_admitted_after_its_retry_after_and_not_before() {
    let routing = routing(PLAN);
    let mut limits = Limits::new(&routing, 10.0);
    let query = query(0, 0, 9, 1);
    let mut now = Duration::from_secs(5);
    for _ in 0..2 {
        let permit = limits
            .admit(&routing, now, &query)
            .expect("within the burst of two");
        limits.release(now, permit);
    }
    let exceeded = limits
        .admit(&routing, now, &query)
        .expect_err("the third query exceeds the burst of two");
    assert_eq!(
        (exceeded.limit.as_str(), exceeded.kind),
        ("each", LimitKind::Rate)
    );
    now += exceeded.retry_after - Duration::from_millis(1);
    assert!(
        limits.admit(&routing, now, &query).is_err(),
        "must be rejected before its Retry-After"
    );
    now += Duration::from_millis(1);
    assert!(limits.admit(&routing, now, &query).is_ok());
}

#[test]
fn limits_with_unchanged_name_and_scope_keep_their_counts_when_the_plan_is_replaced() {
    let first = routing(PLAN);
    let mut limits = Limits::new(&first, 10.0);
    let load = |client| query(1, 0, client, 1);
    let held: Vec<LimitPermit> = (0..3)
        .map(|n| {
            limits
                .admit(&first, Duration::ZERO, &load(100 + n))
                .expect("within the limit of three")
        })
        .collect();
    assert!(limits.admit(&first, Duration::ZERO, &load(200)).is_err());
    // The second plan raises the maximum of `loads` and renames another limit; `loads` must keep its counts.
    let second = routing(
        &PLAN
            .replace("in-hand 3", "in-hand 4")
            .replace("limit each", "limit every"),
    );
    limits.update_plan(&second, 10.0);
    let fourth = limits
        .admit(&second, Duration::ZERO, &load(200))
        .expect("within the raised limit of four");
    assert_eq!(
        limits
            .admit(&second, Duration::ZERO, &load(201))
            .expect_err("the fifth query exceeds the limit of four")
            .limit,
        "loads"
    );
    let third = routing(&PLAN.replace("limit loads", "limit heavy"));
    limits.update_plan(&third, 10.0);
    assert!(
        limits.admit(&third, Duration::ZERO, &load(202)).is_ok(),
        "the renamed limit starts without counts"
    );
    for permit in held.into_iter().chain([fourth]) {
        limits.release(Duration::from_secs(1), permit);
    }
}
