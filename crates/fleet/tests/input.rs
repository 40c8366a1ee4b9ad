//! Tests of invalid settings and datagrams, and of the limits of issuers, holders and quotas. Each kind of invalid
//! input has its own error, whose message says what to do, and no bytes of a datagram cause a panic.

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

fn request(number: u32, claims: Vec<Claim>) -> LeaseRequest {
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
fn every_invalid_lease_setting_has_an_error_that_says_what_to_do() {
    let short = LeaseTerms::new(ms(300), 500, ms(100), &[1, 2, 3]).unwrap_err();
    let errors = [
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
    for (error, expected, advice) in errors {
        assert_eq!(error, expected);
        assert!(error.to_string().contains(advice), "{error}");
    }
    assert!(matches!(short, LeaseTermsError::LeaseTooShort { .. }));
}

#[test]
fn every_invalid_datagram_is_dropped_with_its_own_reason() {
    let (unkeyed, keyed) = (
        DatagramCodec::new("sale", None),
        DatagramCodec::new("sale", Some(b"key")),
    );
    let message = Message::Request(request(1, vec![claim(0)]));
    let datagram = keyed.encode(&message).unwrap();
    assert_eq!(keyed.decode(&datagram), Ok(message.clone()));
    let mut other_version = datagram.clone();
    other_version[0] = 9;
    let mut altered = datagram.clone();
    altered[12] ^= 1;
    let plain = unkeyed.encode(&message).unwrap();
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
            datagram.clone(),
            DropReason::OtherFleet,
            "a name",
        ),
        (&keyed, altered, DropReason::WrongHash, "key files"),
        (
            &DatagramCodec::new("sale", Some(b"old key")),
            datagram,
            DropReason::WrongHash,
            "key files",
        ),
        (
            &unkeyed,
            plain[..plain.len() - 3].to_vec(),
            DropReason::Malformed,
            "builds",
        ),
    ];
    let mut seen = HashSet::new();
    for (codec, bytes, expected, advice) in cases {
        let error = codec.decode(&bytes).unwrap_err();
        assert_eq!(error, expected);
        assert!(error.to_string().contains(advice), "{error}");
        seen.insert(std::mem::discriminant(&error));
    }
    assert_eq!(seen.len(), 6, "a drop reason is not covered");
    assert!(
        !format!("{keyed:?}").contains("107"),
        "the debug output shows the key"
    );
}

#[test]
fn the_largest_messages_fit_and_larger_ones_are_not_encoded() {
    let codec = DatagramCodec::new("sale", Some(b"key"));
    let claims: Vec<_> = (0..MAX_CLAIMS_PER_MESSAGE as u64).map(claim).collect();
    assert!(codec
        .encode(&Message::Request(request(u32::MAX, claims.clone())))
        .is_some());
    let stale = |claim: &Claim| ClaimVerdict {
        claim: *claim,
        verdict: Verdict::StaleEpoch(Epoch(u64::MAX)),
    };
    let reply = LeaseReply {
        holder: HolderId {
            gateway: u64::MAX,
            incarnation: u64::MAX,
        },
        number: u32::MAX,
        session: u64::MAX,
        verdicts: claims.iter().map(stale).collect(),
        released: Vec::new(),
    };
    assert!(codec.encode(&Message::Reply(reply)).is_some());
    assert!(codec
        .encode(&Message::Swim(vec![0xff; MAX_SWIM_BYTES]))
        .is_some());
    assert!(codec
        .encode(&Message::Request(request(
            1,
            (0..=MAX_CLAIMS_PER_MESSAGE as u64).map(claim).collect()
        )))
        .is_none());
}

