use super::*;
use std::time::Duration;
use tokio::time::timeout;

async fn reserves_at_once(memory: &ResultMemory, bytes: usize) -> Option<ResultReservation> {
    let reserve = memory.reserve(bytes);
    timeout(Duration::from_millis(20), reserve).await.ok()?
}

#[tokio::test]
async fn memory_is_free_again_when_the_last_clone_is_dropped() {
    let memory = ResultMemory::new(100_000);
    let reservation = reserves_at_once(&memory, 60_000).await.expect("free");
    let answer = reservation.hold(vec![0; 60_000]);
    let cached = answer.clone();
    assert!(reserves_at_once(&memory, 60_000).await.is_none());
    // Short answers need no part of the budget.
    assert!(reserves_at_once(&memory, 4096).await.is_some());
    drop(answer);
    assert!(reserves_at_once(&memory, 60_000).await.is_none());
    drop(cached);
    assert!(reserves_at_once(&memory, 60_000).await.is_some());
}

#[tokio::test]
async fn answer_longer_than_the_budget_takes_all_of_it() {
    let memory = ResultMemory::new(10_000);
    let all = reserves_at_once(&memory, 1 << 30).await;
    assert!(all.is_some());
    assert!(reserves_at_once(&memory, 5000).await.is_none());
}
