use super::*;

#[test]
fn query_capacity_is_what_both_descriptors_and_memory_can_hold() {
    assert_eq!(ResourceBudget::of(256, 192).query_capacity, 85);
    let small = ResourceBudget::of(1024, 32);
    assert_eq!(
        small.query_capacity, 87,
        "of 341 that the descriptors could hold"
    );
    let in_use =
        small.query_capacity * BYTES_PER_RESULT + small.statement_bytes.available_permits();
    assert!(in_use < 20 << 20, "{in_use} bytes of 32 MB");
}
