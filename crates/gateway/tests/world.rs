//! The module, the ledger and the keys of one gateway in a world without I/O: lists that come late, engines that drain
//! untold, addresses that change hands while the old process runs on, resets, cuts, starts lost on their way, spoilt
//! answers, and a gateway that gets no processor time. The seven rules are judged in the world, by what really ran where,
//! not by what the gateway believes. A slip put in on purpose for each rule must be found.
//!
//! The driver below does what `life` and `engines` do with sockets, in steps of 10 ms.

#[path = "world/mod.rs"]
mod world;

use proptest::prelude::*;
use world::{Rule, Slip, World};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn no_rule_breaks_in_any_world(seed in any::<u64>()) {
        let broken = World::new(seed, Slip::None).play();
        prop_assert!(broken.is_empty(), "{:#?}", &broken[..broken.len().min(5)]);
    }
}

/// Found by the worlds: a gateway without processor time for 2.4 s, whose engine had dropped a dispatch that nobody asked
/// for; the 500 for its news was taken for a failure, and the key did not rest.
#[test]
fn a_key_rests_after_a_dispatch_that_was_dropped_unasked() {
    assert_eq!(World::new(2_929_970_749_735_284_927, Slip::None).play(), []);
}

#[test]
fn a_slip_for_each_rule_is_found() {
    let slips = [
        (Slip::LosesAnswers, Rule::Answer),
        (Slip::TrustsRefusals, Rule::Order),
        (Slip::TrustsAddresses, Rule::Order),
        (Slip::OverlooksDrains, Rule::Drain),
        (Slip::OverlooksColdness, Rule::Cold),
        (Slip::RestsNoKeys, Rule::Order),
        (Slip::MixesArrivals, Rule::Order),
        (Slip::OverlooksZones, Rule::Placement),
        (Slip::OverlooksBudget, Rule::Budget),
        (Slip::TrustsRefusals, Rule::Effect),
        (Slip::OverlooksNotes, Rule::Order),
        (Slip::StartsLate, Rule::Answer),
    ];
    for (slip, rule) in slips {
        let found = (0..300).find(|seed| {
            World::new(*seed, slip)
                .play()
                .iter()
                .any(|(r, _)| *r == rule)
        });
        assert!(found.is_some(), "{slip:?} breaks {rule:?} nowhere");
    }
}