#[test]
fn issuer_sends_no_reply_for_a_lease_after_its_start_and_limits_its_state() {
    let mut issuer = LeaseIssuer::start(ms(0), 0, 1, &terms(), limits(2, 3));
    let error = issuer
        .handle_request(ms(1999), &request(1, vec![claim(0)]))
        .unwrap_err();
    assert_eq!(error, NoReply::Starting(ms(1)));
    assert!(error.to_string().contains("nothing is to be done"));
    let verdict = |issuer: &mut LeaseIssuer, now, number, n| {
        issuer
            .handle_request(ms(now), &request(number, vec![claim(n)]))
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
    // The holder's session has expired, so that its resources are evicted to make room. An evicted resource is not
    // granted under an epoch up to that of its last grant.
    assert_eq!(verdict(&mut issuer, 9000, 5, 3), Verdict::Granted);
    assert_eq!(
        verdict(&mut issuer, 9000, 6, 20),
        Verdict::StaleEpoch(claim(10).epoch)
    );
    for incarnation in 0..10 {
        let first_request = LeaseRequest {
            holder: HolderId {
                gateway: 1,
                incarnation,
            },
            ..request(1, Vec::new())
        };
        let reply = issuer.handle_request(ms(9000), &first_request);
        assert_eq!(reply.is_err(), incarnation > 0, "{reply:?}");
        if let Err(error) = reply {
            assert_eq!(error, NoReply::TooManyHolders(2));
            assert!(error.to_string().contains("raise"));
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

#[test]
fn ten_thousand_leases_are_renewed_by_one_message_to_each_issuer() {
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
        let requests = holder.requests(now);
        last = requests.len();
        for AddressedRequest { issuer, request } in requests {
            let reply = issuers[issuer].handle_request(now, &request).unwrap();
            holder.handle_reply(issuer, &reply);
        }
        now = holder.next_request_at();
    }
    assert_eq!(last, 3);
    let held = (0..10_000)
        .filter(|n| holder.holds(now, Resource(*n)).is_some())
        .count();
    assert_eq!(held, 10_000);
}

/// Gateways join and leave, and see different parts of the fleet. The sum of their held units must never exceed the
/// quota, and must reach it while all see the same fleet.
#[test]
fn held_units_never_exceed_the_quota_and_converge_to_all_of_it() {
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
        // Gateway 5 joins at step 100. From step 100 to 199 gateways with an odd number see only those with an odd
        // number. Gateway 0 is down from step 300 on.
        let visible_gateways = |n: u64| {
            (0..6)
                .filter(|m| match step {
                    0..100 => *m < 5,
                    100..200 => n & 1 == 0 || *m & 1 == 1,
                    200..300 => true,
                    _ => *m > 0,
                })
                .collect::<Vec<u64>>()
        };
        let is_down = |n: u64| step < 100 && n == 5 || step >= 300 && n == 0;
        for n in (0..6).filter(|n| !is_down(*n)) {
            let holder = &mut holders[n as usize];
            quota.rebalance(holder, now, n, &visible_gateways(n));
            for AddressedRequest { issuer, request } in holder.requests(now) {
                if let Ok(reply) = issuers[issuer].handle_request(now, &request) {
                    holder.handle_reply(issuer, &reply);
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

/// Measures and prints the time of a lookup among ten thousand wanted resources.
#[test]
fn a_lease_lookup_takes_under_20_microseconds() {
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
    let started = std::time::Instant::now();
    let held = (0..100_000)
        .filter(|n| holder.holds(ms(1), Resource(n % 10_000)).is_some())
        .count();
    let duration_per_lookup = started.elapsed() / 100_000;
    println!("{duration_per_lookup:?} a lookup");
    assert_eq!(held, 0);
    assert!(
        duration_per_lookup < Duration::from_micros(20),
        "{duration_per_lookup:?}"
    );
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), keyed in any::<bool>()) {
        let codec = DatagramCodec::new("sale", keyed.then_some(b"key"));
        let _ = codec.decode(&bytes);
        let mut datagram = codec.encode(&Message::Request(request(1, Vec::new()))).unwrap();
        datagram.truncate(9);
        datagram.extend(&bytes);
        if let Ok(Message::Request(request)) = codec.decode(&datagram) {
            let mut issuer = LeaseIssuer::start(ms(0), 0, 1, &terms(), limits(2, 3));
            let _ = issuer.handle_request(ms(5000), &request);
        }
    }
}
