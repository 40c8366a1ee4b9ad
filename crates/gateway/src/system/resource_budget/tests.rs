use super::*;

#[test]
fn the_room_for_batches_is_what_both_descriptors_and_memory_can_hold() {
    assert_eq!(ResourceBudget::of(256, 192).query_capacity, 85);
    let little = ResourceBudget::of(1024, 32);
    assert_eq!(
        little.query_capacity, 87,
        "of 341 that the descriptors could hold"
    );
    let held =
        little.query_capacity * BYTES_PER_RESULT + little.statement_bytes.available_permits();
    assert!(held < 20 << 20, "{held} bytes of 32 MB");
}
