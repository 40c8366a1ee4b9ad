use super::*;
use crate::engines::result_rows::MAX_RESULT_BYTES;

fn budget(descriptors: usize, memory_mb: usize) -> ResourceBudget {
    ResourceBudget::from_limits(ResourceLimits {
        descriptors,
        memory_mb,
        max_result_bytes: MAX_RESULT_BYTES,
    })
}

#[test]
fn query_capacity_is_limited_by_descriptors_and_by_memory() {
    assert_eq!(budget(256, 192).query_capacity, 85);
    let small = budget(1024, 32);
    assert_eq!(
        small.query_capacity, 87,
        "memory is the limit; the descriptors allow 341"
    );
    let in_use =
        small.query_capacity * 2 * MAX_RESULT_BYTES + small.statement_memory.available_permits();
    assert!(in_use < 20 << 20, "{in_use} bytes of 32 MB");
}
