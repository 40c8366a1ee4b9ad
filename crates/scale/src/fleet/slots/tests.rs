use super::Slots;
use garnetwall_subset::EngineKey;

#[test]
fn a_slot_is_reused_only_when_no_attempt_at_it_is_in_flight() {
    let mut slots = Slots::default();
    slots.join(EngineKey(1), 1, 2.0);
    slots.get_mut(0).expect("the engine has joined").open = 1;
    assert!(
        !slots
            .leave(EngineKey(1))
            .expect("the engine has joined")
            .freed
    );
    slots.join(EngineKey(2), 2, 2.0);
    assert_eq!(slots.joined(EngineKey(2)).map(|(slot, _)| slot), Some(1));
    assert!(slots.joined(EngineKey(1)).is_none());
    assert!(slots.attempt_ended(0).expect("slot 0 is in use").freed);
    slots.join(EngineKey(3), 3, 2.0);
    assert_eq!(slots.joined(EngineKey(3)).map(|(slot, _)| slot), Some(0));
}

#[test]
fn a_member_that_rejoins_with_an_attempt_in_flight_keeps_its_slot() {
    let mut slots = Slots::default();
    slots.join(EngineKey(1), 1, 2.0);
    slots.get_mut(0).expect("the engine has joined").open = 1;
    slots.leave(EngineKey(1));
    slots.join(EngineKey(1), 1, 3.0);
    assert!(!slots.attempt_ended(0).expect("slot 0 is in use").freed);
    assert_eq!(
        slots
            .joined(EngineKey(1))
            .map(|(slot, member)| (slot, member.holders)),
        Some((0, 3.0))
    );
}
