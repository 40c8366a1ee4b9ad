//! Bad input: each fault has its own error that says what to do; no datagram, whatever its bytes, is a panic or a grant.

use garnetwall_fleet::lease_issuer::IssuerSize;
use garnetwall_fleet::lease_message::{NoReply, MAX_CLAIMS_PER_MESSAGE};
use garnetwall_fleet::lease_terms::LeaseTermsError;
use garnetwall_fleet::quota::FleetQuota;
use garnetwall_fleet::wire::{
    DatagramCodec, DropReason, Message, MAX_DATAGRAM_BYTES, MAX_SWIM_BYTES,
};
use garnetwall_fleet::{
    AddressedRequest, Claim, ClaimVerdict, Epoch, HolderId, IssuerLimits, LeaseHolder, LeaseIssuer,
    LeaseReply, LeaseRequest, LeaseTerms, Resource, Verdict,
};
use proptest::prelude::*;
use std::collections::HashSet;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn terms() -> LeaseTerms {
    LeaseTerms::new(ms(2000), 500, ms(100), &[1, 2, 3]).unwrap()
}

fn limits(max_holders: usize, max_resources: usize) -> IssuerLimits {
    IssuerLimits {
        max_holders,
        max_resources,
    }
}

fn claim(n: u64) -> Claim {
    Claim {
        resource: Resource(u64::MAX - n),
        epoch: Epoch(u64::MAX - n),
    }
}

fn ask(number: u32, claims: Vec<Claim>) -> LeaseRequest {
    LeaseRequest {
        holder: HolderId {
            gateway: u64::MAX,
            incarnation: u64::MAX,
        },
        number,
        claims,
        releases: Vec::new(),
    }
}

#[test]
fn each_fault_of_the_settings_is_told_with_what_to_do() {
    let short = LeaseTerms::new(ms(300), 500, ms(100), &[1, 2, 3]).unwrap_err();
    let faults = [
        (
            LeaseTerms::new(ms(2000), 500, ms(100), &[1, 2]).unwrap_err(),
            LeaseTermsError::IssuerCount(2),
            "odd number",
        ),
        (
            LeaseTerms::new(ms(2000), 500, ms(100), &[]).unwrap_err(),
            LeaseTermsError::IssuerCount(0),
            "odd number",
        ),
        (
            LeaseTerms::new(ms(2000), 500, ms(100), &[1; 11]).unwrap_err(),
            LeaseTermsError::IssuerCount(11),
            "1 to 9",
        ),
        (
            LeaseTerms::new(ms(2000), 500, ms(100), &[1, 2, 1]).unwrap_err(),
            LeaseTermsError::DuplicateIssuer(2),
            "gateway of its own",
        ),
        (
            LeaseTerms::new(ms(2000), 600_000, ms(100), &[1]).unwrap_err(),
            LeaseTermsError::DriftTooLarge(600_000),
            "measure",
        ),
        (short, short, "take a longer lease"),
    ];
    for (fault, wanted, says) in faults {
        assert_eq!(fault, wanted);
        assert!(fault.to_string().contains(says), "{fault}");
    }
    assert!(matches!(short, LeaseTermsError::LeaseTooShort { .. }));
}

#[test]
fn each_bad_datagram_is_dropped_for_its_own_reason() {
    let (ours, keyed) = (
        DatagramCodec::new("sale", None),
        DatagramCodec::new("sale", Some(b"key")),
    );
    let message = Message::Request(ask(1, vec![claim(0)]));
    let good = keyed.encode(&message).unwrap();
    assert_eq!(keyed.decode(&good), Ok(message.clone()));
    let mut other_version = good.clone();
    other_version[0] = 9;
    let mut altered = good.clone();
    altered[12] ^= 1;
    let plain = ours.encode(&message).unwrap();
    let cases: [(&DatagramCodec, Vec<u8>, DropReason, &str); 7] = [
        (
            &keyed,
            vec![1; MAX_DATAGRAM_BYTES + 1],
            DropReason::TooLong(MAX_DATAGRAM_BYTES + 1),
            "longest",
        ),
        (&keyed, vec![1; 20], DropReason::TooShort(20), "too short"),
        (
            &keyed,
            other_version,
            DropReason::OtherVersion(9),
            "one version",
        ),
        (
            &DatagramCodec::new("other", Some(b"key")),
            good.clone(),
            DropReason::OtherFleet,
            "a name",
        ),
        (&keyed, altered, DropReason::WrongHash, "key files"),
        (
            &DatagramCodec::new("sale", Some(b"old key")),
            good,
            DropReason::WrongHash,
            "key files",
        ),
        (
            &ours,
            plain[..plain.len() - 3].to_vec(),
            DropReason::Malformed,
            "builds",
        ),
    ];
    let mut seen = HashSet::new();
    for (wire, bytes, wanted, says) in cases {
        let fault = wire.decode(&bytes).unwrap_err();
        assert_eq!(fault, wanted);
        assert!(fault.to_string().contains(says), "{fault}");
        seen.insert(std::mem::discriminant(&fault));
    }
    assert_eq!(seen.len(), 6, "every kind of fault");
    assert!(
        !format!("{keyed:?}").contains("107"),
        "the key is in no log"
    );
}

