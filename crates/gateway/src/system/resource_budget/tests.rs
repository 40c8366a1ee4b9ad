use super::*;

#[test]
fn the_room_for_batches_is_what_both_descriptors_and_memory_can_hold() {
    assert_eq!(ResourceBudget::of(256, 192).room, 85);
    let little = ResourceBudget::of(1024, 32);
    assert_eq!(little.room, 87, "of 341 that the descriptors could hold");
    let held = little.room * RESULT + little.statements.available_permits();
    assert!(held < 20 << 20, "{held} bytes of 32 MB");
}
