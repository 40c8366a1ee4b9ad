use super::*;

#[tokio::test]
async fn the_silent_and_the_idle_give_way_to_those_that_come_and_never_one_that_asks() {
    let guests = ClientConnections::new(Arc::new(Semaphore::new(3)));
    let (asking, idle, silent) = (
        guests.acquire(1).await,
        guests.acquire(2).await,
        guests.acquire(3).await,
    );
    asking.request_started();
    idle.request_started();
    idle.became_idle();
    guests.open().get_mut(&3).unwrap().since -= ON_ITS_WAY * 2;
    let (also, room) = (
        guests.clone(),
        tokio::spawn({
            let guests = guests.clone();
            async move { (guests.acquire(4).await, guests.acquire(5).await) }
        }),
    );
    silent.leave.notified().await;
    drop(silent);
    idle.leave.notified().await;
    drop(idle);
    let (four, five) = room.await.unwrap();
    four.request_started();
    five.request_started();
    let last = tokio::spawn(async move { also.acquire(6).await });
    tokio::task::yield_now().await;
    assert!(
        guests.open().values().all(|e| e.told_to_leave.is_none()),
        "all ask"
    );
    four.became_idle();
    four.leave.notified().await;
    drop(four);
    assert!(last.await.unwrap().sent_nothing());
}