#[test]
fn the_largest_messages_fit_and_larger_ones_are_not_written() {
    let wire = DatagramCodec::new("sale", Some(b"key"));
    let claims: Vec<_> = (0..MAX_CLAIMS_PER_MESSAGE as u64).map(claim).collect();
    assert!(wire
        .encode(&Message::Request(ask(u32::MAX, claims.clone())))
        .is_some());
    let late = |claim: &Claim| ClaimVerdict {
        claim: *claim,
        verdict: Verdict::StaleEpoch(Epoch(u64::MAX)),
    };
    let told = LeaseReply {
        holder: HolderId {
            gateway: u64::MAX,
            incarnation: u64::MAX,
        },
        number: u32::MAX,
        session: u64::MAX,
        verdicts: claims.iter().map(late).collect(),
        released: Vec::new(),
    };
    assert!(wire.encode(&Message::Reply(told)).is_some());
    assert!(wire
        .encode(&Message::Swim(vec![0xff; MAX_SWIM_BYTES]))
        .is_some());
    assert!(wire
        .encode(&Message::Request(ask(
            1,
            (0..=MAX_CLAIMS_PER_MESSAGE as u64).map(claim).collect()
        )))
        .is_none());
}

#[test]
fn a_grantor_that_has_started_is_mute_for_a_lease_and_bounds_what_it_keeps() {
    let mut issuer = LeaseIssuer::start(ms(0), 0, 1, &terms(), limits(2, 3));
    let fault = issuer
        .handle_request(ms(1999), &ask(1, vec![claim(0)]))
        .unwrap_err();
    assert_eq!(fault, NoReply::Starting(ms(1)));
    assert!(fault.to_string().contains("nothing is to be done"));
    let verdict = |issuer: &mut LeaseIssuer, now, number, n| {
        issuer
            .handle_request(ms(now), &ask(number, vec![claim(n)]))
            .unwrap()
            .verdicts[0]
            .verdict
    };
    for n in 0..3 {
        assert_eq!(
            verdict(&mut issuer, 2000, n as u32 + 1, 10 - n),
            Verdict::Granted
        );
    }
    assert_eq!(verdict(&mut issuer, 2000, 4, 3), Verdict::AtCapacity);
    // Its session is over: what it had gives way, and what was forgotten is not given under an old epoch.
    assert_eq!(verdict(&mut issuer, 9000, 5, 3), Verdict::Granted);
    assert_eq!(
        verdict(&mut issuer, 9000, 6, 20),
        Verdict::StaleEpoch(claim(10).epoch)
    );
    for life in 0..10 {
        let one = LeaseRequest {
            holder: HolderId {
                gateway: 1,
                incarnation: life,
            },
            ..ask(1, Vec::new())
        };
        let told = issuer.handle_request(ms(9000), &one);
        assert_eq!(told.is_err(), life > 0, "{told:?}");
        if let Err(fault) = told {
            assert_eq!(fault, NoReply::TooManyHolders(2));
            assert!(fault.to_string().contains("raise"));
        }
    }
    assert_eq!(
        issuer.size(),
        IssuerSize {
            resources: 3,
            sessions: 2
        }
    );
}

