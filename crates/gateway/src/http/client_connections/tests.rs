use super::*;

#[tokio::test]
async fn the_silent_and_the_idle_give_way_to_those_that_come_and_never_one_that_asks() {
    let guests = Guests::new(Arc::new(Semaphore::new(3)));
    let (asking, idle, silent) = (
        guests.seat(1).await,
        guests.seat(2).await,
        guests.seat(3).await,
    );
    asking.asks();
    idle.asks();
    idle.idles();
    guests.open().get_mut(&3).unwrap().since -= ON_ITS_WAY * 2;
    let (also, room) = (
        guests.clone(),
        tokio::spawn({
            let guests = guests.clone();
            async move { (guests.seat(4).await, guests.seat(5).await) }
        }),
    );
    silent.leave.notified().await;
    drop(silent);
    idle.leave.notified().await;
    drop(idle);
    let (four, five) = room.await.unwrap();
    four.asks();
    five.asks();
    let last = tokio::spawn(async move { also.seat(6).await });
    tokio::task::yield_now().await;
    assert!(
        guests.open().values().all(|e| e.told_to_leave.is_none()),
        "all ask"
    );
    four.idles();
    four.leave.notified().await;
    drop(four);
    assert!(last.await.unwrap().said_nothing());
}
