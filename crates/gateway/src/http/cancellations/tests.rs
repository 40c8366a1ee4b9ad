use super::*;

#[test]
fn query_is_cancelled_only_while_a_cancellation_of_its_key_waits() {
    let cancellations = PendingCancellations::default();
    assert!(!cancellations.cancel(1));
    let (first, second) = (cancellations.add(1), cancellations.add(1));
    assert!(!first.has_cancelled());
    drop(first);
    assert!(cancellations.cancel(1));
    assert!(!cancellations.cancel(2));
    assert!(second.has_cancelled());
    drop(second);
    assert!(!cancellations.cancel(1));
    assert!(cancellations.pending().is_empty());
}