/// Thousands of things are renewed by one message to each issuer.
#[test]
fn ten_thousand_things_are_renewed_by_one_message_to_each_grantor() {
    let terms = terms();
    let mut issuers: Vec<_> = (0..3)
        .map(|n| LeaseIssuer::start(ms(0), 0, n << 32, &terms, limits(8, 20_000)))
        .collect();
    let mut holder = LeaseHolder::new(
        HolderId {
            gateway: 1,
            incarnation: 1,
        },
        terms,
        1,
    );
    (0..10_000).for_each(|n| holder.want(ms(2000), Resource(n)));
    let mut now = ms(2000);
    let mut last = 0;
    for _ in 0..200 {
        let asks = holder.requests(now);
        last = asks.len();
        for AddressedRequest { issuer, request } in asks {
            let told = issuers[issuer].handle_request(now, &request).unwrap();
            holder.handle_reply(issuer, &told);
        }
        now = holder.next_request_at();
    }
    assert_eq!(last, 3);
    let held = (0..10_000)
        .filter(|n| holder.holds(now, Resource(*n)).is_some())
        .count();
    assert_eq!(held, 10_000);
}

/// Members come and go and see different fleets: the sum of what all hold is never more than the budget.
#[test]
fn shares_sum_up_to_no_more_than_the_budget_and_settle_on_the_whole() {
    let terms = terms();
    let quota = FleetQuota::new("return of east", 60);
    let mut issuers: Vec<_> = (0..3)
        .map(|n| LeaseIssuer::start(ms(0), 0, n << 32, &terms, limits(16, 200)))
        .collect();
    let mut holders: Vec<_> = (0..6)
        .map(|n| {
            LeaseHolder::new(
                HolderId {
                    gateway: n,
                    incarnation: n,
                },
                terms,
                n,
            )
        })
        .collect();
    let mut now = ms(2000);
    for step in 0..400 {
        // The fifth joins in the middle; two see a part of the fleet only for a while; the first is gone at last.
        let there = |n: u64| {
            (0..6)
                .filter(|m| match step {
                    0..100 => *m < 5,
                    100..200 => n & 1 == 0 || *m & 1 == 1,
                    200..300 => true,
                    _ => *m > 0,
                })
                .collect::<Vec<u64>>()
        };
        let gone = |n: u64| step < 100 && n == 5 || step >= 300 && n == 0;
        for n in (0..6).filter(|n| !gone(*n)) {
            let holder = &mut holders[n as usize];
            quota.rebalance(holder, now, n, &there(n));
            for AddressedRequest { issuer, request } in holder.requests(now) {
                if let Ok(told) = issuers[issuer].handle_request(now, &request) {
                    holder.handle_reply(issuer, &told);
                }
            }
        }
        let held: Vec<u32> = holders
            .iter()
            .map(|holder| quota.held_units(holder, now))
            .collect();
        assert!(
            held.iter().sum::<u32>() <= quota.unit_count(),
            "{held:?} at step {step}"
        );
        if [99, 299, 399].contains(&step) {
            assert_eq!(
                held.iter().sum::<u32>(),
                quota.unit_count(),
                "{held:?} at step {step}"
            );
        }
        now += ms(100);
    }
}

/// Prints what a look at a lease costs among ten thousand.
#[test]
fn a_lease_is_looked_at_quickly() {
    let terms = terms();
    let mut holder = LeaseHolder::new(
        HolderId {
            gateway: 1,
            incarnation: 1,
        },
        terms,
        1,
    );
    (0..10_000).for_each(|n| holder.want(ms(0), Resource(n)));
    let began = std::time::Instant::now();
    let held = (0..100_000)
        .filter(|n| holder.holds(ms(1), Resource(n % 10_000)).is_some())
        .count();
    let each = began.elapsed() / 100_000;
    println!("{each:?} a look");
    assert_eq!(held, 0);
    assert!(each < Duration::from_micros(20), "{each:?}");
}

proptest! {
    #[test]
    fn no_bytes_are_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), keyed in any::<bool>()) {
        let wire = DatagramCodec::new("sale", keyed.then_some(b"key"));
        let _ = wire.decode(&bytes);
        let mut ours = wire.encode(&Message::Request(ask(1, Vec::new()))).unwrap();
        ours.truncate(9);
        ours.extend(&bytes);
        if let Ok(Message::Request(ask)) = wire.decode(&ours) {
            let mut issuer = LeaseIssuer::start(ms(0), 0, 1, &terms(), limits(2, 3));
            let _ = issuer.handle_request(ms(5000), &ask);
        }
    }
}
